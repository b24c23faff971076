#include "tamarackdrum/gateway/retry-window.h"

#include <algorithm>

namespace tamarackdrum::gateway {

void RetryWindow::expire(TimePoint Now) {
  if (m_startedAt == TimePoint{})
    m_startedAt = Now;
  const TimePoint Oldest = Now - m_policy.m_window;
  while (!m_requests.empty() && m_requests.front() < Oldest)
    m_requests.pop_front();
  while (!m_repeats.empty() && m_repeats.front() < Oldest)
    m_repeats.pop_front();
}

void RetryWindow::noteRequest(TimePoint Now) {
  expire(Now);
  m_requests.push_back(Now);
}

bool RetryWindow::take(TimePoint Now) {
  expire(Now);
  const double Age = std::chrono::duration<double>(Now - m_startedAt).count() /
                     std::chrono::duration<double>(m_policy.m_window).count();
  const double Slack =
      m_policy.m_slack * std::min(1.0, m_policy.m_firstSlack + Age);
  const double Allowed =
      m_policy.m_usedShare *
      (m_policy.m_ratio * static_cast<double>(m_requests.size()) + Slack);
  if (static_cast<double>(m_repeats.size()) + 1 > Allowed)
    return false;
  m_repeats.push_back(Now);
  return true;
}

} // namespace tamarackdrum::gateway
