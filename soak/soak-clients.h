/// \file
/// Clients of a soak run. They reuse connections and check each answer.

#ifndef TAMARACKDRUM_SOAK_CLIENTS_H
#define TAMARACKDRUM_SOAK_CLIENTS_H

#include "soak-site.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace tamarackdrum::soak {

struct ClientOptions {
  std::size_t m_clientCount = 24;
  Millis m_pause{80}; ///< Mean time between two requests of one client.

  bool operator==(const ClientOptions &) const = default;
};

/// Sends requests to hosts that are ready, until stopped. Runs on the thread of
/// its io_context.
class SoakClients {
public:
  SoakClients(boost::asio::io_context &Context, ClientOptions Options,
              std::uint64_t Seed, const SoakSite &Site, History &Recorded);

  void start();
  /// Ends each client after its current request.
  void stop() { m_isStopping = true; }
  std::size_t runningClients() const { return m_runningClients; }
  /// Returns whether every host reports readiness.
  bool allReady() const;

private:
  /// One client's connection.
  struct Connection {
    std::optional<boost::beast::tcp_stream> m_stream;
    boost::beast::flat_buffer m_buffer;
    std::size_t m_host = 0;
    unsigned m_hostIncarnation = 0;
    unsigned m_requestCount = 0;
  };
  /// A request that is not sent yet.
  struct PlannedRequest {
    RequestRecord m_record;
    std::optional<gateway::Key> m_key;
    const char *m_method = "GET";
  };

  boost::asio::awaitable<void> runClient(std::size_t Index);
  boost::asio::awaitable<bool> connect(Connection &To);
  boost::asio::awaitable<void> sendRequest(Connection &To, PlannedRequest Item);
  boost::asio::awaitable<void> pollReadiness(std::size_t Host);
  PlannedRequest makeRequest(std::size_t Index);
  /// Returns the index of a random host that is ready or cut off from the
  /// servers, which is no reason not to be ready.
  std::optional<std::size_t> drawReadyHost();
  /// Returns a random number less than \p Below.
  std::uint64_t draw(std::uint64_t Below) { return m_random() % Below; }

  boost::asio::io_context &m_context;
  const ClientOptions m_options;
  const gateway::HeaderNames m_headers;
  std::mt19937_64 m_random;
  const SoakSite &m_site;
  History &m_history;
  std::vector<bool> m_isReady;
  std::uint64_t m_sentRequests = 0;
  std::size_t m_runningClients = 0;
  bool m_isStopping = false;
};

} // namespace tamarackdrum::soak

#endif // TAMARACKDRUM_SOAK_CLIENTS_H
