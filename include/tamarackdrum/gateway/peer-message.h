/// \file
/// Messages between hosts, encoded as MessagePack arrays.

#ifndef TAMARACKDRUM_GATEWAY_PEER_MESSAGE_H
#define TAMARACKDRUM_GATEWAY_PEER_MESSAGE_H

#include "tamarackdrum/gateway/dispatcher.h"
#include "tamarackdrum/gateway/evacuations.h"
#include "tamarackdrum/gateway/roster.h"
#include "tamarackdrum/gateway/store-time.h"

#include <variant>

namespace tamarackdrum::gateway {

/// A running dispatch, reported by its host to a new coordinator.
struct RunningDispatch {
  std::uint32_t m_number = 0;
  std::string m_service;
  std::string m_server;
  std::string m_route;
  Millis m_timeLeft{0}; ///< Until it ends at the latest.

  bool operator==(const RunningDispatch &) const = default;
};

/// Rate limit of a server that the sender has heard of.
struct ToldLimit {
  std::string m_service;
  std::string m_server;
  double m_perSecond = 0;
  Millis m_age{0}; ///< Since the server last named it.

  bool operator==(const ToldLimit &) const = default;
};

/// A server that counts as cold for a reason that the registry does not show.
struct ToldCold {
  std::string m_service;
  std::string m_server;
  Millis m_left{0}; ///< Until it counts as warm.

  bool operator==(const ToldCold &) const = default;
};

/// First message on a link: identifies the sender and its running dispatches.
struct HelloMessage {
  HostInfo m_host;
  std::vector<RunningDispatch> m_running;
  bool m_isFollowing = false; ///< See FollowMessage.
  std::vector<ToldLimit> m_limits;
  std::vector<ToldCold> m_cold;

  bool operator==(const HelloMessage &) const = default;
};

/// Running dispatches for a receiver that becomes coordinator while the link
/// exists.
struct RunningMessage {
  std::vector<RunningDispatch> m_running;
  std::vector<ToldLimit> m_limits;
  std::vector<ToldCold> m_cold;

  bool operator==(const RunningMessage &) const = default;
};

/// Subscribes to the store's content as the receiver knows it, or unsubscribes.
struct FollowMessage {
  bool m_isFollowing = true;

  bool operator==(const FollowMessage &) const = default;
};

/// Hosts of the site, from the reader of the store.
struct HostsMessage {
  /// Time of the store when it listed all hosts; empty if m_hosts has only some
  /// of them.
  std::optional<StoreTime> m_listedAt;
  std::vector<HostInfo> m_hosts;

  bool operator==(const HostsMessage &) const = default;
};

/// Requests a slot. The receiver sets the link of the id and the zone.
struct DispatchRequestMessage {
  std::string m_service;
  DispatchRequest m_request;

  bool operator==(const DispatchRequestMessage &) const = default;
};

/// The dispatcher has queued a request that it cannot dispatch yet.
struct QueuedMessage {
  std::uint32_t m_number = 0;

  bool operator==(const QueuedMessage &) const = default;
};

/// Answers a DispatchRequestMessage with a server or a refusal.
struct DecisionMessage {
  DispatchDecision m_decision;

  bool operator==(const DecisionMessage &) const = default;
};

/// Reports the end of a dispatch, which frees its slot.
struct FinishMessage {
  std::string m_service; ///< Empty if the sender does not know it.
  std::uint32_t m_number = 0;
  DispatchResult m_result = DispatchResult::Served;
  Millis m_serviceTime{0};
  AnswerReport m_report; ///< What the answer says about its server.

  bool operator==(const FinishMessage &) const = default;
};

/// Cancels a DispatchRequestMessage.
struct WithdrawMessage {
  std::string m_service;
  std::uint32_t m_number = 0;

  bool operator==(const WithdrawMessage &) const = default;
};

/// Holders of the keys of a service: all of them or only the changed ones.
struct KeyMapMessage {
  std::string m_service;
  KeyMapUpdate m_change;

  bool operator==(const KeyMapMessage &) const = default;
};

/// Tells the granter that a server has answered that it does not hold a key.
struct NotHeldMessage {
  std::string m_service;
  Key m_key = 0;

  bool operator==(const NotHeldMessage &) const = default;
};

/// Requests all holders of the keys of a service.
struct KeyMapRequest {
  std::string m_service;

  bool operator==(const KeyMapRequest &) const = default;
};

/// Requests what the receiver knows of the store's content.
struct StateRequest {
  bool m_needsConfiguration = true;
  bool m_needsServers = true;

  bool operator==(const StateRequest &) const = default;
};

/// Answer to a StateRequest from a host that has no listing from the store, but
/// may know servers from its peers.
struct StateMessage {
  std::string m_configuration; ///< As the store holds it; empty if unknown.
  std::vector<ServerEntry> m_servers;
  Evacuations m_evacuations;

  bool operator==(const StateMessage &) const = default;
};

/// A server has crashed while it ran the request with this fingerprint.
struct CrashMessage {
  std::uint64_t m_fingerprint = 0;
  std::string m_server; ///< Id and start time of the server process.
  /// The request has been answered since: the crash does not count against it.
  /// A process that does not know this field takes the message for a copy of
  /// the one that reported the crash.
  bool m_isVoid = false;
  Millis m_age{0}; ///< Since the crash, if it is reported once more.

  bool operator==(const CrashMessage &) const = default;
};

/// A server has announced in an answer that it leaves.
struct LeavingMessage {
  std::string m_server;
  std::int64_t m_startMs = 0; ///< Start of the server process, Unix ms.

  bool operator==(const LeavingMessage &) const = default;
};

/// The server registry, as last read from the store: all rows or the changes.
/// Sent after each successful read, so that followers need not read the store.
struct ListingMessage {
  std::uint64_t m_version = 0;     ///< Increases when the rows change.
  std::uint64_t m_baseVersion = 0; ///< Version that is changed; 0: all rows.
  StoreTime m_storeTime;           ///< Of the read.
  std::uint32_t m_ageMs = 0;       ///< Since the start of the read.
  std::uint32_t m_configAgeMs = 0; ///< Since m_configVersion was the newest.
  std::uint64_t m_configVersion = 0;
  bool m_hasChanges = false;     ///< False: the rows are those of m_version.
  std::vector<ServerRow> m_rows; ///< New and changed rows.
  std::vector<std::string> m_removed; ///< Ids of removed rows.
  /// Repeated, so that a follower that has missed a change learns of it.
  Evacuations m_evacuations;

  bool operator==(const ListingMessage &) const = default;
};

/// A new configuration, as the store holds it. It carries the evacuations, so
/// that no process has routes without knowing which zones it must not use.
struct ConfigurationMessage {
  std::string m_text;
  Evacuations m_evacuations;

  bool operator==(const ConfigurationMessage &) const = default;
};

/// The evacuated zones have changed.
struct EvacuationsMessage {
  Evacuations m_evacuations;

  bool operator==(const EvacuationsMessage &) const = default;
};

/// Asks the receiver to send a request to a server, since the sender is cut off
/// from the servers.
struct RelayMessage {
  std::uint32_t m_number = 0; ///< Identifies the request on the link.
  std::string m_server;       ///< Chosen by the dispatcher of the service.
  std::string m_head;         ///< As in UpstreamRequest.
  std::string m_body;         ///< As in UpstreamRequest; always whole.
  std::string m_requestId;
  bool m_isHeadRequest = false;
  bool m_isSafe = true;
  Millis m_timeLeft{0}; ///< Until the end of the wait for the answer.

  bool operator==(const RelayMessage &) const = default;
};

/// Answer to a RelayMessage.
struct RelayAnswerMessage {
  std::uint32_t m_number = 0;
  DispatchResult m_result = DispatchResult::Unreachable;
  bool m_isSent = false;     ///< The request may have reached the server.
  bool m_isAccepted = false; ///< False: the receiver has not tried to send it.
  Millis m_serviceTime{0};   ///< As measured by the relaying host.
  AnswerReport m_report;
  bool m_isLeaving = false;
  Millis m_restTime{0};
  std::string m_head; ///< Status line and headers; empty if none arrived.
  std::string m_body;

  bool operator==(const RelayAnswerMessage &) const = default;
};

/// Ends a RelayMessage whose answer is no longer wanted.
struct RelayCancelMessage {
  std::uint32_t m_number = 0;

  bool operator==(const RelayCancelMessage &) const = default;
};

using PeerMessage =
    std::variant<HelloMessage, RunningMessage, DispatchRequestMessage,
                 QueuedMessage, DecisionMessage, FinishMessage, WithdrawMessage,
                 KeyMapMessage, NotHeldMessage, KeyMapRequest, StateRequest,
                 StateMessage, CrashMessage, ListingMessage,
                 ConfigurationMessage, FollowMessage, HostsMessage,
                 LeavingMessage, EvacuationsMessage, RelayMessage,
                 RelayAnswerMessage, RelayCancelMessage>;

/// Returns the name of the message's type, for logs and metrics.
const char *toText(const PeerMessage &Message) noexcept;

/// Appends the encoding of \p Message to \p Out.
void encode(const PeerMessage &Message, std::string &Out);

/// Decodes all complete messages at the front of \p Buffer and removes them.
/// Errors: ControlErrc::Malformed, ControlErrc::WrongVersion; the link must be
/// closed then.
Result<std::vector<PeerMessage>> decode(std::string &Buffer);

std::string encodeHeartbeat(const Heartbeat &Beat);
/// Errors: ControlErrc::Malformed, ControlErrc::WrongVersion.
Result<Heartbeat> decodeHeartbeat(std::string_view Bytes);

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_PEER_MESSAGE_H
