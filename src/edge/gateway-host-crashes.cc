// The part of GatewayHost that counts the crashes of servers against the
// requests that they ran.

#include "tamarackdrum/gateway/gateway-host.h"

namespace tamarackdrum::gateway {
namespace {

/// Number of remembered crash reports at which all are discarded.
constexpr std::size_t MaxSeenCrashes = 4096;
/// Crashes of one request from which on they are logged: a single one is in the
/// log of the host that saw it.
constexpr unsigned MinLoggedCrashes = 2;

} // namespace

void GatewayHost::logCrash(const CrashMessage &Message, bool IsOwn) {
  const PoisonVerdict Verdict =
      m_poison.verdict(Message.m_fingerprint, bootMillis());
  if (Verdict.m_crashes < MinLoggedCrashes)
    return;
  m_log.write("crash-counted",
              {{"fingerprint", std::to_string(Message.m_fingerprint)},
               {"server", Message.m_server},
               {"own", IsOwn},
               {"crashes", Verdict.m_crashes},
               {"limit", Verdict.m_limit},
               {"answered", Verdict.m_wasAnswered}});
}

void GatewayHost::handleCrash(const CrashMessage &Message, bool IsOwn) {
  if (m_seenCrashes.size() >= MaxSeenCrashes)
    m_seenCrashes.clear();
  // Each host sends a report on only once.
  if (!m_seenCrashes.emplace(Message.m_fingerprint, Message.m_server).second)
    return;
  m_poison.noteCrash(Message.m_fingerprint, Message.m_server, bootMillis());
  m_metrics.count("server_crashes_seen");
  logCrash(Message, IsOwn);
  if (IsOwn)
    m_network.sendToCandidates(Message);
  m_network.sendToFollowers(Message);
}

} // namespace tamarackdrum::gateway
