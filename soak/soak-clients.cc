#include "soak-clients.h"

#include "platform/standin/wire-encode.h"
#include "platform/wire-decode.h"
#include "tamarackdrum/sleep.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http.hpp>
#include <spdlog/fmt/fmt.h>

namespace tamarackdrum::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace platform::standin;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr Millis ConnectTimeout{1000}; ///< As users' clients set it.
constexpr Millis RequestDeadline{2500};
constexpr Millis ClientTimeout{3500}; ///< Of each request.
constexpr Millis ReadyPollInterval{250};
constexpr Millis ReconnectPause{50}; ///< After a failed connect.
constexpr std::uint64_t HotKeyCount = 400;
constexpr std::uint64_t FirstHotKey = 20000;
/// On average, a client closes its connection after this many answers.
constexpr std::uint64_t ReconnectEvery = 25;

/// Returns whether id, signature and body of \p Answer fit the request.
bool matchesRequest(const Response &Answer, const RequestRecord &Item,
                    const std::string &IdHeader) {
  const auto Signature = Answer.find(SignatureHeader);
  const bool IsSuccess = Answer.result_int() / 100 == 2;
  const auto Id = Answer.find(IdHeader);
  if (Id != Answer.end() && Id->value() != Item.m_id)
    return false;
  if (Signature == Answer.end())
    return !IsSuccess;
  const std::string Text(Signature->value().data(), Signature->value().size());
  const std::string Server = Text.substr(0, Text.find('.'));
  if (Text != signatureOf(Server, Item.m_id, Answer.body()))
    return false;
  return !IsSuccess || Answer.body() == answerBody(Item.m_id, Item.m_target);
}

} // namespace

SoakClients::SoakClients(asio::io_context &Context, ClientOptions Options,
                         std::uint64_t Seed, const SoakSite &Site,
                         History &Recorded)
    : m_context(Context), m_options(Options),
      m_headers(platform::headerNames()), m_random(Seed), m_site(Site),
      m_history(Recorded), m_isReady(Site.hostCount(), false) {}

void SoakClients::start() {
  for (std::size_t I = 0; I < m_site.hostCount(); ++I)
    asio::co_spawn(m_context, pollReadiness(I), asio::detached);
  for (std::size_t I = 0; I < m_options.m_clientCount; ++I)
    asio::co_spawn(m_context, runClient(I), asio::detached);
}

bool SoakClients::allReady() const {
  return std::all_of(m_isReady.begin(), m_isReady.end(),
                     [](bool Item) { return Item; });
}

asio::awaitable<void> SoakClients::pollReadiness(std::size_t Host) {
  while (!m_isStopping) {
    boost::beast::tcp_stream Stream(m_context);
    Stream.expires_after(ConnectTimeout);
    const auto [ConnectError] =
        co_await Stream.async_connect(m_site.readyEndpoint(Host), UseTuple);
    unsigned Status = 0;
    if (!ConnectError) {
      http::request<http::empty_body> Call(http::verb::get, ReadyPath, 11);
      Call.set(http::field::host, "ready");
      Call.keep_alive(false);
      boost::beast::flat_buffer Buffer;
      Response Answer;
      const auto [WriteError, Written] =
          co_await http::async_write(Stream, Call, UseTuple);
      const auto [ReadError, Read] =
          co_await http::async_read(Stream, Buffer, Answer, UseTuple);
      Status = WriteError || ReadError ? 0 : Answer.result_int();
    }
    m_isReady[Host] = Status == 200;
    co_await sleepFor(ReadyPollInterval);
  }
}

std::optional<std::size_t> SoakClients::drawReadyHost() {
  std::vector<std::size_t> Ready;
  for (std::size_t I = 0; I < m_isReady.size(); ++I)
    if (m_isReady[I] || m_site.isCutOff(I))
      Ready.push_back(I);
  if (Ready.empty())
    return std::nullopt;
  return Ready[draw(Ready.size())];
}

SoakClients::PlannedRequest SoakClients::makeRequest(std::size_t Index) {
  // Cumulative percentages of the kinds of requests.
  constexpr std::uint64_t ProbeLimit = 8;
  constexpr std::uint64_t SafeLimit = 40;
  constexpr std::uint64_t OnceLimit = 60;
  PlannedRequest Out;
  RequestRecord &Record = Out.m_record;
  Record.m_id = fmt::format("{:04x}{:08x}", Index, ++m_sentRequests);
  const std::uint64_t Percentile = draw(100);
  if (Percentile < ProbeLimit) {
    // Half of the probes request the newest version.
    const std::uint64_t Newest = m_site.newestVersion();
    Record.m_probedVersion = draw(2) == 0 ? Newest : 1 + draw(Newest);
    Record.m_target =
        fmt::format("/v{}/{}", Record.m_probedVersion, Record.m_id);
  } else if (Percentile < SafeLimit) {
    Record.m_target = fmt::format("/safe/{}", Record.m_id);
  } else if (Percentile < OnceLimit) {
    Record.m_target = fmt::format("/once/{}", Record.m_id);
    Record.m_isUnsafe = true;
    Out.m_method = "POST";
  } else {
    const std::uint64_t Value = draw(2) == 0 ? FirstHotKey + draw(HotKeyCount)
                                             : draw(gateway::KeyCount);
    Out.m_key = static_cast<gateway::Key>(Value);
    Record.m_target = fmt::format("/key/{}", Record.m_id);
    Record.m_isUnsafe = true;
    Out.m_method = "POST";
  }
  return Out;
}

asio::awaitable<bool> SoakClients::connect(Connection &To) {
  const std::optional<std::size_t> Host = drawReadyHost();
  if (!Host)
    co_return false;
  To.m_stream.emplace(m_context);
  To.m_buffer.clear();
  To.m_host = *Host;
  To.m_hostIncarnation = m_site.incarnationOf(*Host);
  To.m_requestCount = 0;
  const TimePoint From = BootClock::now();
  To.m_stream->expires_after(ConnectTimeout);
  const auto [Error] = co_await To.m_stream->async_connect(
      m_site.clientEndpoint(*Host), UseTuple);
  if (Error) {
    To.m_stream.reset();
    m_history.m_failedConnects.push_back({To.m_host, From, BootClock::now()});
  }
  co_return !Error;
}

asio::awaitable<void> SoakClients::sendRequest(Connection &To,
                                               PlannedRequest Item) {
  Request Call(http::string_to_verb(Item.m_method), Item.m_record.m_target, 11);
  Call.set(http::field::host, HostName);
  Call.set(m_headers.m_requestId, Item.m_record.m_id);
  Call.set(m_headers.m_deadlineMs, std::to_string(RequestDeadline.count()));
  if (Item.m_key)
    Call.set(m_headers.m_key, std::to_string(*Item.m_key));
  if (Item.m_record.m_isUnsafe)
    Call.body() = "work " + Item.m_record.m_id;
  Call.prepare_payload();
  RequestRecord Record = std::move(Item.m_record);
  Record.m_host = To.m_host;
  Record.m_hostIncarnation = To.m_hostIncarnation;
  Record.m_isConnectionReused = To.m_requestCount > 0;
  // Recorded before sending, since a server may run the request while the write
  // is pending.
  Record.m_startedAt = BootClock::now();
  const std::size_t Index = m_history.m_requests.size();
  m_history.m_requests.push_back(Record);
  To.m_stream->expires_after(ClientTimeout);
  const auto [WriteError, Written] =
      co_await http::async_write(*To.m_stream, Call, UseTuple);
  bool IsKept = false;
  if (!WriteError) {
    Record.m_sentAt = BootClock::now();
    Response Answer;
    const auto [ReadError, Read] =
        co_await http::async_read(*To.m_stream, To.m_buffer, Answer, UseTuple);
    Record.m_hasTimedOut = ReadError == boost::beast::error::timeout;
    if (!ReadError) {
      Record.m_status = Answer.result_int();
      Record.m_answerMatches =
          matchesRequest(Answer, Record, m_headers.m_requestId);
      IsKept = Answer.keep_alive() && draw(ReconnectEvery) != 0;
    }
  }
  Record.m_endedAt = BootClock::now();
  m_history.m_requests[Index] = std::move(Record);
  ++To.m_requestCount;
  if (!IsKept)
    To.m_stream.reset();
}

asio::awaitable<void> SoakClients::runClient(std::size_t Index) {
  ++m_runningClients;
  Connection Mine;
  while (!m_isStopping) {
    co_await sleepFor(Millis(static_cast<std::int64_t>(
        draw(2 * static_cast<std::uint64_t>(m_options.m_pause.count()) + 1))));
    if (!Mine.m_stream) {
      const bool IsConnected = co_await connect(Mine);
      if (!IsConnected) {
        co_await sleepFor(ReconnectPause);
        continue;
      }
    }
    co_await sendRequest(Mine, makeRequest(Index));
  }
  --m_runningClients;
}

} // namespace tamarackdrum::soak
