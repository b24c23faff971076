#include "tamarackdrum/gateway/cold-prober.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

namespace tamarackdrum::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
/// Shorter than the interval of the probes of a server. A server that makes
/// health checks wait for a slot longer than this stays unknown.
constexpr Millis ProbeTimeout{400};
constexpr std::uint64_t MaxBodyBytes = 64U << 10U;

using Parser = http::response_parser<http::string_body>;

/// Sets the result that \p Answer of \p Server stands for.
void readAnswer(const http::response<http::string_body> &Answer,
                const HeaderNames &Names, const std::string &Server,
                ColdProbeAnswer &Out) {
  const bool HasState = Answer.result() == http::status::ok ||
                        Answer.result() == http::status::service_unavailable;
  const std::string_view Id = Answer[Names.m_instance];
  Out.m_result = ColdProbeResult::Rejected;
  if (!HasState || Id != Server)
    return;
  Out.m_result = ColdProbeResult::Warm;
  const auto Found = Answer.find(Names.m_coldLeftMs);
  if (Found == Answer.end())
    return;
  const std::optional<Millis> Left = parseColdTime(Found->value());
  Out.m_left = Left.value_or(Millis(0));
  if (!Left)
    Out.m_result = ColdProbeResult::Unreadable;
  else if (*Left > Millis(0))
    Out.m_result = ColdProbeResult::Cold;
}

} // namespace

const char *toText(ColdProbeResult Value) noexcept {
  switch (Value) {
  case ColdProbeResult::Warm:
    return "warm";
  case ColdProbeResult::Cold:
    return "cold";
  case ColdProbeResult::Unreadable:
    return "unreadable";
  case ColdProbeResult::Rejected:
    return "rejected";
  case ColdProbeResult::Failed:
    return "failed";
  }
  return "unknown";
}

asio::awaitable<ColdProbeAnswer> askIfCold(ConnectionPool &Pool,
                                           HeaderNames Names,
                                           ServerEntry Server,
                                           std::string HealthPath) {
  ColdProbeAnswer Out;
  Out.m_sentAt = BootClock::now();
  Result<ConnectionPool::ConnectionPtr> Opened =
      co_await Pool.open(Server.m_address, ProbeTimeout);
  if (!Opened)
    co_return Out;
  ConnectionPool::ConnectionPtr Used = std::move(Opened.value());
  Used->setDeadline(Out.m_sentAt + ProbeTimeout);
  http::request<http::empty_body> Request(http::verb::get, HealthPath, 11);
  Request.set(http::field::host, Server.m_address);
  Request.keep_alive(false);
  const auto [WriteError, Written] =
      co_await http::async_write(Used->m_stream, Request, UseTuple);
  if (WriteError)
    co_return Out;
  Parser Read;
  Read.body_limit(MaxBodyBytes);
  const auto [ReadError, Count] =
      co_await http::async_read(Used->m_stream, Used->m_buffer, Read, UseTuple);
  if (ReadError || Used->isPastDeadline())
    co_return Out;
  readAnswer(Read.get(), Names, Server.m_id, Out);
  // Closes it without a reset.
  Pool.putIdle(Server.m_address, std::move(Used), 0);
  co_return Out;
}

void ColdProber::tick(const Configuration &Config) {
  if (m_contacts.isCutOff() || m_contacts.isSuspected())
    return;
  for (const auto &[Name, Item] : Config.m_services) {
    if (Item.m_cold.m_perSecond <= 0 || Item.m_healthPath.empty())
      continue;
    for (const ServerEntry &Server : m_admission.takeColdProbes(Name))
      asio::co_spawn(m_executor, probe(Name, Server, Item.m_healthPath),
                     asio::detached);
  }
}

asio::awaitable<void> ColdProber::probe(std::string Service, ServerEntry Server,
                                        std::string HealthPath) {
  const ColdProbeAnswer Answer =
      co_await askIfCold(m_pool, m_names, Server, HealthPath);
  m_admission.endColdProbe(Service, Server.m_id);
  const std::string Result = toText(Answer.m_result);
  m_metrics.count("cold_probes",
                  "service=\"" + Service + "\",result=\"" + Result + "\"");
  const bool HasState = Answer.m_result == ColdProbeResult::Warm ||
                        Answer.m_result == ColdProbeResult::Cold;
  if (HasState && m_admission.noteColdTime(Service, Server.m_id, Answer.m_left,
                                           Answer.m_sentAt))
    m_log.write("cold-probe", {{"service", Service},
                               {"server", Server.m_id},
                               {"result", Result},
                               {"left_ms", Answer.m_left}});
}

} // namespace tamarackdrum::gateway
