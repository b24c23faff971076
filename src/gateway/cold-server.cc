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
/// Time between two probes of a server. Longer than the timeout of a probe, and
/// short against the time for which a server is cold.
constexpr Millis ProbeInterval{500};
/// Most probes that a dispatcher sends in any second.
constexpr std::size_t MaxProbesPerSecond = 40;

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

bool ColdState::noteAnswer(Millis Left, TimePoint SentAt, TimePoint Now) {
  const TimePoint WasReported = m_reportedUntil;
  const TimePoint WasUnknown = m_unknownUntil;
  if (Left > Millis(0))
    m_reportedUntil = std::max(m_reportedUntil, Now + Left);
  // A new coordinator is told of the time that the answer says, since the
  // registry may not show it yet.
  if (SentAt > m_eventAt && Now < m_unknownUntil)
    m_unknownUntil = Left > Millis(0) ? Now + Left : TimePoint{};
  return m_reportedUntil != WasReported || m_unknownUntil != WasUnknown;
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

std::vector<std::string>
ColdProbeSchedule::take(std::vector<std::string> Unknown, TimePoint Now) {
  while (!m_sentTimes.empty() &&
         m_sentTimes.front() + std::chrono::seconds(1) <= Now)
    m_sentTimes.pop_front();
  std::sort(Unknown.begin(), Unknown.end());
  std::erase_if(m_probes, [&Unknown, Now](const auto &Known) {
    return !Known.second.m_isInFlight &&
           Known.second.m_sentAt + ProbeInterval <= Now &&
           !std::binary_search(Unknown.begin(), Unknown.end(), Known.first);
  });
  std::erase_if(Unknown, [this, Now](const std::string &Server) {
    const auto Found = m_probes.find(Server);
    return Found != m_probes.end() &&
           (Found->second.m_isInFlight ||
            Now < Found->second.m_sentAt + ProbeInterval);
  });
  const auto LastProbe = [this](const std::string &Server) {
    const auto Found = m_probes.find(Server);
    return Found == m_probes.end() ? TimePoint{} : Found->second.m_sentAt;
  };
  std::stable_sort(
      Unknown.begin(), Unknown.end(),
      [&LastProbe](const std::string &Left, const std::string &Right) {
        return LastProbe(Left) < LastProbe(Right);
      });
  if (Unknown.size() > MaxProbesPerSecond - m_sentTimes.size())
    Unknown.resize(MaxProbesPerSecond - m_sentTimes.size());
  for (const std::string &Server : Unknown) {
    m_probes[Server] = {Now, true};
    m_sentTimes.push_back(Now);
  }
  return Unknown;
}

void ColdProbeSchedule::end(const std::string &Server) {
  const auto Found = m_probes.find(Server);
  if (Found != m_probes.end())
    Found->second.m_isInFlight = false;
}

} // namespace tamarackdrum::gateway
