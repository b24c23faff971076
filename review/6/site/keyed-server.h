/// \file
/// Stand-in of a server: slots and a short queue, grants of keys, and the
/// disruptions of the cases.

#ifndef TAMARACKDRUM_REVIEW_KEYED_SERVER_H
#define TAMARACKDRUM_REVIEW_KEYED_SERVER_H

#include "request-history.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <random>

namespace tamarackdrum::review {

inline constexpr std::size_t KeyCount = 65536;

struct ServerOptions {
  std::string m_id;
  std::string m_zone;
  std::string m_service;
  unsigned m_slots = 2;
  bool m_isKeyed = false;
  Millis m_minWork{0}; ///< Of one request.
  Millis m_maxWork{0};
  Millis m_minCopyDelay{0}; ///< From an answer to its second copy.
  Millis m_maxCopyDelay{0};

  bool operator==(const ServerOptions &) const = default;
};

class KeyedServer {
public:
  /// Listens on a free port of 127.0.0.1.
  KeyedServer(boost::asio::io_context &Context, ServerOptions Options,
              std::uint64_t Seed, RequestHistory &History);

  const std::string &id() const { return m_options.m_id; }
  /// Returns the server's next entry for the registry.
  std::string nextEntry();

  /// Share of the requests that it rejects before it begins them, though its
  /// health checks are good.
  void setShedShare(double Share) { m_shedShare = Share; }
  /// Share of the answers that it sends a second time, late.
  void setCopyShare(double Share) { m_copyShare = Share; }
  /// Share of the requests that it runs and then fails with status 429. The
  /// answer does not say that the request has not run.
  void setFailShare(double Share) { m_failShare = Share; }

private:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  struct Link {
    explicit Link(boost::asio::ip::tcp::socket Socket)
        : m_socket(std::move(Socket)) {}
    boost::asio::ip::tcp::socket m_socket;
    std::uint64_t m_number = 0;
  };
  using LinkPtr = std::shared_ptr<Link>;
  struct KeyState {
    std::uint64_t m_highestFence = 0;
    TimePoint m_heldUntil;
    unsigned m_running = 0;
  };

  boost::asio::awaitable<void> acceptLoop();
  boost::asio::awaitable<void> serve(LinkPtr Client);
  boost::asio::awaitable<std::string> answer(LinkPtr Client, Request Call);
  boost::asio::awaitable<std::string> work(LinkPtr Client, Request Call);
  std::string grant(const std::string &Body);
  boost::asio::awaitable<std::string> release(std::string Body);
  boost::asio::awaitable<void> sendCopy(LinkPtr Client, std::string Bytes,
                                        std::string Id);
  bool draw(double Share);
  Millis between(Millis First, Millis Last);

  const ServerOptions m_options;
  RequestHistory &m_history;
  std::mt19937_64 m_random;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::vector<KeyState> m_keys;
  double m_shedShare = 0;
  double m_copyShare = 0;
  double m_failShare = 0;
  unsigned m_running = 0;
  unsigned m_waiting = 0;
  std::uint64_t m_reports = 0;
  std::uint64_t m_links = 0;
  const std::int64_t m_startMs = unixMillis();
};

} // namespace tamarackdrum::review

#endif // TAMARACKDRUM_REVIEW_KEYED_SERVER_H
