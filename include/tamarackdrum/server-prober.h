/// \file
/// Probes the health endpoints of servers from a few processes each.

#ifndef TAMARACKDRUM_SERVER_PROBER_H
#define TAMARACKDRUM_SERVER_PROBER_H

#include "tamarackdrum/http.h"
#include "tamarackdrum/server-health.h"
#include "tamarackdrum/view.h"

namespace tamarackdrum {

/// Probes each server that this process is chosen for. All dependencies
/// outlive it.
class ServerProber {
public:
  /// \p CurrentView returns the view of this process, or null.
  ServerProber(boost::asio::io_context &Workers, HttpClient &Client,
               std::function<ViewPtr()> CurrentView, std::string OwnName,
               ServerHealth &Health);

  void start();
  void beginStop() { m_stopping = true; }

private:
  boost::asio::awaitable<void> probeLoop();
  boost::asio::awaitable<void> probe(ServerRecord Server);
  void noteReply(const std::string &Server, const Result<HttpResponse> &Reply);

  boost::asio::io_context &m_workers;
  HttpClient &m_client;
  const std::function<ViewPtr()> m_currentView;
  const std::string m_ownName;
  ServerHealth &m_health;
  std::atomic<bool> m_stopping{false};
};

} // namespace tamarackdrum

#endif // TAMARACKDRUM_SERVER_PROBER_H
