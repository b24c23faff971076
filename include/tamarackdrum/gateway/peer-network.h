/// \file
/// Beats (UDP) and links (TCP) between the hosts of a site.

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
  /// Pause after a failed connection before the next one.
  Millis m_reconnectDelay{300};
  /// The kernel ends a link whose data is not acknowledged for this long.
  Millis m_tcpUserTimeout{1500};
  /// Bytes that may wait for a link; it is closed beyond.
  std::size_t m_maxQueueBytes = 1 << 20;

  bool operator==(const PeerNetworkPolicy &) const = default;
};

/// What happens on links. All are called on the thread of the network.
struct PeerEvents {
  /// A message from \p Host on \p Link. Replies go to the same link.
  std::function<void(std::uint32_t Link, const std::string &Host,
                     PeerMessage &Message)>
      m_onMessage;
  /// A link has ended; \p IsOutgoing if this host had opened it.
  std::function<void(std::uint32_t Link, const std::string &Host,
                     bool IsOutgoing)>
      m_onLinkDown;
  /// Returns the first message of a new outgoing link.
  std::function<HelloMessage(const std::string &Host)> m_makeHello;
  /// Returns the beat to send now; \p Asked is the one that it answers, or
  /// null.
  std::function<Heartbeat(const Heartbeat *Asked)> m_makeHeartbeat;
  std::function<void(const Heartbeat &)> m_onHeartbeat;
};

class PeerNetwork {
public:
  PeerNetwork(boost::asio::any_io_executor Executor, PeerNetworkPolicy Policy,
              Roster &Hosts, std::uint16_t Port, EventLog &Log,
              GatewayMetrics &Metrics, PeerEvents Events);

  /// Opens the ports. Errors: those of the system.
  std::error_code start();

  /// Sends over the link to \p Host and opens it if need be. Returns the
  /// number of the link, or 0 if there is none and none may be opened now.
  std::uint32_t send(const std::string &Host, const PeerMessage &Message);
  /// Sends to the anchors other than this host.
  void sendToCandidates(const PeerMessage &Message);
  /// Opens the link to \p Host if it is down.
  void ensureLink(const std::string &Host);
  /// Returns whether this host has opened a link to \p Host that is up or on
  /// its way.
  bool hasLink(const std::string &Host) const {
    return m_outgoing.count(Host) > 0;
  }
  /// Sends over a link that either side has opened.
  void reply(std::uint32_t Link, const PeerMessage &Message);
  /// Notes whether the host at the other end wants the news of the store.
  void setFollower(std::uint32_t Link, bool IsFollowing);
  bool hasFollowers() const;
  /// Sends to all hosts that follow this one.
  void sendToFollowers(const PeerMessage &Message);

  /// Sends the beats that are due.
  void sendDueHeartbeats();
  void sendHeartbeat(const std::string &Ip, const Heartbeat *Asked = nullptr);

private:
  struct Link {
    explicit Link(boost::asio::ip::tcp::socket Socket)
        : m_socket(std::move(Socket)) {}

    boost::asio::ip::tcp::socket m_socket;
    std::uint32_t m_id = 0;
    std::string m_host;
    bool m_isOutgoing = false;
    bool m_isConnected = false;
    bool m_isClosed = false;
    bool m_isWriting = false;
    bool m_isCrossZone = false; ///< As far as is known of the peer.
    bool m_isFollower = false;
    std::string m_queue;
  };
  using LinkPtr = std::shared_ptr<Link>;

  boost::asio::awaitable<void> acceptLoop();
  boost::asio::awaitable<void> receiveHeartbeats();
  boost::asio::awaitable<void> connectLink(LinkPtr Item, Endpoint Peer);
  boost::asio::awaitable<void> readLoop(LinkPtr Item);
  boost::asio::awaitable<void> writeLoop(LinkPtr Item);
  LinkPtr outgoingLink(const std::string &Host);
  void enqueue(const LinkPtr &Item, const PeerMessage &Message);
  /// The same for a message that is encoded already.
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
  std::map<std::uint32_t, LinkPtr> m_links;
  std::map<std::string, LinkPtr> m_outgoing;
  std::map<std::string, TimePoint> m_reconnectAt;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_PEER_NETWORK_H
