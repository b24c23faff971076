#include "tamarackdrum/gateway/request-relay.h"

#include "tamarackdrum/answer-reader.h"
#include "tamarackdrum/gateway/message-head.h"
#include "tamarackdrum/gateway/relay-peers.h"
#include "tamarackdrum/sleep.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace tamarackdrum::gateway {
namespace {

namespace asio = boost::asio;

/// Interval at which an answer waits until its link has sent earlier ones.
constexpr Millis QueuePollInterval{5};
/// Idle connections to one server that are kept of relayed requests.
constexpr std::size_t MaxIdleConnections = 2;

Millis timeUntil(TimePoint End) {
  return std::chrono::duration_cast<Millis>(End - BootClock::now());
}

/// Returns the fingerprint of a request that another host has sent.
Fingerprint fingerprintOf(const RelayMessage &Message) {
  const std::string_view Head = Message.m_head;
  const std::size_t MethodEnd = std::min(Head.find(' '), Head.size());
  const std::string_view Rest =
      Head.substr(std::min(MethodEnd + 1, Head.size()));
  return tamarackdrum::fingerprintOf(Head.substr(0, MethodEnd),
                                     Rest.substr(0, Rest.find(' ')),
                                     Message.m_body);
}

/// Returns the head of an answer as a relaying host passes it back.
std::string headOf(const UpstreamReply &Reply, bool IsToHead) {
  const ReplyHead &Head = Reply.m_parser->get();
  const boost::optional<std::uint64_t> Length =
      Reply.m_parser->content_length();
  Framing Body;
  if (!IsToHead)
    Body.m_length = Reply.m_body.size();
  else if (Length)
    Body.m_length = *Length;
  const bool HasNoBody = Head.result_int() == 204 || Head.result_int() == 304;
  return makeReplyHead(Head, HasNoBody && !IsToHead ? Framing{} : Body, false);
}

RelayAnswerMessage makeAnswer(std::uint32_t Number, const UpstreamReply &Reply,
                              bool IsToHead) {
  RelayAnswerMessage Out;
  Out.m_number = Number;
  Out.m_result = Reply.m_result;
  Out.m_isSent = Reply.m_isSent;
  Out.m_isAccepted = true;
  Out.m_serviceTime = Reply.m_serviceTime;
  Out.m_report = Reply.m_report;
  Out.m_isLeaving = Reply.m_isLeaving;
  Out.m_restTime = Reply.m_restTime;
  const bool HasAnswer = Reply.m_result == DispatchResult::Served ||
                         Reply.m_result == DispatchResult::Failed ||
                         Reply.m_result == DispatchResult::Refused ||
                         Reply.m_result == DispatchResult::NotHeld;
  // An answer that no client gets, see EdgeServer::forwardReply(), is not
  // passed on: hosts of earlier versions would forward it.
  const bool IsKeptBack = Reply.m_result == DispatchResult::Failed &&
                          promisesNotRun(Reply.m_parser->get().result_int());
  if (Reply.m_hasMore) {
    // Too long to be buffered: the request has run, but its answer is lost.
    Out.m_result = DispatchResult::ConnectionLost;
  } else if (HasAnswer && Reply.m_parser != nullptr && !IsKeptBack) {
    Out.m_head = headOf(Reply, IsToHead);
    Out.m_body = Reply.m_body;
  }
  return Out;
}

} // namespace

UpstreamReply makeRelayedReply(RelayAnswerMessage Message, bool IsToHead) {
  UpstreamReply Out;
  Out.m_result = Message.m_result;
  Out.m_isSent = Message.m_isSent;
  Out.m_serviceTime = Message.m_serviceTime;
  Out.m_report = Message.m_report;
  Out.m_isLeaving = Message.m_isLeaving;
  Out.m_restTime = Message.m_restTime;
  if (Message.m_head.empty())
    return Out;
  Out.m_parser = std::make_shared<ResponseParser>();
  Out.m_parser->body_limit(boost::none);
  Out.m_parser->skip(IsToHead);
  boost::system::error_code Error;
  Out.m_parser->put(asio::buffer(Message.m_head), Error);
  // A peer of an earlier version passes on what is no answer.
  if (!Out.m_parser->is_header_done() || checkHead(Out.m_parser->get())) {
    Out.m_parser = nullptr;
    Out.m_result = DispatchResult::ConnectionLost;
    return Out;
  }
  // A peer of an earlier version takes every 408 and 429 for a served request
  // unless it is a rejection.
  if (Out.m_result == DispatchResult::Served &&
      promisesNotRun(Out.m_parser->get().result_int()))
    Out.m_result = DispatchResult::Failed;
  Out.m_body = std::move(Message.m_body);
  return Out;
}

RequestRelay::RequestRelay(asio::any_io_executor Executor, RelayPolicy Policy,
                           Roster &Hosts, UpstreamClient &Upstreams,
                           ContactMonitor &Contacts, EventLog &Log,
                           GatewayMetrics &Metrics, FindServer Find,
                           BrokenHandler OnBroken)
    : m_executor(std::move(Executor)), m_policy(Policy), m_hosts(Hosts),
      m_upstreams(Upstreams), m_contacts(Contacts), m_log(Log),
      m_metrics(Metrics), m_findServer(std::move(Find)),
      m_onBroken(std::move(OnBroken)) {}

std::size_t RequestRelay::pendingAt(const std::string &Peer) const {
  return static_cast<std::size_t>(
      std::count_if(m_pending.begin(), m_pending.end(), [&](const auto &Item) {
        return Item.second->m_peer == Peer;
      }));
}

std::string
RequestRelay::choosePeer(const std::vector<std::string> &Tried) const {
  const std::vector<std::string> Usable =
      usableRelays(m_hosts, BootClock::now());
  std::string Out;
  std::size_t Fewest = m_policy.m_maxPerPeer;
  // The start rotates, so that peers with equal counts take turns.
  for (std::size_t I = 0; I < Usable.size(); ++I) {
    const std::string &Name = Usable[(I + m_lastNumber) % Usable.size()];
    if (std::find(Tried.begin(), Tried.end(), Name) != Tried.end() ||
        !m_network->canSend(Name, m_policy.m_maxQueuedBytes))
      continue;
    const std::size_t Count = pendingAt(Name);
    if (Count >= Fewest)
      continue;
    Fewest = Count;
    Out = Name;
  }
  return Out;
}

asio::awaitable<RequestRelay::PendingPtr>
RequestRelay::passOn(std::string Peer,
                     std::shared_ptr<const UpstreamRequest> Request,
                     CancelToken &Token) {
  const std::uint32_t Number = ++m_lastNumber;
  const PendingPtr Item = std::make_shared<Pending>(m_executor);
  Item->m_peer = Peer;
  const RelayMessage Message{Number,
                             Request->m_server.m_id,
                             Request->m_head,
                             Request->m_body,
                             Request->m_requestId,
                             Request->m_isHeadRequest,
                             Request->m_isSafe,
                             timeUntil(Request->m_deadline)};
  Item->m_link = m_network->send(Peer, Message);
  if (Item->m_link == 0)
    co_return nullptr;
  m_pending[Number] = Item;
  Item->m_event.expires_after(timeUntil(Request->m_deadline) +
                              m_policy.m_answerGrace);
  Token.m_onCancel = [this, Item] {
    Item->m_isCancelled = true;
    resolve(Item, false);
  };
  if (!Item->m_isLost && !Token.isCancelled())
    co_await Item->m_event.async_wait(asio::as_tuple(asio::use_awaitable));
  Token.m_onCancel = nullptr;
  m_pending.erase(Number);
  if (!Item->m_answer && !Item->m_isLost)
    m_network->reply(Item->m_link, RelayCancelMessage{Number});
  co_return Item;
}

asio::awaitable<UpstreamReply> RequestRelay::execute(UpstreamRequest Request,
                                                     CancelToken &Token) {
  const TimePoint StartedAt = BootClock::now();
  const auto Shared =
      std::make_shared<const UpstreamRequest>(std::move(Request));
  std::vector<std::string> Tried;
  UpstreamReply Reply;
  Reply.m_result = DispatchResult::Withdrawn;
  while (Tried.size() < m_policy.m_maxPeers && !Token.isCancelled()) {
    const std::string Peer = choosePeer(Tried);
    if (Peer.empty())
      break;
    Tried.push_back(Peer);
    const PendingPtr Item = co_await passOn(Peer, Shared, Token);
    if (Item == nullptr)
      continue;
    if (Item->m_answer && !Item->m_answer->m_isAccepted) {
      m_metrics.count("relayed", "result=\"not-taken\"");
      continue;
    }
    if (Item->m_answer) {
      Reply =
          makeRelayedReply(std::move(*Item->m_answer), Shared->m_isHeadRequest);
    } else {
      Reply.m_isSent = true;
      Reply.m_isPeerLost = Item->m_isLost;
      Reply.m_serviceTime =
          std::chrono::duration_cast<Millis>(BootClock::now() - StartedAt);
      Reply.m_result = Item->m_isLost        ? DispatchResult::ConnectionLost
                       : Item->m_isCancelled ? DispatchResult::Withdrawn
                                             : DispatchResult::TimedOut;
    }
    Reply.m_isRelayed = true;
    m_metrics.count("relayed",
                    Item->m_answer ? "result=\"answered\"" : "result=\"lost\"");
    m_log.writeRequest("relayed",
                       {{"request", Shared->m_requestId},
                        {"server", Shared->m_server.m_id},
                        {"peer", Peer},
                        {"result", static_cast<int>(Reply.m_result)}});
    const bool IsAnswer =
        Reply.m_parser != nullptr || Reply.m_result == DispatchResult::Failed;
    if (IsAnswer && Shared->m_onHead)
      Shared->m_onHead(Reply.m_result, Reply.m_serviceTime, Reply.m_report);
    break;
  }
  co_return Reply;
}

void RequestRelay::resolve(const PendingPtr &Item, bool IsLost) {
  Item->m_isLost = IsLost;
  Item->m_event.cancel();
}

void RequestRelay::onAnswer(std::uint32_t Link, RelayAnswerMessage &Message) {
  const auto Found = m_pending.find(Message.m_number);
  if (Found == m_pending.end() || Found->second->m_link != Link)
    return;
  Found->second->m_answer = std::move(Message);
  resolve(Found->second, false);
}

void RequestRelay::onLinkDown(std::uint32_t Link) {
  for (const auto &[Number, Item] : m_pending)
    if (Item->m_link == Link && !Item->m_answer)
      resolve(Item, true);
  // Nobody waits for these answers. Unsafe requests are not interrupted.
  for (const auto &[Id, Item] : m_served)
    if (Id.first == Link && Item.m_isSafe)
      Item.m_token->cancel();
}

void RequestRelay::tick() {
  const TimePoint Now = BootClock::now();
  for (const auto &[Number, Item] : m_pending)
    if (!Item->m_answer && !m_hosts.isAlive(Item->m_peer, Now))
      resolve(Item, true);
}

void RequestRelay::onCancel(std::uint32_t Link,
                            const RelayCancelMessage &Message) {
  const auto Found = m_served.find({Link, Message.m_number});
  if (Found != m_served.end() && Found->second.m_isSafe)
    Found->second.m_token->cancel();
}

void RequestRelay::onRelay(std::uint32_t Link, RelayMessage &Message) {
  const ServerEntry *Server = m_findServer(Message.m_server);
  const std::size_t Bytes = Message.m_head.size() + Message.m_body.size();
  const bool IsTaken = !m_isDraining && Server != nullptr &&
                       mayGetRequests(*Server) && !m_contacts.isSuspected() &&
                       Message.m_timeLeft > Millis(0) &&
                       m_served.size() < m_policy.m_maxServed &&
                       m_servedBytes + Bytes <= m_policy.m_maxServedBytes;
  m_metrics.count("relay_requests",
                  IsTaken ? "result=\"taken\"" : "result=\"refused\"");
  if (!IsTaken) {
    RelayAnswerMessage Answer;
    Answer.m_number = Message.m_number;
    m_network->reply(Link, Answer);
    return;
  }
  ServerEntry Target = *Server;
  asio::co_spawn(m_executor, serve(Link, std::move(Message), std::move(Target)),
                 asio::detached);
}

asio::awaitable<void> RequestRelay::serve(std::uint32_t Link,
                                          RelayMessage Message,
                                          ServerEntry Server) {
  const std::size_t Bytes = Message.m_head.size() + Message.m_body.size();
  const ServedId Id{Link, Message.m_number};
  const auto Token = std::make_shared<CancelToken>();
  const TimePoint End = BootClock::now() + Message.m_timeLeft;
  m_served[Id] = {Token, Message.m_isSafe};
  m_servedBytes += Bytes;
  const Fingerprint Print = fingerprintOf(Message);
  UpstreamRequest Request;
  Request.m_server = Server;
  Request.m_head = std::move(Message.m_head);
  Request.m_body = std::move(Message.m_body);
  Request.m_requestId = Message.m_requestId;
  Request.m_isHeadRequest = Message.m_isHeadRequest;
  Request.m_isSafe = Message.m_isSafe;
  Request.m_deadline = End;
  Request.m_maxIdleConnections = MaxIdleConnections;
  const std::uint32_t Attempt = m_contacts.begin(nullptr);
  const UpstreamReply Reply =
      co_await m_upstreams.execute(std::move(Request), *Token);
  m_contacts.end(Attempt, Server.m_id, Reply);
  // The other host cannot look whether the server has ended.
  if (Reply.m_result == DispatchResult::ConnectionLost)
    m_onBroken(Print, Server);
  const RelayAnswerMessage Answer =
      makeAnswer(Message.m_number, Reply, Message.m_isHeadRequest);
  while (m_network->queuedBytes(Link) > m_policy.m_maxQueuedBytes &&
         BootClock::now() < End)
    co_await sleepFor(QueuePollInterval);
  m_network->reply(Link, Answer);
  m_served.erase(Id);
  m_servedBytes -= Bytes;
}

} // namespace tamarackdrum::gateway
