#include "tamarackdrum/poison-guard.h"

#include "tamarackdrum/rpc.h"
#include "tamarackdrum/sleep.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <spdlog/spdlog.h>

namespace asio = boost::asio;

namespace tamarackdrum {
namespace {

constexpr Millis ProbeTimeout{20};
constexpr Millis LaterProbeDelay{50};
constexpr Millis ShareInterval{20};
constexpr Millis RepeatInterval{1000};
constexpr Millis PushTimeout{1000};

} // namespace

asio::awaitable<bool> refusesConnections(Endpoint Address) {
  boost::beast::tcp_stream Stream(co_await asio::this_coro::executor);
  Stream.expires_after(ProbeTimeout);
  boost::system::error_code Error;
  co_await Stream.async_connect(
      Address, asio::redirect_error(asio::use_awaitable, Error));
  co_return Error == asio::error::connection_refused;
}

PoisonGuard::PoisonGuard(asio::io_context &Workers, PoisonPolicy Policy,
                         PeerAccess Peers, CrashProbe Probe)
    : m_workers(Workers), m_registry(Policy), m_peers(std::move(Peers)),
      m_probe(std::move(Probe)) {}

void PoisonGuard::start() {
  asio::co_spawn(asio::make_strand(m_workers), shareLoop(), asio::detached);
}

bool PoisonGuard::refuses(Fingerprint Request) const {
  return m_registry.isPoisoned(Request, unixMillis());
}

std::size_t PoisonGuard::countRefused() const {
  return m_registry.countPoisoned(unixMillis());
}

void PoisonGuard::noteAnswered(Fingerprint Request) {
  m_registry.noteAnswered(Request, unixMillis());
}

asio::awaitable<void> PoisonGuard::noteBroken(Fingerprint Request,
                                              std::string Server,
                                              Endpoint Address) {
  const bool IsCrash = co_await m_probe(Address);
  if (IsCrash) {
    m_registry.noteCrash(Request, Server, unixMillis());
    share();
    co_return;
  }
  asio::co_spawn(asio::make_strand(m_workers),
                 probeLater(Request, Server, Address), asio::detached);
}

asio::awaitable<void> PoisonGuard::probeLater(Fingerprint Request,
                                              std::string Server,
                                              Endpoint Address) {
  co_await sleepFor(LaterProbeDelay);
  const bool IsCrash = co_await m_probe(Address);
  if (!IsCrash)
    co_return;
  m_registry.noteCrash(Request, Server, unixMillis());
  share();
}

std::error_code PoisonGuard::receive(const Json::Value &Parameters) {
  const Result<std::vector<PoisonEvidence>> Evidence =
      evidenceFromJson(Parameters["evidence"]);
  if (!Evidence)
    return Evidence.error();
  m_registry.merge(Evidence.value(), unixMillis());
  return {};
}

/// Pushes answers that clear a fingerprint soon, and everything now and then,
/// so that a lost push or a new member is made up for.
asio::awaitable<void> PoisonGuard::shareLoop() {
  std::uint64_t Shared = 0;
  TimePoint LastShare = BootClock::now();
  while (!m_stopping) {
    co_await sleepFor(ShareInterval);
    const std::uint64_t Revision = m_registry.revision();
    const bool IsDue = BootClock::now() - LastShare >= RepeatInterval;
    if (Revision == Shared && !(IsDue && Revision != 0))
      continue;
    Shared = Revision;
    LastShare = BootClock::now();
    share();
  }
}

void PoisonGuard::share() {
  const ViewPtr Current = m_peers.m_view();
  if (!Current)
    return;
  Json::Value Parameters;
  Parameters["evidence"] = toJson(m_registry.snapshot());
  for (const Member &Peer : allMembers(*Current))
    if (Peer.m_name != m_peers.m_ownName)
      asio::co_spawn(asio::make_strand(m_workers),
                     pushTo(Peer.m_address, Parameters), asio::detached);
}

asio::awaitable<void> PoisonGuard::pushTo(std::string Address,
                                          Json::Value Parameters) {
  const Result<Endpoint> Peer = parseEndpoint(Address);
  if (!Peer)
    co_return;
  RpcClient Client(m_peers.m_client, Peer.value(), m_peers.m_sharedKey,
                   "/rpc/peer");
  const std::string Method = "evidence";
  (void)co_await Client.call(Method, std::move(Parameters), PushTimeout);
}

} // namespace tamarackdrum
