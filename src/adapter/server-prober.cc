#include "tamarackdrum/server-prober.h"

#include "tamarackdrum/error.h"
#include "tamarackdrum/view-json.h"

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace tamarackdrum {
namespace {

constexpr Millis ProbeInterval{200};
constexpr Millis ProbeTimeout{250};

bool isHealthy(const HttpResponse &Reply) {
  if (Reply.result_int() != 200)
    return false;
  const Result<Json::Value> Body = parseJson(Reply.body());
  return !Body || !Body.value().isObject() ||
         Body.value().get("healthy", true).asBool();
}

std::vector<std::string> serverNames(const View &Current) {
  std::vector<std::string> Out;
  for (const ServerRecord &Server : Current.m_servers)
    Out.push_back(Server.m_name);
  return Out;
}

} // namespace

ServerProber::ServerProber(asio::io_context &Workers, HttpClient &Client,
                           std::function<ViewPtr()> CurrentView,
                           std::string OwnName, ServerHealth &Health)
    : m_workers(Workers), m_client(Client),
      m_currentView(std::move(CurrentView)), m_ownName(std::move(OwnName)),
      m_health(Health) {}

void ServerProber::start() {
  asio::co_spawn(asio::make_strand(m_workers), probeLoop(), asio::detached);
}

asio::awaitable<void> ServerProber::probeLoop() {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  while (!m_stopping) {
    const ViewPtr Current = m_currentView();
    if (Current) {
      m_health.retain(serverNames(*Current));
      for (const ServerRecord &Server : Current->m_servers)
        if (Server.m_state == ServerState::Serving &&
            isProber(*Current, Server.m_name, m_ownName))
          asio::co_spawn(asio::make_strand(m_workers), probe(Server),
                         asio::detached);
    }
    Timer.expires_after(ProbeInterval);
    boost::system::error_code Ignored;
    co_await Timer.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  }
}

asio::awaitable<void> ServerProber::probe(ServerRecord Server) {
  const Result<Endpoint> Peer = parseEndpoint(Server.m_address);
  if (!Peer)
    co_return;
  HttpRequest Request(http::verb::get, "/health", 11);
  Request.set(http::field::host, Server.m_address);
  const Result<HttpResponse> Reply = co_await m_client.send(
      Peer.value(), std::move(Request), BootClock::now() + ProbeTimeout);
  noteReply(Server.m_name, Reply);
}

void ServerProber::noteReply(const std::string &Server,
                             const Result<HttpResponse> &Reply) {
  const TimePoint Now = BootClock::now();
  if (Reply) {
    m_health.noteReport(Server, isHealthy(Reply.value()), Now);
    return;
  }
  if (Reply.error() == HttpErrc::ConnectFailed)
    m_health.noteConnectRefused(Server, Now);
  else if (Reply.error() != HttpErrc::PoolExhausted)
    m_health.noteNoAnswer(Server, Now);
}

} // namespace tamarackdrum
