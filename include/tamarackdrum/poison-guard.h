/// \file
/// Gathers evidence on requests that crash servers and shares it with the
/// other members.

#ifndef TAMARACKDRUM_POISON_GUARD_H
#define TAMARACKDRUM_POISON_GUARD_H

#include "tamarackdrum/http.h"
#include "tamarackdrum/poison.h"
#include "tamarackdrum/view.h"

#include <optional>

namespace tamarackdrum {

/// What the guard needs to reach the other members.
struct PeerAccess {
  HttpClient &m_client;
  std::function<ViewPtr()> m_view; ///< The current view, or null.
  std::string m_ownName;
  std::string m_sharedKey;
};

/// Returns whether a server refuses connections.
using CrashProbe = std::function<boost::asio::awaitable<bool>(Endpoint)>;

/// CrashProbe that opens one connection and closes it.
boost::asio::awaitable<bool> refusesConnections(Endpoint Address);

/// The guard. Thread-safe; all dependencies outlive it.
class PoisonGuard {
public:
  PoisonGuard(boost::asio::io_context &Workers, PoisonPolicy Policy,
              PeerAccess Peers, CrashProbe Probe = refusesConnections);

  void start();
  void beginStop() { m_stopping = true; }

  /// Returns whether requests with this fingerprint are refused.
  bool refuses(Fingerprint Request) const;

  /// Returns the number of fingerprints that are refused.
  std::size_t countRefused() const;

  void noteAnswered(Fingerprint Request);

  /// Notes that the connection to \p Server broke while \p Request was in
  /// flight. It is evidence if the server then refuses connections. Returns
  /// after a first try; a second one goes on in the background.
  boost::asio::awaitable<void> noteBroken(Fingerprint Request,
                                          std::string Server, Endpoint Address);

  /// Takes in evidence of another member; errors are of ControlErrc.
  std::error_code receive(const Json::Value &Parameters);

private:
  boost::asio::awaitable<void> probeLater(Fingerprint Request,
                                          std::string Server, Endpoint Address);
  boost::asio::awaitable<void> shareLoop();
  void share();
  boost::asio::awaitable<void> pushTo(std::string Address,
                                      Json::Value Parameters);

  boost::asio::io_context &m_workers;
  PoisonRegistry m_registry;
  const PeerAccess m_peers;
  const CrashProbe m_probe;
  std::atomic<bool> m_stopping{false};
};

} // namespace tamarackdrum

#endif // TAMARACKDRUM_POISON_GUARD_H
