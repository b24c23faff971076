#include "tamarackdrum/gateway/cold-server.h"

#include <algorithm>

namespace tamarackdrum::gateway {
namespace {

/// Requests that were sent over 1.4 s arrive within a second when slow hosts
/// delay the earlier ones by 400 ms.
constexpr double BunchingFactor = 1.4;
/// Part of the slack that a burst may use. The rest covers the permits that
/// hosts deciding by themselves keep.
constexpr double BurstShareOfSlack = 0.25;
/// Time for which a host that decides by itself keeps a permit.
constexpr Millis SharePermitTime{200};
/// A report is shown up to 2.5 s late and reports are made every 0.9 s, so that
/// the third one after the first that is seen was made after the event.
constexpr std::uint64_t ReportsAfterEvent = 3;

} // namespace

double coldRateFactor(const ColdBound &Bound) {
  return std::min(1.0,
                  Bound.m_factor / ((1 + FallbackColdShare) * BunchingFactor));
}

PermitPolicy coldPermits(const ColdBound &Bound) {
  PermitPolicy Out;
  Out.m_maxBurst = std::max(1.0, Bound.m_slack * BurstShareOfSlack);
  Out.m_sharePermitTime = SharePermitTime;
  return Out;
}

void ColdState::noteReport(std::uint64_t Number, Millis Left, TimePoint Now) {
  if (Number == m_reportNumber && Left == m_reportedLeft)
    return;
  m_reportNumber = Number;
  m_reportedLeft = Left;
  m_reportedUntil = Now + Left;
  if (m_unknownUntil == TimePoint{})
    return;
  if (m_firstAfterEvent == 0)
    m_firstAfterEvent = Number;
  else if (Number >= m_firstAfterEvent + ReportsAfterEvent)
    m_unknownUntil = TimePoint{};
}

void ColdState::noteAnswer(Millis Left, TimePoint SentAt, TimePoint Now) {
  if (Left > Millis(0)) {
    m_reportedUntil = std::max(m_reportedUntil, Now + Left);
    return;
  }
  if (SentAt > m_eventAt)
    m_unknownUntil = TimePoint{};
}

void ColdState::noteEvent(Millis ColdTime, bool IsShared, TimePoint Now) {
  m_isShared = IsShared || (m_isShared && Now < m_unknownUntil);
  m_eventAt = Now;
  m_unknownUntil = std::max(m_unknownUntil, Now + ColdTime);
  m_firstAfterEvent = 0;
}

Millis ColdState::timeLeft(TimePoint Now) const {
  return std::max(Millis(0),
                  std::chrono::ceil<Millis>(
                      std::max(m_reportedUntil, m_unknownUntil) - Now));
}

Millis ColdState::sharedTimeLeft(TimePoint Now) const {
  return m_isShared ? std::max(Millis(0),
                               std::chrono::ceil<Millis>(m_unknownUntil - Now))
                    : Millis(0);
}

} // namespace tamarackdrum::gateway
