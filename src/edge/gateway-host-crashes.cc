// The part of GatewayHost that counts the crashes of servers against the
// requests that they ran.

#include "tamarackdrum/gateway/gateway-host.h"

#include <algorithm>

namespace tamarackdrum::gateway {
namespace {

/// Number of remembered crash reports at which all are discarded.
constexpr std::size_t MaxSeenCrashes = 4096;
/// Crashes of one request from which on they are logged: a single one is in the
/// log of the host that saw it.
constexpr unsigned MinLoggedCrashes = 2;
/// Crashes of one request from which on new followers are told of them.
constexpr unsigned MinToldCrashes = 2;
/// Reports to a new follower after which no further request is begun.
constexpr std::size_t MaxToldCrashes = 256;

} // namespace

void GatewayHost::logCrash(const CrashMessage &Message, bool IsOwn) {
  const PoisonVerdict Verdict =
      m_poison.verdict(Message.m_fingerprint, bootMillis());
  if (Verdict.m_crashes < MinLoggedCrashes && !Message.m_isVoid)
    return;
  m_log.write("crash-counted",
              {{"fingerprint", std::to_string(Message.m_fingerprint)},
               {"server", Message.m_server},
               {"own", IsOwn},
               {"void", Message.m_isVoid},
               {"crashes", Verdict.m_crashes},
               {"limit", Verdict.m_limit},
               {"answered", Verdict.m_wasAnswered}});
}

bool GatewayHost::isNews(const CrashMessage &Message) {
  if (m_seenCrashes.size() >= MaxSeenCrashes)
    m_seenCrashes.clear();
  const auto [Seen, IsNew] = m_seenCrashes.try_emplace(
      {Message.m_fingerprint, Message.m_server}, Message.m_isVoid);
  const bool IsChange = Message.m_isVoid && !Seen->second;
  Seen->second = Seen->second || Message.m_isVoid;
  return IsNew || IsChange;
}

void GatewayHost::handleCrash(const CrashMessage &Message, bool IsOwn) {
  // Each host sends a message on only once.
  if (!isNews(Message))
    return;
  const std::int64_t CrashedAt = bootMillis() - Message.m_age.count();
  if (Message.m_isVoid)
    m_poison.voidCrash(Message.m_fingerprint, Message.m_server, CrashedAt);
  else
    m_poison.noteCrash(Message.m_fingerprint, Message.m_server, CrashedAt);
  m_metrics.count(Message.m_isVoid ? "server_crashes_void"
                                   : "server_crashes_seen");
  logCrash(Message, IsOwn);
  if (IsOwn)
    m_network.sendToCandidates(Message);
  m_network.sendToFollowers(Message);
}

void GatewayHost::handleAnswered(Fingerprint Request) {
  for (std::string &Server : m_poison.noteAnswered(Request, bootMillis()))
    handleCrash({Request, std::move(Server), true, Millis(0)}, true);
}

bool GatewayHost::mayTry(Fingerprint Request) {
  const std::int64_t Now = bootMillis();
  if (!m_poison.isTrialDue(Request, Now, m_policy.m_trialDelay))
    return false;
  const auto Place = [Request](const HostInfo &Host) {
    return hashKey(Host.m_name + std::to_string(Request));
  };
  const std::vector<HostInfo> All = m_hosts.allHosts();
  const auto HostsBefore =
      std::count_if(All.begin(), All.end(),
                    [&, Own = Place(m_hosts.self())](const HostInfo &Item) {
                      return Place(Item) < Own;
                    });
  const Millis Wait =
      m_policy.m_trialDelay + HostsBefore * m_policy.m_trialStep;
  if (!m_poison.isTrialDue(Request, Now, Wait))
    return false;
  m_poison.noteTrial(Request, Now);
  return true;
}

void GatewayHost::sendCrashes(std::uint32_t Link) {
  const std::int64_t Now = bootMillis();
  std::size_t Sent = 0;
  for (const PoisonEvidence &Item : m_poison.snapshot()) {
    const PoisonVerdict Verdict = m_poison.verdict(Item.m_fingerprint, Now);
    if (Verdict.m_crashes < MinToldCrashes || Sent >= MaxToldCrashes)
      continue;
    for (const CrashMark &Mark : Item.m_crashes) {
      // A follower of the version before would count a void one.
      if (Mark.m_isVoid)
        continue;
      m_network.reply(Link, CrashMessage{Item.m_fingerprint, Mark.m_server,
                                         false, Millis(Now - Mark.m_atMs)});
      ++Sent;
    }
  }
}

} // namespace tamarackdrum::gateway
