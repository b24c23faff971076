#include "tamarackdrum/gateway/retry-window.h"

#include <gtest/gtest.h>

namespace tamarackdrum::gateway {
namespace {

class RetryWindowTest : public testing::Test {
protected:
  int acquireAll() {
    int Out = 0;
    while (m_subject.tryAcquire(m_now))
      ++Out;
    return Out;
  }

  const RetryPolicy m_policy{};
  RetryWindow m_subject{m_policy};
  TimePoint m_now{std::chrono::seconds(100)};
};

TEST_F(RetryWindowTest, TryAcquire_SeveralWindows_StaysWithinTheBudgetOfEach) {
  for (int Window = 0; Window < 3; ++Window) {
    for (int I = 0; I < 100; ++I)
      m_subject.recordRequest(m_now);
    EXPECT_LE(acquireAll(), m_policy.m_ratio * 100 + m_policy.m_baseRetries);
    m_now += m_policy.m_window;
  }
}

// A coordinator that replaces another must not grant a whole budget again.
TEST_F(RetryWindowTest, TryAcquire_NewWindow_StartsWithPartOfTheBaseRetries) {
  EXPECT_LE(acquireAll(), m_policy.m_baseRetries * 0.25);
  m_now += m_policy.m_window;
  EXPECT_GE(acquireAll(), m_policy.m_baseRetries * 0.5);
}

TEST_F(RetryWindowTest, TryAcquire_MoreRequests_AllowMoreRetries) {
  const int Before = acquireAll();
  for (int I = 0; I < 1000; ++I)
    m_subject.recordRequest(m_now);
  EXPECT_GT(acquireAll(), Before);
}

} // namespace
} // namespace tamarackdrum::gateway
