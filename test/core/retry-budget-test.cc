#include "tamarackdrum/retry-budget.h"

#include <gtest/gtest.h>

namespace tamarackdrum {
namespace {

TEST(RetryBudget, Take_WithEveryServerFailing_BoundsAmplification) {
  RetryBudget Budget;
  int Dispatches = 0;
  for (int Requests = 1; Requests <= 100000; ++Requests) {
    Budget.noteRequest();
    ++Dispatches;
    while (Budget.take())
      ++Dispatches;
    ASSERT_LE(Dispatches * 10, Requests * 11);
  }
  EXPECT_EQ(Dispatches, 110000);
}

TEST(RetryBudget, Take_AfterALongQuietTime_IsCapped) {
  RetryBudget Budget;
  for (int I = 0; I < 100000; ++I)
    Budget.noteRequest();
  int Taken = 0;
  while (Budget.take())
    ++Taken;
  EXPECT_EQ(Taken, 100);
}

} // namespace
} // namespace tamarackdrum
