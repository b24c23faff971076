#include "tamarackdrum/entry-host.h"

#include <random>

namespace asio = boost::asio;

namespace tamarackdrum {
namespace {

std::uint64_t makeIncarnation() {
  std::random_device Device;
  constexpr int HalfBits = 32;
  return (static_cast<std::uint64_t>(Device()) << HalfBits) | Device();
}

} // namespace

EntryHost::EntryHost(Settings Config, asio::io_context &Workers,
                     TableStore &Table, HostList &Hosts, HttpClient &PeerClient,
                     HttpClient &ServerClient)
    : m_settings(std::move(Config)), m_router(m_settings.m_name),
      m_keeper(m_settings, makeIncarnation(), Workers, Table, Hosts, PeerClient,
               m_router,
               [this] { return m_health.suspects(BootClock::now()); }),
      m_proxy(m_router, ServerClient, m_health),
      m_prober(
          Workers, ServerClient, [this] { return m_keeper.view(); },
          m_settings.m_name, m_health),
      m_claims(m_settings.m_claims, m_settings.m_name, makeIncarnation(),
               Workers, Table),
      m_onceOnly(
          m_router, m_claims,
          [this](const HttpRequest &Call) { return m_proxy.onCall(Call); }),
      m_control(m_settings, Workers, m_keeper, m_proxy),
      m_callerServer(
          Workers, parseEndpoint(m_settings.m_callerAddress).value(),
          HttpLimits{},
          [this](const HttpRequest &Call) { return m_onceOnly.onCall(Call); }),
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
  m_claims.startSweep();
}

void EntryHost::beginStop() {
  m_keeper.noteStop();
  m_prober.beginStop();
  m_callerServer.stop();
}

bool EntryHost::isIdle() const {
  return m_callerServer.openConnections() == 0 && m_router.inFlight() == 0 &&
         m_claims.unsettled() == 0;
}

} // namespace tamarackdrum
