/// \file
/// Messages between hosts, encoded with MessagePack as arrays.

#ifndef TAMARACKDRUM_GATEWAY_PEER_MESSAGE_H
#define TAMARACKDRUM_GATEWAY_PEER_MESSAGE_H

#include "tamarackdrum/gateway/dispatcher.h"
#include "tamarackdrum/gateway/roster.h"
#include "tamarackdrum/gateway/store-time.h"

#include <variant>

namespace tamarackdrum::gateway {

/// A dispatch that a host has running, for a coordinator that is new to it.
struct RunningDispatch {
  std::uint32_t m_number = 0;
  std::string m_service;
  std::string m_server;
  std::string m_route;
  Millis m_timeLeft{0}; ///< Until it has ended at the latest.

  bool operator==(const RunningDispatch &) const = default;
};

/// First message of a link: who asks, and what it has running.
struct HelloMessage {
  HostInfo m_host;
  std::vector<RunningDispatch> m_running;
  bool m_isFollowing = false; ///< See FollowMessage.

  bool operator==(const HelloMessage &) const = default;
};

/// The same over a link that is there already.
struct RunningMessage {
  std::vector<RunningDispatch> m_running;

  bool operator==(const RunningMessage &) const = default;
};

/// The sender wants, or no longer wants, to be told what the store holds.
struct FollowMessage {
  bool m_isFollowing = true;

  bool operator==(const FollowMessage &) const = default;
};

/// Hosts of the site, as the reader of the store knows them.
struct HostsMessage {
  /// When all hosts were listed; without it these are some that are new.
  std::optional<StoreTime> m_listedAt;
  std::vector<HostInfo> m_hosts;

  bool operator==(const HostsMessage &) const = default;
};

/// A host wants a slot. The receiver sets the link of its id.
struct DispatchRequestMessage {
  std::string m_service;
  DispatchRequest m_request;

  bool operator==(const DispatchRequestMessage &) const = default;
};

/// The dispatcher has taken an ask and cannot place it yet.
struct QueuedMessage {
  std::uint32_t m_number = 0;

  bool operator==(const QueuedMessage &) const = default;
};

struct DecisionMessage {
  DispatchDecision m_decision;

  bool operator==(const DecisionMessage &) const = default;
};

struct FinishMessage {
  std::string m_service;
  std::uint32_t m_number = 0;
  DispatchResult m_result = DispatchResult::Served;
  Millis m_serviceTime{0};

  bool operator==(const FinishMessage &) const = default;
};

struct WithdrawMessage {
  std::string m_service;
  std::uint32_t m_number = 0;

  bool operator==(const WithdrawMessage &) const = default;
};

/// Holders of the keys of a service: all, or those that have changed.
struct KeyMapMessage {
  std::string m_service;
  KeyMapUpdate m_change;

  bool operator==(const KeyMapMessage &) const = default;
};

/// A server answered that it does not hold a key.
struct NotHeldMessage {
  std::string m_service;
  Key m_key = 0;

  bool operator==(const NotHeldMessage &) const = default;
};

/// Asks the granter for all holders of the keys of a service.
struct KeyMapRequest {
  std::string m_service;

  bool operator==(const KeyMapRequest &) const = default;
};

/// Asks a peer for what it knows of the store's content.
struct StateRequest {
  bool m_needsConfiguration = true;
  bool m_needsServers = true;

  bool operator==(const StateRequest &) const = default;
};

/// The configuration as the store holds it, and the server directory, from a
/// host that does not read the store at present.
struct StateMessage {
  std::string m_configuration; ///< Empty if there is none.
  std::vector<ServerEntry> m_servers;

  bool operator==(const StateMessage &) const = default;
};

/// A server has ended while it ran the request with this fingerprint.
struct CrashMessage {
  std::uint64_t m_fingerprint = 0;
  std::string m_server; ///< Id and start of the server's life.

  bool operator==(const CrashMessage &) const = default;
};

/// A server has said in an answer that it leaves.
struct LeavingMessage {
  std::string m_server;
  std::int64_t m_startMs = 0; ///< Start of the life that leaves.

  bool operator==(const LeavingMessage &) const = default;
};

/// What the reader of the store has read last. Sent after each good read, so
/// that the other hosts need not read, too.
struct ListingMessage {
  std::uint64_t m_version = 0;     ///< Grows when the rows change.
  std::uint64_t m_baseVersion = 0; ///< Version that the rows change; 0: none.
  StoreTime m_storeTime;           ///< Of the read.
  std::uint32_t m_ageMs = 0;       ///< Since the read was asked for.
  std::uint32_t m_configAgeMs = 0; ///< Since the configuration was known.
  std::uint64_t m_configVersion = 0;
  bool m_hasChanges = false;     ///< Otherwise they are those of m_version.
  std::vector<ServerRow> m_rows; ///< New and changed ones.
  std::vector<std::string> m_removed; ///< Ids of those that are gone.

  bool operator==(const ListingMessage &) const = default;
};

/// A new configuration, as the store holds it.
struct ConfigurationMessage {
  std::string m_text;

  bool operator==(const ConfigurationMessage &) const = default;
};

using PeerMessage =
    std::variant<HelloMessage, RunningMessage, DispatchRequestMessage,
                 QueuedMessage, DecisionMessage, FinishMessage, WithdrawMessage,
                 KeyMapMessage, NotHeldMessage, KeyMapRequest, StateRequest,
                 StateMessage, CrashMessage, ListingMessage,
                 ConfigurationMessage, FollowMessage, HostsMessage,
                 LeavingMessage>;

/// Returns the name of the kind of message, for logs and metrics.
const char *toText(const PeerMessage &Message) noexcept;

/// Appends the encoding of \p Message to \p Out.
void encode(const PeerMessage &Message, std::string &Out);

/// Takes whole messages off the front of \p Buffer. Errors: ControlErrc::
/// Malformed for bytes that are no message; the link must be closed then.
Result<std::vector<PeerMessage>> decode(std::string &Buffer);

std::string encodeHeartbeat(const Heartbeat &Beat);
/// Errors: ControlErrc::Malformed, ControlErrc::WrongVersion.
Result<Heartbeat> decodeHeartbeat(std::string_view Bytes);

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_PEER_MESSAGE_H
