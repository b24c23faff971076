#include "tamarackdrum/gateway/peer-network.h"

#include "tamarackdrum/sleep.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace tamarackdrum::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t ReadBytes = 16U << 10U;
/// Size of the receive buffer. Heartbeats are far below the size at which
/// datagrams are fragmented.
constexpr std::size_t HeartbeatBytes = 1400;
/// Pause after a failed accept, e.g. for lack of file descriptors.
constexpr Millis AcceptPause{50};

} // namespace

PeerNetwork::PeerNetwork(asio::any_io_executor Executor,
                         PeerNetworkPolicy Policy, Roster &Hosts,
                         std::uint16_t Port, EventLog &Log,
                         GatewayMetrics &Metrics, PeerEvents Events)
    : m_executor(std::move(Executor)), m_policy(Policy), m_hosts(Hosts),
      m_port(Port), m_log(Log), m_metrics(Metrics), m_events(std::move(Events)),
      m_acceptor(m_executor), m_heartbeatSocket(m_executor) {}

std::error_code PeerNetwork::start() {
  boost::system::error_code Error;
  const asio::ip::address Own =
      asio::ip::make_address(m_hosts.self().m_ip, Error);
  if (Error)
    return Error;
  const std::error_code Failed =
      openAcceptor(m_acceptor, tcp::endpoint(Own, m_port));
  if (Failed)
    return Failed;
  m_heartbeatSocket.open(udp::v4(), Error);
  if (!Error)
    m_heartbeatSocket.bind(udp::endpoint(Own, m_port), Error);
  if (Error)
    return Error;
  asio::co_spawn(m_executor, acceptLoop(), asio::detached);
  asio::co_spawn(m_executor, receiveHeartbeats(), asio::detached);
  return {};
}

asio::awaitable<void> PeerNetwork::acceptLoop() {
  while (true) {
    auto [Error, Socket] = co_await m_acceptor.async_accept(UseTuple);
    if (Error == asio::error::operation_aborted)
      co_return;
    if (Error) {
      co_await sleepFor(AcceptPause);
      continue;
    }
    const LinkPtr Item = std::make_shared<Link>(std::move(Socket));
    Item->m_id = ++m_lastLinkId;
    Item->m_isConnected = true;
    setSocketOptions(*Item);
    m_links[Item->m_id] = Item;
    asio::co_spawn(m_executor, readLoop(Item), asio::detached);
  }
}

void PeerNetwork::setSocketOptions(Link &Item) const {
  boost::system::error_code Ignored; // A failure only costs latency.
  Item.m_socket.set_option(tcp::no_delay(true), Ignored);
  setTcpUserTimeout(Item.m_socket, m_policy.m_tcpUserTimeout);
}

asio::awaitable<void> PeerNetwork::receiveHeartbeats() {
  std::array<char, HeartbeatBytes> Bytes{};
  while (true) {
    udp::endpoint From;
    const auto [Error, Count] = co_await m_heartbeatSocket.async_receive_from(
        asio::buffer(Bytes), From, UseTuple);
    if (Error == asio::error::operation_aborted)
      co_return;
    if (Error)
      continue; // E.g. an earlier heartbeat reached a closed port.
    const Result<Heartbeat> Beat =
        decodeHeartbeat(std::string_view(Bytes.data(), Count));
    if (!Beat) {
      m_log.write("beat-unreadable", {{"from", From.address().to_string()},
                                      {"reason", Beat.error().message()}});
      continue;
    }
    m_events.m_onHeartbeat(Beat.value());
    if (!Beat.value().m_isReply)
      sendHeartbeat(Beat.value().m_host.m_ip, &Beat.value());
  }
}

void PeerNetwork::sendHeartbeat(const std::string &Ip,
                                const Heartbeat *Received) {
  Heartbeat Beat = m_events.m_makeHeartbeat(Received);
  Beat.m_isReply = Received != nullptr;
  const std::string Bytes = encodeHeartbeat(Beat);
  boost::system::error_code Error;
  const asio::ip::address Address = asio::ip::make_address(Ip, Error);
  // A heartbeat that cannot be sent counts as lost on its way.
  if (!Error)
    m_heartbeatSocket.send_to(asio::buffer(Bytes),
                              udp::endpoint(Address, m_port), 0, Error);
}

void PeerNetwork::sendDueHeartbeats() {
  for (const HostInfo &Peer : m_hosts.takeDueHeartbeats(BootClock::now()))
    sendHeartbeat(Peer.m_ip);
}

PeerNetwork::LinkPtr PeerNetwork::outgoingLink(const std::string &Host) {
  const auto Found = m_outgoing.find(Host);
  if (Found != m_outgoing.end())
    return Found->second;
  const TimePoint Now = BootClock::now();
  const auto Reconnect = m_reconnectAt.find(Host);
  if (Reconnect != m_reconnectAt.end() && Now < Reconnect->second)
    return nullptr;
  const std::optional<HostInfo> Info = m_hosts.find(Host);
  if (!Info)
    return nullptr;
  boost::system::error_code Error;
  const asio::ip::address Address = asio::ip::make_address(Info->m_ip, Error);
  if (Error)
    return nullptr;
  const LinkPtr Item = std::make_shared<Link>(tcp::socket(m_executor));
  Item->m_id = ++m_lastLinkId;
  setPeer(*Item, *Info);
  Item->m_isOutgoing = true;
  m_links[Item->m_id] = Item;
  m_outgoing[Host] = Item;
  encode(m_events.m_makeHello(Host), Item->m_queue);
  asio::co_spawn(m_executor, connectLink(Item, Endpoint(Address, m_port)),
                 asio::detached);
  return Item;
}

asio::awaitable<void> PeerNetwork::connectLink(LinkPtr Item, Endpoint Peer) {
  asio::steady_timer Limit(m_executor, m_policy.m_connectTimeout);
  Limit.async_wait([Item](boost::system::error_code Error) {
    boost::system::error_code Ignored;
    if (!Error && !Item->m_isConnected)
      Item->m_socket.close(Ignored);
  });
  const auto [Error] = co_await Item->m_socket.async_connect(Peer, UseTuple);
  if (Error) {
    close(Item, Error.message());
    co_return;
  }
  Item->m_isConnected = true;
  Limit.cancel();
  setSocketOptions(*Item);
  if (!Item->m_queue.empty() && !Item->m_isWriting) {
    Item->m_isWriting = true;
    asio::co_spawn(m_executor, writeLoop(Item), asio::detached);
  }
  co_await readLoop(Item);
}

asio::awaitable<void> PeerNetwork::readLoop(LinkPtr Item) {
  std::string Buffer;
  std::string Piece(ReadBytes, '\0');
  while (!Item->m_isClosed) {
    const auto [Error, Count] =
        co_await Item->m_socket.async_read_some(asio::buffer(Piece), UseTuple);
    if (Error) {
      close(Item, Error.message());
      co_return;
    }
    Buffer.append(Piece, 0, Count);
    Result<std::vector<PeerMessage>> Messages = decode(Buffer);
    if (!Messages) {
      close(Item, Messages.error().message());
      co_return;
    }
    for (PeerMessage &Message : Messages.value()) {
      if (const HelloMessage *Hello = std::get_if<HelloMessage>(&Message))
        setPeer(*Item, Hello->m_host);
      if (Item->m_host.empty()) {
        close(Item, "no hello");
        co_return;
      }
      m_hosts.markAlive(Item->m_host, BootClock::now());
      m_events.m_onMessage(Item->m_id, Item->m_host, Message);
    }
  }
}

asio::awaitable<void> PeerNetwork::writeLoop(LinkPtr Item) {
  while (!Item->m_isClosed && !Item->m_queue.empty()) {
    const std::string Bytes = std::move(Item->m_queue);
    Item->m_queue.clear();
    const auto [Error, Count] = co_await asio::async_write(
        Item->m_socket, asio::buffer(Bytes), UseTuple);
    if (Error) {
      close(Item, Error.message());
      co_return;
    }
  }
  Item->m_isWriting = false;
}

void PeerNetwork::setPeer(Link &Item, const HostInfo &Peer) const {
  Item.m_host = Peer.m_name;
  Item.m_isCrossZone = Peer.m_zone != m_hosts.self().m_zone;
}

void PeerNetwork::enqueue(const LinkPtr &Item, const PeerMessage &Message) {
  std::string Bytes;
  encode(Message, Bytes);
  enqueue(Item, toText(Message), Bytes);
}

void PeerNetwork::enqueue(const LinkPtr &Item, const char *Kind,
                          std::string_view Bytes) {
  if (Item->m_isClosed)
    return;
  Item->m_queue.append(Bytes);
  m_metrics.countPeerMessage(Kind, Item->m_isCrossZone, Bytes.size());
  if (Item->m_queue.size() > m_policy.m_maxQueueBytes) {
    close(Item, "peer does not read");
    return;
  }
  if (!Item->m_isConnected || Item->m_isWriting)
    return;
  Item->m_isWriting = true;
  asio::co_spawn(m_executor, writeLoop(Item), asio::detached);
}

void PeerNetwork::close(const LinkPtr &Item, std::string_view Reason) {
  if (Item->m_isClosed)
    return;
  Item->m_isClosed = true;
  // The peer must not act later on messages of a link that has been given up.
  setAbortiveClose(Item->m_socket, true);
  boost::system::error_code Ignored; // The socket is closed in any case.
  Item->m_socket.close(Ignored);
  m_links.erase(Item->m_id);
  if (Item->m_isOutgoing) {
    m_outgoing.erase(Item->m_host);
    m_reconnectAt[Item->m_host] = BootClock::now() + m_policy.m_reconnectDelay;
  }
  m_log.write("link-down", {{"peer", Item->m_host},
                            {"outgoing", Item->m_isOutgoing},
                            {"reason", Reason}});
  m_events.m_onLinkDown(Item->m_id, Item->m_host, Item->m_isOutgoing);
}

std::uint32_t PeerNetwork::send(const std::string &Host,
                                const PeerMessage &Message) {
  const LinkPtr Item = outgoingLink(Host);
  if (Item == nullptr)
    return 0;
  enqueue(Item, Message);
  return Item->m_isClosed ? 0 : Item->m_id;
}

void PeerNetwork::sendToCandidates(const PeerMessage &Message) {
  for (const HostInfo &Peer : m_hosts.candidates(BootClock::now()))
    if (Peer.m_name != m_hosts.self().m_name)
      send(Peer.m_name, Message);
}

void PeerNetwork::ensureLink(const std::string &Host) { outgoingLink(Host); }

void PeerNetwork::reply(std::uint32_t Id, const PeerMessage &Message) {
  const auto Found = m_links.find(Id);
  if (Found != m_links.end())
    enqueue(LinkPtr(Found->second), Message);
}

bool PeerNetwork::canSend(const std::string &Host,
                          std::size_t MaxQueued) const {
  const auto Found = m_outgoing.find(Host);
  return Found != m_outgoing.end() && Found->second->m_isConnected &&
         Found->second->m_queue.size() < MaxQueued;
}

std::size_t PeerNetwork::queuedBytes(std::uint32_t Id) const {
  const auto Found = m_links.find(Id);
  return Found == m_links.end() ? 0 : Found->second->m_queue.size();
}

void PeerNetwork::setFollower(std::uint32_t Id, bool IsFollowing) {
  const auto Found = m_links.find(Id);
  if (Found != m_links.end())
    Found->second->m_isFollower = IsFollowing;
}

bool PeerNetwork::hasFollowers() const {
  return std::any_of(m_links.begin(), m_links.end(), [](const auto &Item) {
    return Item.second->m_isFollower;
  });
}

void PeerNetwork::sendToFollowers(const PeerMessage &Message) {
  std::vector<LinkPtr> Followers;
  for (const auto &[Id, Item] : m_links)
    if (Item->m_isFollower)
      Followers.push_back(Item);
  if (Followers.empty())
    return;
  std::string Bytes;
  encode(Message, Bytes);
  for (const LinkPtr &Item : Followers)
    enqueue(Item, toText(Message), Bytes);
}

} // namespace tamarackdrum::gateway
