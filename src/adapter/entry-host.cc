#include "tamarackdrum/entry-host.h"

#include "tamarackdrum/error.h"

#include <boost/asio.hpp>
#include <random>

namespace asio = boost::asio;

namespace tamarackdrum {
namespace {

constexpr unsigned StatusBadGateway = 502;

std::uint64_t makeIncarnation() {
  std::random_device Device;
  constexpr int HalfBits = 32;
  return (static_cast<std::uint64_t>(Device()) << HalfBits) | Device();
}

} // namespace

EntryHost::EntryHost(Settings Config, asio::io_context &Workers,
                     TableStore &Table, HostList &Hosts, HttpClient &PeerClient,
                     HttpClient &ServerClient)
    : m_settings(std::move(Config)), m_workers(Workers),
      m_metrics(m_settings.m_name, unixMillis()), m_router(m_settings.m_name),
      m_keeper(m_settings, makeIncarnation(), Workers, Table, Hosts, PeerClient,
               m_router,
               [this] { return m_health.suspects(BootClock::now()); }),
      m_balancer(m_settings, Workers, PeerClient, m_router, m_keeper),
      m_poison(Workers, PoisonPolicy(),
               {PeerClient, [this] { return m_keeper.view(); },
                m_settings.m_name, m_settings.m_sharedKey}),
      m_proxy(m_router, ServerClient, m_health, m_poison),
      m_prober(
          Workers, ServerClient, [this] { return m_keeper.view(); },
          m_settings.m_name, m_health),
      m_claims(m_settings.m_claims, m_settings.m_name, makeIncarnation(),
               Workers, Table),
      m_onceOnly(
          m_router, m_claims,
          [this](const HttpRequest &Call) { return m_proxy.onCall(Call); }),
      m_sampler(
          m_metrics, m_keeper, m_router,
          [this](const HttpRequest &Call) { return m_onceOnly.onCall(Call); }),
      m_control(m_settings, Workers, m_keeper, m_router, m_proxy, m_poison,
                m_metrics),
      m_callerServer(
          Workers, parseEndpoint(m_settings.m_callerAddress).value(),
          HttpLimits{},
          [this](const HttpRequest &Call) { return m_sampler.onCall(Call); }),
      m_controlServer(Workers,
                      parseEndpoint(m_settings.m_controlAddress).value(),
                      HttpLimits{}, [this](const HttpRequest &Call) {
                        return m_control.onControl(Call);
                      }) {}

void EntryHost::start() {
  m_callerServer.start();
  m_controlServer.start();
  m_keeper.start();
  m_prober.start();
  m_balancer.start();
  m_claims.startSweep();
  m_poison.start();
  asio::co_spawn(asio::make_strand(m_workers), m_sampler.run(), asio::detached);
}

void EntryHost::beginStop(TimePoint End) {
  m_proxy.limitTo(End);
  m_keeper.noteStop();
  m_prober.beginStop();
  m_balancer.beginStop();
  m_poison.beginStop();
  m_callerServer.stop();
}

void EntryHost::endCalls() {
  const std::error_code Reason = RouteErrc::Stopping;
  m_callerServer.endAll(
      toResponse(verdictOfRefusal(Reason)),
      toResponse({Outcome::Unknown, Reason, StatusBadGateway, Millis(0)}));
}

bool EntryHost::isIdle() const {
  return m_callerServer.openConnections() == 0 && m_router.inFlight() == 0 &&
         m_claims.unsettled() == 0;
}

} // namespace tamarackdrum
