#include "keyed-server.h"

#include "tamarackdrum/sleep.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

namespace tamarackdrum::review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using Json = nlohmann::json;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr unsigned QueueLength = 8;
constexpr Millis PollInterval{1};

std::string header(const http::request<http::string_body> &Call,
                   const char *Name) {
  const auto Found = Call.find(Name);
  return Found == Call.end() ? std::string() : std::string(Found->value());
}

std::string plainAnswer(unsigned Status, const std::string &Headers,
                        const std::string &Body) {
  return fmt::format(
      "HTTP/1.1 {} {}\r\n{}Content-Length: {}\r\n\r\n{}", Status,
      std::string(http::obsolete_reason(http::int_to_status(Status))), Headers,
      Body.size(), Body);
}

std::string rejection(unsigned Status, const std::string &Id) {
  return plainAnswer(
      Status, fmt::format("X-Not-Executed: 1\r\nX-Request-Id: {}\r\n", Id), "");
}

} // namespace

KeyedServer::KeyedServer(asio::io_context &Context, ServerOptions Options,
                         std::uint64_t Seed, RequestHistory &History)
    : m_options(std::move(Options)), m_history(History), m_random(Seed),
      m_acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0}),
      m_keys(m_options.m_isKeyed ? KeyCount : 0) {
  asio::co_spawn(Context, acceptLoop(), asio::detached);
}

std::string KeyedServer::nextEntry() {
  return Json{{"born", m_startMs},
              {"address",
               fmt::format("127.0.0.1:{}", m_acceptor.local_endpoint().port())},
              {"info",
               {{"service", m_options.m_service},
                {"version", "v1"},
                {"zone", m_options.m_zone},
                {"slots", m_options.m_slots}}},
              {"status",
               {{"state", "ready"}, {"seq", ++m_reports}, {"cold_left_ms", 0}}}}
      .dump();
}

bool KeyedServer::draw(double Share) {
  return std::uniform_real_distribution<double>(0, 1)(m_random) < Share;
}

Millis KeyedServer::between(Millis First, Millis Last) {
  return Millis(std::uniform_int_distribution<std::int64_t>(
      First.count(), Last.count())(m_random));
}

asio::awaitable<void> KeyedServer::acceptLoop() {
  while (true) {
    auto [Error, Socket] = co_await m_acceptor.async_accept(UseTuple);
    if (Error)
      co_return;
    const LinkPtr Client = std::make_shared<Link>(std::move(Socket));
    Client->m_number = ++m_links;
    boost::system::error_code Ignored; // Failure only costs latency.
    Client->m_socket.set_option(tcp::no_delay(true), Ignored);
    asio::co_spawn(m_acceptor.get_executor(), serve(Client), asio::detached);
  }
}

asio::awaitable<void> KeyedServer::serve(LinkPtr Client) {
  beast::flat_buffer Buffer;
  while (true) {
    Request Call;
    const auto [ReadError, Read] =
        co_await http::async_read(Client->m_socket, Buffer, Call, UseTuple);
    if (ReadError)
      break;
    const std::string Id = header(Call, "X-Request-Id");
    const bool IsOrder = !Id.empty();
    const std::string Bytes = co_await answer(Client, std::move(Call));
    const auto [WriteError, Written] = co_await asio::async_write(
        Client->m_socket, asio::buffer(Bytes), UseTuple);
    if (WriteError)
      break;
    if (IsOrder && draw(m_copyShare))
      asio::co_spawn(m_acceptor.get_executor(), sendCopy(Client, Bytes, Id),
                     asio::detached);
  }
  boost::system::error_code Ignored; // The socket is closed in any case.
  Client->m_socket.close(Ignored);
}

asio::awaitable<void> KeyedServer::sendCopy(LinkPtr Client, std::string Bytes,
                                            std::string Id) {
  co_await sleepFor(
      between(m_options.m_minCopyDelay, m_options.m_maxCopyDelay));
  if (!Client->m_socket.is_open())
    co_return;
  const bool IsRejection = Bytes.find("X-Not-Executed") != std::string::npos;
  m_history.m_copies += IsRejection ? 1 : 0;
  m_history.note(Id, fmt::format("second copy of the {} on connection {}",
                                 IsRejection ? "rejection" : "answer",
                                 Client->m_number));
  // Answers are short: the write ends at once and no other one can come
  // between its parts.
  boost::system::error_code Ignored; // The client may have closed it.
  asio::write(Client->m_socket, asio::buffer(Bytes), Ignored);
}

asio::awaitable<std::string> KeyedServer::answer(LinkPtr Client, Request Call) {
  if (Call.target() == "/healthz")
    co_return plainAnswer(
        200, fmt::format("X-Instance-Id: {}\r\n", m_options.m_id), "");
  if (Call.target() == "/-/grant" && m_options.m_isKeyed)
    co_return grant(Call.body());
  if (Call.target() == "/-/release" && m_options.m_isKeyed)
    co_return co_await release(Call.body());
  co_return co_await work(std::move(Client), std::move(Call));
}

std::string KeyedServer::grant(const std::string &Body) {
  const Json Call = Json::parse(Body);
  const std::size_t From = Call.at("from");
  const std::size_t To = Call.at("to");
  const std::uint64_t Fence = Call.at("fence");
  const TimePoint Until =
      BootClock::now() + Millis(Call.at("hold_ms").get<std::int64_t>());
  for (std::size_t I = From; I <= To; ++I)
    if (m_keys[I].m_highestFence > Fence)
      return plainAnswer(409, "", "{}");
  for (std::size_t I = From; I <= To; ++I) {
    m_keys[I].m_highestFence = Fence;
    m_keys[I].m_heldUntil = Until;
  }
  return plainAnswer(200, "", "{}");
}

asio::awaitable<std::string> KeyedServer::release(std::string Body) {
  const Json Call = Json::parse(Body);
  const std::size_t From = Call.at("from");
  const std::size_t To = Call.at("to");
  const auto IsAnyRunning = [&] {
    return std::any_of(m_keys.begin() + From, m_keys.begin() + To + 1,
                       [](const KeyState &Item) { return Item.m_running > 0; });
  };
  for (std::size_t I = From; I <= To; ++I)
    m_keys[I].m_heldUntil = {};
  while (IsAnyRunning())
    co_await sleepFor(PollInterval);
  co_return plainAnswer(200, "X-Handover: 5c0e7a21d94b36f8\r\n", "{}");
}

asio::awaitable<std::string> KeyedServer::work(LinkPtr Client, Request Call) {
  const std::string Id = header(Call, "X-Request-Id");
  const std::string Expected = header(Call, "X-Expect-Instance");
  const auto Reject = [&](unsigned Status) {
    m_history.refused(Id, Status, m_options.m_id, Client->m_number);
    return rejection(Status, Id);
  };
  if (Id.empty())
    co_return rejection(400, Id);
  if (!Expected.empty() && Expected != m_options.m_id)
    co_return Reject(421);
  if (draw(m_shedShare))
    co_return Reject(503);
  const TimePoint End =
      BootClock::now() + Millis(std::stoll(header(Call, "X-Deadline-Ms")));
  if (m_running >= m_options.m_slots) {
    if (m_waiting >= QueueLength)
      co_return Reject(503);
    ++m_waiting;
    while (m_running >= m_options.m_slots && BootClock::now() < End)
      co_await sleepFor(PollInterval);
    --m_waiting;
    if (BootClock::now() >= End)
      co_return Reject(503);
  }
  KeyState *Held = nullptr;
  if (m_options.m_isKeyed) {
    Held = &m_keys.at(std::stoul(header(Call, "X-Shard-Key")));
    if (Held->m_heldUntil <= BootClock::now())
      co_return Reject(421);
    ++Held->m_running;
  }
  ++m_running;
  m_history.run(Id, m_options.m_id, Client->m_number);
  const Millis Work = between(m_options.m_minWork, m_options.m_maxWork);
  const bool IsInTime = BootClock::now() + Work < End;
  co_await sleepFor(
      IsInTime ? Work
               : std::chrono::duration_cast<Millis>(End - BootClock::now()));
  --m_running;
  if (Held != nullptr)
    --Held->m_running;
  const bool IsFailed = draw(m_failShare);
  const unsigned Status = !IsInTime ? 504 : IsFailed ? 429 : 200;
  m_history.note(Id, fmt::format("its run ends: {}", Status));
  const std::string Body = fmt::format("{} {}\n", Status, Id);
  co_return plainAnswer(Status,
                        fmt::format("X-Request-Id: {}\r\n"
                                    "X-Response-Signature: {}.{:x}\r\n",
                                    Id, m_options.m_id,
                                    std::hash<std::string>()(Body)),
                        Body);
}

} // namespace tamarackdrum::review
