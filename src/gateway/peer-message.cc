#include "tamarackdrum/gateway/peer-message.h"

#include "tamarackdrum/error.h"

#include <array>
#include <nlohmann/json.hpp>

namespace tamarackdrum::gateway {
namespace {

/// Version of the messages between hosts; others are refused.
constexpr std::uint32_t ProtocolVersion = 5;
/// Largest message, in bytes: a state message with 1,000 servers.
constexpr std::uint32_t LargestMessage = 4 << 20;
constexpr std::size_t LengthBytes = 4;

using Json = nlohmann::json;

/// Reads the elements of an array one after the other; throws on a wrong type
/// or a missing element.
class Reader {
public:
  explicit Reader(const Json &Array) : m_array(Array) {
    if (!Array.is_array())
      throw std::invalid_argument("not an array");
  }

  template <typename T> T take() { return next().get<T>(); }
  const Json &next() { return m_array.at(m_next++); }
  Millis takeMillis() { return Millis(take<std::int64_t>()); }

private:
  const Json &m_array;
  std::size_t m_next = 0;
};

template <typename... Parts> Json packAll(const Parts &...Values) {
  return Json::array({Json(Values)...});
}

Json pack(const HostInfo &Info) {
  return packAll(Info.m_name, Info.m_ip, Info.m_zone, Info.m_processStartMs,
                 Info.m_cpuShare);
}

StoreTime readStoreTime(Reader &In) {
  StoreTime Out;
  Out.m_era = In.take<std::uint64_t>();
  Out.m_ms = In.take<std::int64_t>();
  return Out;
}

HostInfo readHost(const Json &Value) {
  Reader In(Value);
  HostInfo Out;
  Out.m_name = In.take<std::string>();
  Out.m_ip = In.take<std::string>();
  Out.m_zone = In.take<std::string>();
  Out.m_processStartMs = In.take<std::int64_t>();
  Out.m_cpuShare = In.take<unsigned>();
  return Out;
}

Json pack(const std::vector<HostInfo> &Hosts) {
  Json Out = Json::array();
  for (const HostInfo &Item : Hosts)
    Out.push_back(pack(Item));
  return Out;
}

std::vector<HostInfo> readHosts(const Json &Values) {
  std::vector<HostInfo> Out;
  for (const Json &Value : Values)
    Out.push_back(readHost(Value));
  return Out;
}

Json pack(const std::vector<RunningDispatch> &Items) {
  Json Out = Json::array();
  for (const RunningDispatch &Item : Items)
    Out.push_back(packAll(Item.m_number, Item.m_service, Item.m_server,
                          Item.m_route, Item.m_timeLeft.count()));
  return Out;
}

std::vector<RunningDispatch> readRunning(const Json &Values) {
  std::vector<RunningDispatch> Out;
  for (const Json &Value : Values) {
    Reader Item(Value);
    RunningDispatch Running;
    Running.m_number = Item.take<std::uint32_t>();
    Running.m_service = Item.take<std::string>();
    Running.m_server = Item.take<std::string>();
    Running.m_route = Item.take<std::string>();
    Running.m_timeLeft = Item.takeMillis();
    Out.push_back(std::move(Running));
  }
  return Out;
}

Json pack(const HelloMessage &Value) {
  return packAll(pack(Value.m_host), pack(Value.m_running),
                 Value.m_isFollowing);
}

void read(Reader In, HelloMessage &Out) {
  Out.m_host = readHost(In.next());
  Out.m_running = readRunning(In.next());
  Out.m_isFollowing = In.take<bool>();
}

Json pack(const RunningMessage &Value) {
  return packAll(pack(Value.m_running));
}

void read(Reader In, RunningMessage &Out) {
  Out.m_running = readRunning(In.next());
}

Json pack(const DispatchRequestMessage &Value) {
  const DispatchRequest &Ask = Value.m_request;
  Json Resting = Json::array();
  for (const ServerBackoff &Item : Ask.m_backoffs)
    Resting.push_back(packAll(Item.m_server, Item.m_remaining.count()));
  return packAll(Value.m_service, Ask.m_route, Ask.m_id.m_number,
                 Ask.m_key ? static_cast<int>(*Ask.m_key) : -1, Ask.m_priority,
                 Ask.m_isRetry, Ask.m_objectiveLeft.count(),
                 Ask.m_timeLeft.count(), Ask.m_triedServers, Resting);
}

void read(Reader In, DispatchRequestMessage &Out) {
  Out.m_service = In.take<std::string>();
  Out.m_request.m_route = In.take<std::string>();
  Out.m_request.m_id.m_number = In.take<std::uint32_t>();
  const int Wanted = In.take<int>();
  if (Wanted >= static_cast<int>(KeyCount))
    throw std::invalid_argument("key out of range");
  if (Wanted >= 0)
    Out.m_request.m_key = static_cast<Key>(Wanted);
  Out.m_request.m_priority = In.take<unsigned>();
  Out.m_request.m_isRetry = In.take<bool>();
  Out.m_request.m_objectiveLeft = In.takeMillis();
  Out.m_request.m_timeLeft = In.takeMillis();
  Out.m_request.m_triedServers = In.take<std::vector<std::string>>();
  for (const Json &Value : In.next()) {
    Reader Item(Value);
    ServerBackoff Resting;
    Resting.m_server = Item.take<std::string>();
    Resting.m_remaining = Item.takeMillis();
    Out.m_request.m_backoffs.push_back(std::move(Resting));
  }
}

Json pack(const QueuedMessage &Value) { return packAll(Value.m_number); }

void read(Reader In, QueuedMessage &Out) {
  Out.m_number = In.take<std::uint32_t>();
}

Json pack(const DecisionMessage &Value) {
  const DispatchDecision &Made = Value.m_decision;
  return packAll(Made.m_id.m_number, Made.m_server,
                 static_cast<int>(Made.m_reason), Made.m_retryAfter.count());
}

void read(Reader In, DecisionMessage &Out) {
  Out.m_decision.m_id.m_number = In.take<std::uint32_t>();
  Out.m_decision.m_server = In.take<std::string>();
  Out.m_decision.m_reason = static_cast<RefusalReason>(In.take<int>());
  Out.m_decision.m_retryAfter = In.takeMillis();
}

Json pack(const FinishMessage &Value) {
  return packAll(Value.m_service, Value.m_number,
                 static_cast<int>(Value.m_result), Value.m_serviceTime.count());
}

void read(Reader In, FinishMessage &Out) {
  Out.m_service = In.take<std::string>();
  Out.m_number = In.take<std::uint32_t>();
  Out.m_result = static_cast<DispatchResult>(In.take<int>());
  Out.m_serviceTime = In.takeMillis();
}

Json pack(const WithdrawMessage &Value) {
  return packAll(Value.m_service, Value.m_number);
}

void read(Reader In, WithdrawMessage &Out) {
  Out.m_service = In.take<std::string>();
  Out.m_number = In.take<std::uint32_t>();
}

Json pack(const KeyMapMessage &Value) {
  Json Holdings = Json::array();
  for (const KeyRange &Item : Value.m_change.m_ranges)
    Holdings.push_back(packAll(Item.m_from, Item.m_to, Item.m_server));
  return packAll(Value.m_service, Value.m_change.m_baseVersion,
                 Value.m_change.m_version, Holdings);
}

void read(Reader In, KeyMapMessage &Out) {
  Out.m_service = In.take<std::string>();
  Out.m_change.m_baseVersion = In.take<std::uint64_t>();
  Out.m_change.m_version = In.take<std::uint64_t>();
  for (const Json &Value : In.next()) {
    Reader Item(Value);
    KeyRange Holding;
    Holding.m_from = Item.take<Key>();
    Holding.m_to = Item.take<Key>();
    Holding.m_server = Item.take<std::string>();
    Out.m_change.m_ranges.push_back(std::move(Holding));
  }
}

Json pack(const NotHeldMessage &Value) {
  return packAll(Value.m_service, Value.m_key);
}

void read(Reader In, NotHeldMessage &Out) {
  Out.m_service = In.take<std::string>();
  Out.m_key = In.take<Key>();
}

Json pack(const KeyMapRequest &Value) { return packAll(Value.m_service); }

void read(Reader In, KeyMapRequest &Out) {
  Out.m_service = In.take<std::string>();
}

Json pack(const StateRequest &Value) {
  return packAll(Value.m_needsConfiguration, Value.m_needsServers);
}

void read(Reader In, StateRequest &Out) {
  Out.m_needsConfiguration = In.take<bool>();
  Out.m_needsServers = In.take<bool>();
}

Json packServer(const ServerEntry &Item) {
  return packAll(Item.m_id, Item.m_service, Item.m_address, Item.m_zone,
                 Item.m_slots, Item.m_isDraining, Item.m_startMs,
                 Item.m_reportNumber, Item.m_warmUpLeft.count());
}

ServerEntry readServer(const Json &Value) {
  Reader Item(Value);
  ServerEntry Entry;
  Entry.m_id = Item.take<std::string>();
  Entry.m_service = Item.take<std::string>();
  Entry.m_address = Item.take<std::string>();
  Entry.m_zone = Item.take<std::string>();
  Entry.m_slots = Item.take<unsigned>();
  Entry.m_isDraining = Item.take<bool>();
  Entry.m_startMs = Item.take<std::int64_t>();
  Entry.m_reportNumber = Item.take<std::uint64_t>();
  Entry.m_warmUpLeft = Item.takeMillis();
  return Entry;
}

Json pack(const StateMessage &Value) {
  Json Servers = Json::array();
  for (const ServerEntry &Item : Value.m_servers)
    Servers.push_back(packServer(Item));
  return packAll(Value.m_configuration, Servers);
}

void read(Reader In, StateMessage &Out) {
  Out.m_configuration = In.take<std::string>();
  for (const Json &Value : In.next())
    Out.m_servers.push_back(readServer(Value));
}

Json pack(const ListingMessage &Value) {
  Json Rows = Json::array();
  for (const ServerRow &Row : Value.m_rows)
    Rows.push_back(Row.m_isReadable ? packServer(Row.m_entry)
                                    : packAll(Row.m_id));
  return packAll(Value.m_version, Value.m_baseVersion, Value.m_storeTime.m_era,
                 Value.m_storeTime.m_ms, Value.m_ageMs, Value.m_configAgeMs,
                 Value.m_configVersion, Value.m_hasChanges, Rows,
                 Value.m_removed);
}

void read(Reader In, ListingMessage &Out) {
  Out.m_version = In.take<std::uint64_t>();
  Out.m_baseVersion = In.take<std::uint64_t>();
  Out.m_storeTime = readStoreTime(In);
  Out.m_ageMs = In.take<std::uint32_t>();
  Out.m_configAgeMs = In.take<std::uint32_t>();
  Out.m_configVersion = In.take<std::uint64_t>();
  Out.m_hasChanges = In.take<bool>();
  for (const Json &Value : In.next()) {
    ServerRow Row;
    Row.m_isReadable = Value.size() > 1;
    Row.m_id = Value.at(0).get<std::string>();
    if (Row.m_isReadable)
      Row.m_entry = readServer(Value);
    Out.m_rows.push_back(std::move(Row));
  }
  Out.m_removed = In.take<std::vector<std::string>>();
}

Json pack(const ConfigurationMessage &Value) { return packAll(Value.m_text); }

void read(Reader In, ConfigurationMessage &Out) {
  Out.m_text = In.take<std::string>();
}

Json pack(const CrashMessage &Value) {
  return packAll(Value.m_fingerprint, Value.m_server);
}

void read(Reader In, CrashMessage &Out) {
  Out.m_fingerprint = In.take<std::uint64_t>();
  Out.m_server = In.take<std::string>();
}

Json pack(const FollowMessage &Value) { return packAll(Value.m_isFollowing); }

void read(Reader In, FollowMessage &Out) {
  Out.m_isFollowing = In.take<bool>();
}

Json pack(const HostsMessage &Value) {
  const StoreTime At = Value.m_listedAt.value_or(StoreTime{});
  return packAll(Value.m_listedAt.has_value(), At.m_era, At.m_ms,
                 pack(Value.m_hosts));
}

void read(Reader In, HostsMessage &Out) {
  const bool IsWhole = In.take<bool>();
  const StoreTime At = readStoreTime(In);
  if (IsWhole)
    Out.m_listedAt = At;
  Out.m_hosts = readHosts(In.next());
}

Json pack(const LeavingMessage &Value) {
  return packAll(Value.m_server, Value.m_startMs);
}

void read(Reader In, LeavingMessage &Out) {
  Out.m_server = In.take<std::string>();
  Out.m_startMs = In.take<std::int64_t>();
}

/// Reads the message whose alternative in PeerMessage is \p Index.
template <std::size_t Index = 0>
PeerMessage readAlternative(std::size_t Wanted, const Reader &In) {
  if constexpr (Index == std::variant_size_v<PeerMessage>) {
    throw std::invalid_argument("unknown message");
  } else {
    if (Wanted != Index)
      return readAlternative<Index + 1>(Wanted, In);
    std::variant_alternative_t<Index, PeerMessage> Out;
    read(In, Out);
    return Out;
  }
}

std::uint32_t readLength(const std::string &Buffer) {
  std::uint32_t Length = 0;
  for (std::size_t I = 0; I < LengthBytes; ++I)
    Length = Length << 8U | static_cast<unsigned char>(Buffer[I]);
  return Length;
}

/// Names of the alternatives of PeerMessage, in their order.
constexpr std::array<const char *, std::variant_size_v<PeerMessage>> KindNames{
    "hello",         "running",  "ask",     "queued",   "decision",
    "finish",        "withdraw", "key-map", "not-held", "key-map-request",
    "state-request", "state",    "crash",   "listing",  "configuration",
    "follow",        "hosts",    "leaving"};

} // namespace

const char *toText(const PeerMessage &Message) noexcept {
  return KindNames[Message.index()];
}

void encode(const PeerMessage &Message, std::string &Out) {
  const Json Content =
      std::visit([](const auto &Value) { return pack(Value); }, Message);
  const std::vector<std::uint8_t> Body =
      Json::to_msgpack(packAll(ProtocolVersion, Message.index(), Content));
  const std::uint32_t Length = static_cast<std::uint32_t>(Body.size());
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Out.push_back(static_cast<char>(Length >> static_cast<unsigned>(Shift)));
  Out.append(Body.begin(), Body.end());
}

Result<std::vector<PeerMessage>> decode(std::string &Buffer) {
  std::vector<PeerMessage> Out;
  std::size_t Taken = 0;
  try {
    while (Buffer.size() - Taken >= LengthBytes) {
      const std::uint32_t Length =
          readLength(Buffer.substr(Taken, LengthBytes));
      if (Length > LargestMessage)
        return ControlErrc::Malformed;
      if (Buffer.size() - Taken - LengthBytes < Length)
        break;
      const char *First = Buffer.data() + Taken + LengthBytes;
      const Json Message = Json::from_msgpack(First, First + Length);
      Reader In(Message);
      if (In.take<std::uint32_t>() != ProtocolVersion)
        return ControlErrc::WrongVersion;
      const std::uint32_t Index = In.take<std::uint32_t>();
      Out.push_back(readAlternative(Index, Reader(In.next())));
      Taken += LengthBytes + Length;
    }
  } catch (const std::exception &) {
    // The library throws on bytes that are no message.
    return ControlErrc::Malformed;
  }
  Buffer.erase(0, Taken);
  return Out;
}

std::string encodeHeartbeat(const Heartbeat &Beat) {
  Json Claims = Json::array();
  for (const auto &[Service, Claim] : Beat.m_granters)
    Claims.push_back(
        packAll(Service, Claim.m_term, Claim.m_host, Claim.m_processStartMs));
  const std::vector<std::uint8_t> Body = Json::to_msgpack(
      packAll(ProtocolVersion, pack(Beat.m_host), Beat.m_isStopping,
              Beat.m_isReply, Beat.m_storeLostMs, Beat.m_storeAvailableMs,
              Beat.m_configVersion, Claims, pack(Beat.m_initialPeers)));
  return {Body.begin(), Body.end()};
}

Result<Heartbeat> decodeHeartbeat(std::string_view Bytes) {
  try {
    const Json Message = Json::from_msgpack(Bytes.begin(), Bytes.end());
    Reader In(Message);
    if (In.take<std::uint32_t>() != ProtocolVersion)
      return ControlErrc::WrongVersion;
    Heartbeat Out;
    Out.m_host = readHost(In.next());
    Out.m_isStopping = In.take<bool>();
    Out.m_isReply = In.take<bool>();
    Out.m_storeLostMs = In.take<std::uint32_t>();
    Out.m_storeAvailableMs = In.take<std::uint32_t>();
    Out.m_configVersion = In.take<std::uint64_t>();
    for (const Json &Value : In.next()) {
      Reader Item(Value);
      const std::string Service = Item.take<std::string>();
      KnownGranter Claim;
      Claim.m_term = Item.take<std::uint64_t>();
      Claim.m_host = Item.take<std::string>();
      Claim.m_processStartMs = Item.take<std::int64_t>();
      Out.m_granters[Service] = Claim;
    }
    Out.m_initialPeers = readHosts(In.next());
    return Out;
  } catch (const std::exception &) {
    // The library throws on bytes that are no message.
    return ControlErrc::Malformed;
  }
}

} // namespace tamarackdrum::gateway
