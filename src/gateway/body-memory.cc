#include "tamarackdrum/gateway/body-memory.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace tamarackdrum::gateway {

std::string_view toText(BodyDirection Value) {
  switch (Value) {
  case BodyDirection::Request:
    return "request";
  case BodyDirection::Answer:
    return "answer";
  case BodyDirection::Relayed:
    return "relayed";
  }
  return "unknown";
}

std::size_t BodyMemory::total() const {
  return std::accumulate(m_held.begin(), m_held.end(), std::size_t{0});
}

std::size_t BodyMemory::bodyLimit() const {
  return static_cast<std::size_t>(static_cast<double>(m_policy.m_limitBytes) *
                                  m_policy.m_bodyShare);
}

bool BodyMemory::tryTake(BodyDirection Direction, std::size_t Bytes) {
  const std::size_t Limit = bodyLimit();
  const std::size_t Held = total();
  if (Bytes > Limit || Held > Limit - Bytes)
    return false;
  take(Direction, Bytes);
  return true;
}

void BodyMemory::take(BodyDirection Direction, std::size_t Bytes) {
  m_held[static_cast<std::size_t>(Direction)] += Bytes;
}

void BodyMemory::turnWindow(TimePoint Now) {
  const auto Age = Now - m_windowStart;
  if (Age < m_policy.m_rateWindow)
    return;
  m_freedBefore = Age < 2 * m_policy.m_rateWindow ? m_freed : 0;
  m_freed = 0;
  m_windowStart = Now;
}

void BodyMemory::giveBack(BodyDirection Direction, std::size_t Bytes,
                          TimePoint Now) {
  std::size_t &Held = m_held[static_cast<std::size_t>(Direction)];
  const std::size_t Freed = std::min(Held, Bytes);
  Held -= Freed;
  turnWindow(Now);
  m_freed += Freed;
  m_refusedBytes -= std::min(m_refusedBytes, Freed);
  const double Ample = static_cast<double>(bodyLimit()) * m_policy.m_ampleShare;
  if (m_isShort && static_cast<double>(total()) < Ample) {
    m_isShort = false;
    m_refusedBytes = 0;
  }
}

double BodyMemory::freedPerMs(TimePoint Now) const {
  using Duration = std::chrono::duration<double, std::milli>;
  const double Window = Duration(m_policy.m_rateWindow).count();
  const double Age = Duration(Now - m_windowStart).count();
  if (Age >= 2 * Window)
    return 0;
  // The last window counts for the part that is within one window of now.
  if (Age >= Window)
    return static_cast<double>(m_freed) * (2 * Window - Age) /
           (Window * Window);
  return (static_cast<double>(m_freed) +
          static_cast<double>(m_freedBefore) * (Window - Age) / Window) /
         Window;
}

Millis BodyMemory::refuse(BodyDirection Direction, std::size_t Bytes,
                          TimePoint Now) {
  ++m_refusals[static_cast<std::size_t>(Direction)];
  const std::size_t Limit = bodyLimit();
  // A body that does not fit even into idle memory says nothing about load.
  if (static_cast<double>(total()) >=
      static_cast<double>(Limit) * m_policy.m_ampleShare)
    m_isShort = true;
  const double Excess = static_cast<double>(total()) +
                        static_cast<double>(m_refusedBytes + Bytes) -
                        static_cast<double>(Limit);
  m_refusedBytes = std::min(m_refusedBytes + Bytes, m_policy.m_limitBytes);
  const double Rate = freedPerMs(Now);
  if (Rate <= 0)
    return m_policy.m_defaultRetryAfter;
  const double Longest = static_cast<double>(m_policy.m_maxRetryAfter.count());
  const Millis Time(std::lround(std::clamp(Excess / Rate, 0.0, Longest)));
  return std::max(Time, m_policy.m_minRetryAfter);
}

std::optional<bool> BodyMemory::takeTransition() {
  if (m_isShort == m_wasShort)
    return std::nullopt;
  m_wasShort = m_isShort;
  return m_isShort;
}

} // namespace tamarackdrum::gateway
