#include "tamarackdrum/failure-detector.h"

#include <algorithm>

namespace tamarackdrum {
namespace {

bool contains(const std::vector<std::string> &Names, const std::string &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

} // namespace

void FailureDetector::report(const std::string &Observer,
                             std::vector<std::string> Suspects, TimePoint Now) {
  m_reports[Observer] = {Now, std::move(Suspects)};
}

void FailureDetector::noteView(const View &Next, TimePoint Now) {
  for (const ServerRecord &Server : Next.m_servers) {
    if (!Server.m_suspended)
      continue;
    History &Past = m_histories[Server.m_name];
    if (Server.m_suspendedAt <= Past.m_lastGeneration)
      continue;
    Past.m_lastGeneration = Server.m_suspendedAt;
    std::erase_if(Past.m_suspensions, [&](TimePoint At) {
      return At + m_limits.m_historyLength < Now;
    });
    Past.m_suspensions.push_back(Now);
  }
}

std::size_t FailureDetector::observersOf(const std::string &Server,
                                         TimePoint Now) const {
  return static_cast<std::size_t>(
      std::count_if(m_reports.begin(), m_reports.end(), [&](const auto &Entry) {
        const Report &One = Entry.second;
        return One.m_at + m_limits.m_reportLifetime >= Now &&
               contains(One.m_suspects, Server);
      }));
}

bool FailureDetector::isSuspected(const View &Current,
                                  const std::string &Server,
                                  TimePoint Now) const {
  const std::size_t Needed =
      std::min(m_limits.m_minObservers, Current.m_members.size());
  return observersOf(Server, Now) >= Needed;
}

bool FailureDetector::maySuspend(const View &Current,
                                 const std::string &WorkClass,
                                 std::size_t AlreadyChosen) const {
  std::size_t Declared = 0;
  std::size_t Working = 0;
  for (const ServerRecord &Server : Current.m_servers) {
    if (Server.m_workClass != WorkClass ||
        Server.m_state != ServerState::Serving)
      continue;
    ++Declared;
    Working += Server.m_suspended ? 0 : 1;
  }
  const std::size_t Kept =
      std::max<std::size_t>(1, Declared / m_limits.m_keptServersDivisor);
  return Working > Kept + AlreadyChosen;
}

Millis FailureDetector::suspensionTime(const std::string &Server,
                                       TimePoint Now) const {
  const auto Found = m_histories.find(Server);
  Millis Wait = m_limits.m_firstWait;
  if (Found == m_histories.end())
    return Wait;
  for (std::size_t I = 1; I < Found->second.m_suspensions.size(); ++I)
    if (Found->second.m_suspensions[I] + m_limits.m_historyLength >= Now)
      Wait = std::min(Wait * 2, m_limits.m_longestWait);
  return Wait;
}

bool FailureDetector::mayReinstate(const ServerRecord &Server,
                                   TimePoint Now) const {
  if (observersOf(Server.m_name, Now) > 0)
    return false;
  const auto Found = m_histories.find(Server.m_name);
  return Found == m_histories.end() || Found->second.m_suspensions.empty() ||
         Now >= Found->second.m_suspensions.back() +
                    suspensionTime(Server.m_name, Now);
}

SuspensionChange FailureDetector::decide(const View &Current,
                                         TimePoint Now) const {
  SuspensionChange Out;
  std::map<std::string, std::size_t> Chosen;
  for (const ServerRecord &Server : Current.m_servers) {
    if (Server.m_state != ServerState::Serving)
      continue;
    if (Server.m_suspended) {
      if (mayReinstate(Server, Now))
        Out.m_reinstate.push_back(Server.m_name);
      continue;
    }
    std::size_t &Count = Chosen[Server.m_workClass];
    if (!isSuspected(Current, Server.m_name, Now) ||
        !maySuspend(Current, Server.m_workClass, Count))
      continue;
    ++Count;
    Out.m_suspend.push_back(Server.m_name);
  }
  return Out;
}

View applySuspension(View Next, const SuspensionChange &Change) {
  for (ServerRecord &Server : Next.m_servers) {
    if (contains(Change.m_suspend, Server.m_name) && !Server.m_suspended) {
      Server.m_suspended = true;
      Server.m_suspendedAt = Next.m_generation;
    }
    if (contains(Change.m_reinstate, Server.m_name))
      Server.m_suspended = false;
  }
  return Next;
}

} // namespace tamarackdrum
