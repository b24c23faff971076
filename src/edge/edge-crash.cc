// The part of EdgeServer that finds out whether a server has crashed under a
// request, and refuses requests that crash servers.

#include "client-session.h"

#include "tamarackdrum/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace tamarackdrum::gateway {
namespace {

namespace asio = boost::asio;

/// Time after which a host that suspects to be cut off has found out: several
/// rounds of probes.
constexpr Millis MaxSuspicion{2000};
constexpr Millis SuspicionPollInterval{50};

} // namespace

bool EdgeServer::isSuspected(ClientRequest &Request) {
  const PoisonVerdict Verdict =
      m_poison.verdict(Request.m_fingerprint, bootMillis());
  if (!Verdict.isRefused())
    return false;
  Request.m_isTrial = m_callbacks.m_mayTry(Request.m_fingerprint);
  m_log.writeRequest("request-suspected",
                     {{"request", Request.m_id},
                      {"fingerprint", std::to_string(Request.m_fingerprint)},
                      {"crashes", Verdict.m_crashes},
                      {"limit", Verdict.m_limit},
                      {"answered", Verdict.m_wasAnswered},
                      {"trial", Request.m_isTrial}});
  return !Request.m_isTrial;
}

asio::awaitable<bool> EdgeServer::hasEnded(ServerEntry Server) {
  const bool IsDown = co_await m_upstreamClient.isDown(Server.m_address);
  if (!IsDown || !m_contacts.isSuspected())
    co_return IsDown;
  // Servers that end one after the other look like a cut at first.
  const TimePoint End = BootClock::now() + MaxSuspicion;
  while (m_contacts.isSuspected() && BootClock::now() < End)
    co_await sleepFor(SuspicionPollInterval);
  if (m_contacts.isSuspected())
    co_return false;
  co_return co_await m_upstreamClient.isDown(Server.m_address);
}

void EdgeServer::handleBrokenOff(Fingerprint Request,
                                 const ServerEntry &Server) {
  // A host that is cut off cannot tell whether a server has ended.
  if (!m_contacts.isCutOff())
    asio::co_spawn(m_executor, checkForCrash(Request, Server), asio::detached);
}

asio::awaitable<void> EdgeServer::checkForCrash(Fingerprint Request,
                                                ServerEntry Server) {
  const std::int64_t BrokeAtMs = bootMillis();
  const bool HasEnded = co_await hasEnded(Server);
  const bool IsAnswered = m_poison.wasAnsweredAfter(Request, BrokeAtMs);
  m_log.writeRequest("server-broke-off",
                     {{"server", Server.m_id},
                      {"address", Server.m_address},
                      {"is_down", HasEnded},
                      {"fingerprint", std::to_string(Request)},
                      {"answered", IsAnswered}});
  if (HasEnded && !IsAnswered)
    m_callbacks.m_onCrash(Request, Server);
}

} // namespace tamarackdrum::gateway
