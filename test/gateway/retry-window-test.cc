#include "tamarackdrum/gateway/retry-window.h"

#include <gtest/gtest.h>

namespace tamarackdrum::gateway {
namespace {

class RetryWindowTest : public testing::Test {
protected:
  int takeAll() {
    int Out = 0;
    while (m_subject.tryAcquire(m_now))
      ++Out;
    return Out;
  }

  const RetryPolicy m_policy{};
  RetryWindow m_subject{m_policy};
  TimePoint m_now{std::chrono::seconds(100)};
};

TEST_F(RetryWindowTest, Take_Forever_StaysWithinTheBudgetOfEachWindow) {
  for (int Window = 0; Window < 3; ++Window) {
    for (int I = 0; I < 100; ++I)
      m_subject.recordRequest(m_now);
    EXPECT_LE(takeAll(), m_policy.m_ratio * 100 + m_policy.m_baseRetries);
    m_now += m_policy.m_window;
  }
}

// Two coordinators one after the other had each used a whole budget.
TEST_F(RetryWindowTest, Take_NewWindow_BeginsWithAPartOfTheSlack) {
  EXPECT_LE(takeAll(), m_policy.m_baseRetries * 0.25);
  m_now += m_policy.m_window;
  EXPECT_GE(takeAll(), m_policy.m_baseRetries * 0.5);
}

TEST_F(RetryWindowTest, Take_RequestsComeIn_MoreAreAllowed) {
  const int Before = takeAll();
  for (int I = 0; I < 1000; ++I)
    m_subject.recordRequest(m_now);
  EXPECT_GT(takeAll(), Before);
}

} // namespace
} // namespace tamarackdrum::gateway
