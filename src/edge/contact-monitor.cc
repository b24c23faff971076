#include "tamarackdrum/gateway/contact-monitor.h"

#include "tamarackdrum/gateway/relay-peers.h"
#include "tamarackdrum/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <spdlog/fmt/fmt.h>

namespace tamarackdrum::gateway {
namespace {

namespace asio = boost::asio;

constexpr Millis PollInterval{50};
/// Interval of the heartbeats to hosts that may relay, as between candidates.
constexpr Millis AskInterval{400};
/// Time for which these heartbeats go on after the suspicion has ended: a peer
/// without heartbeats counts as dead while it still works on requests.
constexpr Millis PrepareTime{5000};
/// Hosts that a cut-off host asks, besides the candidates, whether they can
/// relay. Spreads the requests of a zone over most hosts of the others.
constexpr std::size_t ProspectCount = 8;

const char *toText(ProbeResult Result) {
  switch (Result) {
  case ProbeResult::Answered:
    return "reached";
  case ProbeResult::Unreachable:
    return "failed";
  case ProbeResult::Silent:
    return "silent";
  case ProbeResult::BrokenOff:
    return "broken-off";
  }
  return "";
}

} // namespace

ContactMonitor::ContactMonitor(asio::any_io_executor Executor, bool IsEnabled,
                               Roster &Hosts, UpstreamClient &Upstreams,
                               EventLog &Log, GatewayMetrics &Metrics,
                               ServersSource Servers,
                               HealthPathSource HealthPaths)
    : m_executor(std::move(Executor)), m_isEnabled(IsEnabled), m_hosts(Hosts),
      m_upstreams(Upstreams), m_log(Log), m_metrics(Metrics),
      m_servers(std::move(Servers)), m_healthPaths(std::move(HealthPaths)) {}

void ContactMonitor::start(PeerNetwork &Network) {
  m_network = &Network;
  if (m_isEnabled)
    asio::co_spawn(m_executor, run(), asio::detached);
}

std::uint32_t ContactMonitor::begin(CancelToken *Token, ResendCheck CanResend) {
  m_attempts[++m_lastNumber] = {BootClock::now(), Token, std::move(CanResend)};
  return m_lastNumber;
}

void ContactMonitor::end(std::uint32_t Number, const std::string &Server,
                         const UpstreamReply &Reply) {
  m_attempts.erase(Number);
  if (Reply.m_parser != nullptr)
    record(Server, true);
  else if (Reply.m_result != DispatchResult::Withdrawn)
    record(Server, false);
}

void ContactMonitor::record(const std::string &Server, bool IsReached) {
  if (!m_isEnabled)
    return;
  if (IsReached)
    m_reachability.recordReached(Server, BootClock::now());
  else
    m_reachability.recordFailed(Server, BootClock::now());
}

asio::awaitable<void> ContactMonitor::probe(ServerEntry Server) {
  const TimePoint Start = BootClock::now();
  const ProbeResult Result = co_await m_upstreams.probe(
      Server.m_address, m_healthPaths(Server.m_service));
  m_metrics.count("server_probes",
                  fmt::format("result=\"{}\"", toText(Result)));
  const TimePoint Now = BootClock::now();
  if (Result == ProbeResult::Answered)
    m_reachability.recordReached(Server.m_id, Now);
  else if (Result == ProbeResult::Unreachable)
    m_reachability.recordFailed(Server.m_id, Now);
  else if (Result == ProbeResult::Silent)
    m_reachability.recordSilent(Server.m_id, Start, Now);
}

void ContactMonitor::update(TimePoint Now) {
  const bool OthersReach = !usableRelays(m_hosts, Now).empty();
  if (!m_reachability.update(m_servers(), OthersReach, Now))
    return;
  const Millis Lasted = std::chrono::duration_cast<Millis>(Now - m_changedAt);
  m_changedAt = Now;
  if (!isCutOff()) {
    m_log.write("servers-reached-again", {{"after_ms", Lasted}});
    return;
  }
  m_log.write("cut-off-from-servers",
              {{"relays", usableRelays(m_hosts, Now).size()},
               {"attempts", m_attempts.size()}});
  m_metrics.count("cut_off_from_servers");
  // An answer may still come over a connection that works.
  for (const auto &[Number, Item] : m_attempts)
    if (Item.m_token != nullptr && Item.m_canResend())
      Item.m_token->interrupt();
  m_network->sendDueHeartbeats();
}

void ContactMonitor::preparePeers(TimePoint Now) {
  for (const std::string &Name : usableRelays(m_hosts, Now))
    m_network->ensureLink(Name);
  if (Now - m_peersAskedAt < AskInterval)
    return;
  m_peersAskedAt = Now;
  for (const HostInfo &Item : relayProspects(m_hosts, ProspectCount))
    m_network->sendHeartbeat(Item.m_ip);
}

asio::awaitable<void> ContactMonitor::run() {
  while (true) {
    const TimePoint Now = BootClock::now();
    const TimePoint Oldest =
        m_attempts.empty() ? Now : m_attempts.begin()->second.m_startedAt;
    for (const std::string &Id :
         m_reachability.takeDueProbes(m_servers(), Oldest, Now))
      asio::co_spawn(m_executor, probe(m_servers().at(Id)), asio::detached);
    update(Now);
    if (isSuspected())
      m_preparesUntil = Now + PrepareTime;
    if (Now < m_preparesUntil)
      preparePeers(Now);
    co_await sleepFor(PollInterval);
  }
}

} // namespace tamarackdrum::gateway
