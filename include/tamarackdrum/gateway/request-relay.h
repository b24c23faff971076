/// \file
/// Sends requests to servers through another host while this host is cut off
/// from the servers, and sends those of other hosts.
///
/// A request is passed on with the server that its dispatcher has chosen. It is
/// passed to a second host only if the first has not tried to send it, so that
/// it runs at most once.

#ifndef TAMARACKDRUM_GATEWAY_REQUEST_RELAY_H
#define TAMARACKDRUM_GATEWAY_REQUEST_RELAY_H

#include "tamarackdrum/gateway/contact-monitor.h"
#include "tamarackdrum/poison.h"

#include <boost/asio/steady_timer.hpp>

namespace tamarackdrum::gateway {

struct RelayPolicy {
  /// Most requests that this host sends for others at the same time.
  std::size_t m_maxServed = 32;
  /// Most bytes of their heads and bodies.
  std::size_t m_maxServedBytes = 4U << 20U;
  /// Most requests of this host at one peer: several hosts share a peer.
  std::size_t m_maxPerPeer = 16;
  /// A link on which more bytes wait gets no further request or answer. Well
  /// below the limit at which the link is closed.
  std::size_t m_maxQueuedBytes = 256U << 10U;
  unsigned m_maxPeers = 3; ///< Peers that are asked for one request.
  /// Time beyond the deadline of a request for the answer of the peer.
  Millis m_answerGrace{100};

  bool operator==(const RelayPolicy &) const = default;
};

/// Returns the answer of a peer as if this host had got it from the server.
UpstreamReply makeRelayedReply(RelayAnswerMessage Message, bool IsToHead);

class RequestRelay {
public:
  using FindServer = std::function<const ServerEntry *(const std::string &Id)>;
  /// Called if a server breaks off a request of another host.
  using BrokenHandler =
      std::function<void(Fingerprint Request, const ServerEntry &)>;

  RequestRelay(boost::asio::any_io_executor Executor, RelayPolicy Policy,
               Roster &Hosts, UpstreamClient &Upstreams,
               ContactMonitor &Contacts, EventLog &Log, GatewayMetrics &Metrics,
               FindServer Find, BrokenHandler OnBroken);

  void setNetwork(PeerNetwork &Network) { m_network = &Network; }

  /// Returns whether some peer can take a request now.
  bool hasPeer() const { return !choosePeer({}).empty(); }

  /// Sends \p Request, whose body must be whole, through a peer. The result is
  /// Withdrawn if no peer has tried to send it.
  boost::asio::awaitable<UpstreamReply> execute(UpstreamRequest Request,
                                                CancelToken &Token);

  /// Takes no requests of other hosts from now on; they pass them to others.
  void beginDrain() { m_isDraining = true; }

  // Handlers of messages from other hosts. Link identifies the connection.
  void onRelay(std::uint32_t Link, RelayMessage &Message);
  void onAnswer(std::uint32_t Link, RelayAnswerMessage &Message);
  void onCancel(std::uint32_t Link, const RelayCancelMessage &Message);
  void onLinkDown(std::uint32_t Link);

  /// Returns the number of requests that this host sends for others.
  std::size_t servedCount() const { return m_served.size(); }
  /// Ends the waits for peers that count as dead.
  void tick();

private:
  /// A request of this host that a peer sends.
  struct Pending {
    explicit Pending(const boost::asio::any_io_executor &Executor)
        : m_event(Executor) {}

    boost::asio::steady_timer m_event; ///< Cancelled at the end of the wait.
    std::string m_peer;
    std::uint32_t m_link = 0;
    bool m_isLost = false;
    bool m_isCancelled = false;
    std::optional<RelayAnswerMessage> m_answer;
  };
  using PendingPtr = std::shared_ptr<Pending>;
  using ServedId = std::pair<std::uint32_t, std::uint32_t>;
  struct Served {
    std::shared_ptr<CancelToken> m_token;
    bool m_isSafe;
  };

  /// Returns the peer with the fewest requests of this host, or an empty name.
  std::string choosePeer(const std::vector<std::string> &Tried) const;
  std::size_t pendingAt(const std::string &Peer) const;
  /// Passes \p Request to \p Peer and waits for the end. Returns null if the
  /// link cannot be used.
  boost::asio::awaitable<PendingPtr>
  passOn(std::string Peer, std::shared_ptr<const UpstreamRequest> Request,
         CancelToken &Token);
  boost::asio::awaitable<void> serve(std::uint32_t Link, RelayMessage Message,
                                     ServerEntry Server);
  void resolve(const PendingPtr &Item, bool IsLost);

  boost::asio::any_io_executor m_executor;
  const RelayPolicy m_policy;
  Roster &m_hosts;
  UpstreamClient &m_upstreams;
  ContactMonitor &m_contacts;
  EventLog &m_log;
  GatewayMetrics &m_metrics;
  const FindServer m_findServer;
  const BrokenHandler m_onBroken;
  PeerNetwork *m_network = nullptr;
  std::uint32_t m_lastNumber = 0;
  std::map<std::uint32_t, PendingPtr> m_pending;
  std::map<ServedId, Served> m_served; ///< By link and number.
  std::size_t m_servedBytes = 0;
  bool m_isDraining = false;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_REQUEST_RELAY_H
