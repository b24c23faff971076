// The part of EdgeServer that finds out whether a server has crashed under a
// request, and refuses requests that crash servers.

#include "client-session.h"

namespace tamarackdrum::gateway {

bool EdgeServer::isSuspected(const ClientRequest &Request) {
  const PoisonVerdict Verdict =
      m_poison.verdict(Request.m_fingerprint, bootMillis());
  if (!Verdict.isRefused())
    return false;
  const bool IsTrial = m_callbacks.m_mayTry(Request.m_fingerprint);
  m_log.writeRequest("request-suspected",
                     {{"request", Request.m_id},
                      {"fingerprint", std::to_string(Request.m_fingerprint)},
                      {"crashes", Verdict.m_crashes},
                      {"limit", Verdict.m_limit},
                      {"answered", Verdict.m_wasAnswered},
                      {"trial", IsTrial}});
  return !IsTrial;
}

boost::asio::awaitable<void>
EdgeServer::checkForCrash(std::uint64_t Fingerprint, ServerEntry Server) {
  const std::int64_t BrokeAtMs = bootMillis();
  const bool IsDown = co_await m_upstreamClient.isDown(Server.m_address);
  const bool IsAnswered = m_poison.wasAnsweredAfter(Fingerprint, BrokeAtMs);
  m_log.writeRequest("server-broke-off",
                     {{"server", Server.m_id},
                      {"address", Server.m_address},
                      {"is_down", IsDown},
                      {"fingerprint", std::to_string(Fingerprint)},
                      {"answered", IsAnswered}});
  // A host that is cut off cannot tell whether a server has ended.
  if (IsDown && !IsAnswered && !m_contacts.isSuspected())
    m_callbacks.m_onCrash(Fingerprint, Server);
}

} // namespace tamarackdrum::gateway
