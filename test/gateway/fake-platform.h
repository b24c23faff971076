/// \file
/// In-memory store, key servers and backend servers for tests.

#ifndef TAMARACKDRUM_FAKE_PLATFORM_H
#define TAMARACKDRUM_FAKE_PLATFORM_H

#include "tamarackdrum/error.h"
#include "tamarackdrum/gateway/gateway-host.h"
#include "tamarackdrum/sleep.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <set>
#include <thread>

namespace tamarackdrum::gateway::test {

namespace asio = boost::asio;
namespace http = boost::beast::http;

inline constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

inline const HeaderNames Headers{
    "Test-Id",      "Test-Deadline", "Test-Server", "Test-Not-Run", "Test-Key",
    "Test-Leaving", "Test-Limit",    "Test-Load",   "Test-Cold"};

/// An in-memory store that all hosts of a test share.
class FakeStore : public GatewayStore {
public:
  std::uint64_t era() const override { return m_ownership.m_version.m_era; }
  Task<ServerListing> readServers() override {
    ++m_serverReads;
    co_await sleepFor(Millis(1));
    if (!m_isUp)
      co_return TableErrc::Unavailable;
    co_return ServerListing{m_servers, {era(), bootMillis()}};
  }
  Task<DecodedConfiguration> awaitConfiguration(Millis) override {
    co_await sleepFor(Millis(10));
    if (!m_isUp || std::exchange(m_failsNextWait, false))
      co_return TableErrc::Unavailable;
    if (m_configuration.m_version == 0)
      co_return TableErrc::Conflict;
    co_return DecodedConfiguration{m_configuration, "text"};
  }
  const Evacuations &evacuations() const override { return m_evacuations; }
  Result<DecodedConfiguration>
  decodeConfiguration(const std::string &Text) const override {
    if (Text != "text")
      return TableErrc::Malformed;
    return DecodedConfiguration{m_configuration, Text};
  }
  Task<VersionedOwnership> readOwnership(std::string) override {
    co_await sleepFor(Millis(1));
    if (!m_isUp)
      co_return TableErrc::Unavailable;
    const VersionedOwnership Out = m_ownership;
    // Lets a test change the record between this read and the next write.
    if (m_onOwnershipRead)
      std::exchange(m_onOwnershipRead, nullptr)();
    co_return Out;
  }
  Task<RowVersion> writeOwnership(std::string, OwnershipRecord Record,
                                  RowVersion Version) override {
    ++m_writesUnderWay;
    co_await sleepFor(m_writeTime);
    --m_writesUnderWay;
    if (!m_isUp || !m_acceptsWrites)
      co_return TableErrc::Unavailable;
    if (Version != m_ownership.m_version)
      co_return TableErrc::Conflict;
    m_ownership.m_record = std::move(Record);
    ++m_ownership.m_version.m_number;
    co_return m_ownership.m_version;
  }
  Task<std::size_t> addHosts(std::vector<HostInfo> Hosts) override {
    ++m_hostWrites;
    m_hosts.insert(m_hosts.end(), Hosts.begin(), Hosts.end());
    co_return Hosts.size();
  }
  Task<HostListing> readHosts() override {
    co_return HostListing{m_hosts, {era(), bootMillis()}};
  }

  /// Restores the store from a copy that contains \p Record: a new era begins.
  void restoreFromCopy(OwnershipRecord Record) {
    m_ownership.m_record = std::move(Record);
    m_ownership.m_version = {era() + 1, 0};
  }

  /// Changes the evacuated zones, as the operator does.
  void evacuate(std::set<std::string> Zones) {
    m_evacuations.m_version = {era(), m_evacuations.m_version.m_number + 1};
    m_evacuations.m_zones = std::move(Zones);
  }

  bool m_isUp = true;
  bool m_acceptsWrites = true;
  Millis m_writeTime{1};
  unsigned m_writesUnderWay = 0;
  bool m_failsNextWait = false; ///< The next awaitConfiguration().
  std::vector<ServerRow> m_servers;
  Configuration m_configuration;
  Evacuations m_evacuations;
  VersionedOwnership m_ownership;
  std::vector<HostInfo> m_hosts;
  std::size_t m_serverReads = 0;
  std::size_t m_hostWrites = 0;
  std::function<void()> m_onOwnershipRead;
};

/// Key servers that accept every grant.
class FakeKeyServers : public KeyServers {
public:
  asio::awaitable<GrantReply> call(GrantCall Call,
                                   TimePoint Deadline) override {
    m_calls.push_back(std::move(Call));
    m_deadlines.push_back(Deadline);
    std::this_thread::sleep_for(m_busyTime);
    co_await sleepFor(Millis(1));
    co_return GrantReply{GrantResult::Done, ""};
  }

  std::vector<GrantCall> m_calls;
  std::vector<TimePoint> m_deadlines; ///< Of these calls.
  Millis m_busyTime{0};               ///< Blocks the process in each call.
};

/// A request as a server received it.
struct ReceivedRequest {
  std::string m_method;
  std::string m_target;
  std::string m_id;
  std::string m_expectedServer;
  std::string m_deadline;
  std::string m_body;
};

/// A backend server whose answers the test defines.
class ScriptedServer {
public:
  /// Health checks are answered at once and not recorded.
  static constexpr const char *HealthPath = "/health";

  using Stream = boost::beast::tcp_stream;
  /// Answers one request. Returns false to close the connection.
  using Script =
      std::function<asio::awaitable<bool>(Stream &, const ReceivedRequest &)>;

  explicit ScriptedServer(asio::io_context &Context)
      : m_context(Context),
        m_acceptor(Context, {asio::ip::address_v4::loopback(), 0}) {
    asio::co_spawn(Context, acceptLoop(), asio::detached);
  }

  std::string address() const {
    std::string Out("127.0.0.1:");
    Out += std::to_string(m_acceptor.local_endpoint().port());
    return Out;
  }

  /// Closes all connections and refuses new ones from now on.
  void crash() {
    m_acceptor.close();
    for (Stream *Item : m_streams)
      Item->close();
  }

  Script m_script = answerOk;
  std::vector<ReceivedRequest> m_requests;
  std::size_t m_connections = 0;

  static std::string okResponse(const std::string &Id,
                                const std::string &Body) {
    std::string Out("HTTP/1.1 200 OK\r\nTest-Id: ");
    Out += Id;
    Out += "\r\nTest-Signature: s\r\nContent-Length: ";
    Out += std::to_string(Body.size());
    Out += "\r\n\r\n";
    Out += Body;
    return Out;
  }

  static asio::awaitable<bool> send(Stream &To, std::string Text) {
    const auto [Error, Count] =
        co_await asio::async_write(To, asio::buffer(Text), UseTuple);
    co_return !Error;
  }

  static asio::awaitable<bool> answerOk(Stream &To,
                                        const ReceivedRequest &Seen) {
    std::string Text = okResponse(Seen.m_id, "hello");
    co_return co_await send(To, std::move(Text));
  }

  static asio::awaitable<bool> refuse(Stream &To, const ReceivedRequest &Seen) {
    std::string Text("HTTP/1.1 503 Busy\r\nTest-Not-Run: 1\r\nTest-Id: ");
    Text += Seen.m_id;
    Text += "\r\nContent-Length: 0\r\n\r\n";
    co_return co_await send(To, std::move(Text));
  }

private:
  asio::awaitable<void> acceptLoop() {
    while (true) {
      auto [Error, Socket] = co_await m_acceptor.async_accept(UseTuple);
      if (Error)
        co_return;
      ++m_connections;
      asio::co_spawn(m_context, serve(std::move(Socket)), asio::detached);
    }
  }

  asio::awaitable<void> serve(asio::ip::tcp::socket Socket) {
    Stream Peer(std::move(Socket));
    m_streams.insert(&Peer);
    co_await serveRequests(Peer);
    m_streams.erase(&Peer);
  }

  asio::awaitable<void> serveRequests(Stream &Peer) {
    boost::beast::flat_buffer Buffer;
    while (true) {
      http::request_parser<http::string_body> Parser;
      Parser.body_limit(boost::none);
      const auto [Error, Count] =
          co_await http::async_read(Peer, Buffer, Parser, UseTuple);
      if (Error)
        co_return;
      const auto &Request = Parser.get();
      const ReceivedRequest Seen{std::string(Request.method_string()),
                                 std::string(Request.target()),
                                 std::string(Request["Test-Id"]),
                                 std::string(Request["Test-Server"]),
                                 std::string(Request["Test-Deadline"]),
                                 Request.body()};
      if (Seen.m_target == HealthPath) {
        co_await answerOk(Peer, Seen);
        continue;
      }
      m_requests.push_back(Seen);
      const bool IsKept = co_await m_script(Peer, Seen);
      if (!IsKept)
        co_return;
    }
  }

  asio::io_context &m_context;
  asio::ip::tcp::acceptor m_acceptor;
  std::set<Stream *> m_streams;
};

} // namespace tamarackdrum::gateway::test

#endif // TAMARACKDRUM_FAKE_PLATFORM_H
