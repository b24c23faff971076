#include "tamarackdrum/gateway/retry-window.h"

#include <algorithm>

namespace tamarackdrum::gateway {

void RetryWindow::dropExpired(TimePoint Now) {
  if (m_startedAt == TimePoint{})
    m_startedAt = Now;
  const TimePoint Oldest = Now - m_policy.m_window;
  while (!m_requests.empty() && m_requests.front() < Oldest)
    m_requests.pop_front();
  while (!m_retries.empty() && m_retries.front() < Oldest)
    m_retries.pop_front();
}

void RetryWindow::recordRequest(TimePoint Now) {
  dropExpired(Now);
  m_requests.push_back(Now);
}

bool RetryWindow::tryAcquire(TimePoint Now) {
  dropExpired(Now);
  const double Age = std::chrono::duration<double>(Now - m_startedAt).count() /
                     std::chrono::duration<double>(m_policy.m_window).count();
  const double BaseRetries =
      m_policy.m_baseRetries * std::min(1.0, m_policy.m_initialBaseShare + Age);
  const double Allowed =
      m_policy.m_usableShare *
      (m_policy.m_ratio * static_cast<double>(m_requests.size()) + BaseRetries);
  if (static_cast<double>(m_retries.size()) + 1 > Allowed)
    return false;
  m_retries.push_back(Now);
  return true;
}

} // namespace tamarackdrum::gateway
