/// \file
/// Heartbeats (UDP) and links (TCP) between the hosts of a site.

#ifndef TAMARACKDRUM_GATEWAY_PEER_NETWORK_H
#define TAMARACKDRUM_GATEWAY_PEER_NETWORK_H

#include "tamarackdrum/gateway/connection.h"
#include "tamarackdrum/gateway/event-log.h"
#include "tamarackdrum/gateway/gateway-metrics.h"
#include "tamarackdrum/gateway/peer-message.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace tamarackdrum::gateway {

struct PeerNetworkPolicy {
  Millis m_connectTimeout{500};
  /// Pause after a link has ended before it is opened again.
  Millis m_reconnectDelay{300};
  /// The kernel closes a link whose data is not acknowledged for this long.
  Millis m_tcpUserTimeout{1500};
  /// A link with more bytes waiting to be sent is closed.
  std::size_t m_maxQueueBytes = 1 << 20;

  bool operator==(const PeerNetworkPolicy &) const = default;
};

/// Callbacks of the network, all called on its thread.
struct PeerEvents {
  /// A message from \p Host has arrived on \p Link. Replies go to that link.
  std::function<void(std::uint32_t Link, const std::string &Host,
                     PeerMessage &Message)>
      m_onMessage;
  /// A link has ended; \p IsOutgoing if this host had opened it.
  std::function<void(std::uint32_t Link, const std::string &Host,
                     bool IsOutgoing)>
      m_onLinkDown;
  /// Returns the first message of a new outgoing link.
  std::function<HelloMessage(const std::string &Host)> m_makeHello;
  /// Returns the heartbeat to send now; \p Received is the heartbeat that it
  /// answers, or null.
  std::function<Heartbeat(const Heartbeat *Received)> m_makeHeartbeat;
  std::function<void(const Heartbeat &)> m_onHeartbeat;
};

class PeerNetwork {
public:
  PeerNetwork(boost::asio::any_io_executor Executor, PeerNetworkPolicy Policy,
              Roster &Hosts, std::uint16_t Port, EventLog &Log,
              GatewayMetrics &Metrics, PeerEvents Events);

  /// Opens the ports. Errors: those of the system.
  std::error_code start();

  /// Sends over the outgoing link to \p Host, which is opened if necessary.
  /// Returns the id of the link, or 0 if there is none and none can be opened
  /// now.
  std::uint32_t send(const std::string &Host, const PeerMessage &Message);
  /// Sends to all candidates except this host.
  void sendToCandidates(const PeerMessage &Message);
  /// Opens the link to \p Host if there is none.
  void ensureLink(const std::string &Host);
  /// Returns whether this host has an outgoing link to \p Host, connected or
  /// connecting.
  bool hasLink(const std::string &Host) const {
    return m_outgoing.count(Host) > 0;
  }
  /// Sends over a link that either side has opened. Does nothing if the link
  /// has ended.
  void reply(std::uint32_t Link, const PeerMessage &Message);
  /// Sets whether the host at the other end follows this one.
  void setFollower(std::uint32_t Link, bool IsFollowing);
  bool hasFollowers() const;
  /// Sends to all hosts that follow this one.
  void sendToFollowers(const PeerMessage &Message);

  /// Returns whether messages to \p Host can be sent at once over an outgoing
  /// link on which less than \p MaxQueued bytes wait.
  bool canSend(const std::string &Host, std::size_t MaxQueued) const;
  /// Returns the bytes that wait on a link; 0 if it has ended.
  std::size_t queuedBytes(std::uint32_t Link) const;

  void sendDueHeartbeats();
  /// Sends a heartbeat to \p Ip, in reply to \p Received unless it is null.
  void sendHeartbeat(const std::string &Ip,
                     const Heartbeat *Received = nullptr);

private:
  struct Link {
    explicit Link(boost::asio::ip::tcp::socket Socket)
        : m_socket(std::move(Socket)) {}

    boost::asio::ip::tcp::socket m_socket;
    std::uint32_t m_id = 0;
    std::string m_host; ///< Empty until the peer's first message.
    bool m_isOutgoing = false;
    bool m_isConnected = false;
    bool m_isClosed = false;
    bool m_isWriting = false;
    bool m_isCrossZone = false; ///< False while the peer is unknown.
    bool m_isFollower = false;
    std::string m_queue; ///< Encoded messages to be sent.
  };
  using LinkPtr = std::shared_ptr<Link>;

  boost::asio::awaitable<void> acceptLoop();
  boost::asio::awaitable<void> receiveHeartbeats();
  boost::asio::awaitable<void> connectLink(LinkPtr Item, Endpoint Peer);
  boost::asio::awaitable<void> readLoop(LinkPtr Item);
  boost::asio::awaitable<void> writeLoop(LinkPtr Item);
  /// Returns the outgoing link to \p Host, which is opened if necessary, or
  /// null if it cannot be opened now.
  LinkPtr outgoingLink(const std::string &Host);
  void enqueue(const LinkPtr &Item, const PeerMessage &Message);
  /// Enqueues an encoded message of type \p Kind.
  void enqueue(const LinkPtr &Item, const char *Kind, std::string_view Bytes);
  void setPeer(Link &Item, const HostInfo &Peer) const;
  void close(const LinkPtr &Item, std::string_view Reason);
  void setSocketOptions(Link &Item) const;

  boost::asio::any_io_executor m_executor;
  const PeerNetworkPolicy m_policy;
  Roster &m_hosts;
  const std::uint16_t m_port;
  EventLog &m_log;
  GatewayMetrics &m_metrics;
  const PeerEvents m_events;
  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::ip::udp::socket m_heartbeatSocket;
  std::uint32_t m_lastLinkId = 0;
  std::map<std::uint32_t, LinkPtr> m_links;       ///< By id.
  std::map<std::string, LinkPtr> m_outgoing;      ///< By host.
  std::map<std::string, TimePoint> m_reconnectAt; ///< By host.
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_PEER_NETWORK_H
