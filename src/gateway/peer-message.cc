#include "tamarackdrum/gateway/peer-message.h"

#include "tamarackdrum/error.h"

#include <array>
#include <nlohmann/json.hpp>

namespace tamarackdrum::gateway {
namespace {

/// Version of the protocol between hosts; messages of other versions are
/// rejected.
constexpr std::uint32_t ProtocolVersion = 5;
/// Enough for a state message with 1,000 servers.
constexpr std::uint32_t MaxMessageBytes = 4 << 20;
constexpr std::size_t LengthBytes = 4;
/// Far above the time for which crashes count.
constexpr Millis MaxCrashAge = std::chrono::hours(24);

using Json = nlohmann::json;

/// Reads the elements of an array in order. Throws if an element is missing or
/// has another type.
class ArrayReader {
public:
  explicit ArrayReader(const Json &Array) : m_array(Array) {
    if (!Array.is_array())
      throw std::invalid_argument("not an array");
  }

  template <typename T> T take() { return next().get<T>(); }
  const Json &next() { return m_array.at(m_next++); }
  /// Returns whether there is another element. Elements that were added to a
  /// message later are missing in those of older processes.
  bool hasNext() const { return m_next < m_array.size(); }
  Millis takeMillis() { return Millis(take<std::int64_t>()); }

private:
  const Json &m_array;
  std::size_t m_next = 0;
};

template <typename... Parts> Json packArray(const Parts &...Values) {
  return Json::array({Json(Values)...});
}

Json pack(const HostInfo &Info) {
  return packArray(Info.m_name, Info.m_ip, Info.m_zone, Info.m_processStartMs,
                   Info.m_cpuShare);
}

StoreTime readStoreTime(ArrayReader &In) {
  StoreTime Out;
  Out.m_era = In.take<std::uint64_t>();
  Out.m_ms = In.take<std::int64_t>();
  return Out;
}

HostInfo readHost(const Json &Value) {
  ArrayReader In(Value);
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
    Out.push_back(packArray(Item.m_number, Item.m_service, Item.m_server,
                            Item.m_route, Item.m_timeLeft.count()));
  return Out;
}

std::vector<RunningDispatch> readRunning(const Json &Values) {
  std::vector<RunningDispatch> Out;
  for (const Json &Value : Values) {
    ArrayReader Item(Value);
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

/// Checks a limit of 0 or between MinRateLimit and MaxRateLimit.
NamedLimit readLimit(double PerSecond) {
  const NamedLimit Out{PerSecond};
  if (!Out.isNone() &&
      !(PerSecond >= MinRateLimit && PerSecond <= MaxRateLimit))
    throw std::invalid_argument("limit out of range");
  return Out;
}

Json pack(const std::optional<ReportedLoad> &Load) {
  if (!Load)
    return nullptr;
  return packArray(Load->m_running, Load->m_waiting, Load->m_slots,
                   Load->m_durationPercent);
}

std::optional<ReportedLoad> readLoad(const Json &Value) {
  if (Value.is_null())
    return std::nullopt;
  ArrayReader In(Value);
  ReportedLoad Out;
  Out.m_running = In.take<unsigned>();
  Out.m_waiting = In.take<unsigned>();
  Out.m_slots = In.take<unsigned>();
  Out.m_durationPercent = In.take<unsigned>();
  if (Out.m_durationPercent == 0)
    throw std::invalid_argument("duration of 0%");
  return Out;
}

Millis readColdTime(Millis Value) {
  if (Value < Millis(0) || Value > MaxColdTime)
    throw std::invalid_argument("cold time out of range");
  return Value;
}

Json pack(const std::vector<ToldLimit> &Items) {
  Json Out = Json::array();
  for (const ToldLimit &Item : Items)
    Out.push_back(packArray(Item.m_service, Item.m_server, Item.m_perSecond,
                            Item.m_age.count()));
  return Out;
}

std::vector<ToldLimit> readToldLimits(ArrayReader &In) {
  std::vector<ToldLimit> Out;
  if (!In.hasNext())
    return Out;
  for (const Json &Value : In.next()) {
    ArrayReader Item(Value);
    ToldLimit Told;
    Told.m_service = Item.take<std::string>();
    Told.m_server = Item.take<std::string>();
    Told.m_perSecond = readLimit(Item.take<double>()).m_perSecond;
    Told.m_age = Item.takeMillis();
    if (Told.m_age < Millis(0))
      throw std::invalid_argument("negative age");
    Out.push_back(std::move(Told));
  }
  return Out;
}

/// Appends the cold servers to \p Message, unless the sender knows of none.
void appendCold(const std::vector<ToldCold> &Items, Json &Message) {
  if (Items.empty())
    return;
  Json Out = Json::array();
  for (const ToldCold &Item : Items)
    Out.push_back(
        packArray(Item.m_service, Item.m_server, Item.m_left.count()));
  Message.push_back(std::move(Out));
}

std::vector<ToldCold> takeCold(ArrayReader &In) {
  std::vector<ToldCold> Out;
  if (!In.hasNext())
    return Out;
  for (const Json &Value : In.next()) {
    ArrayReader Item(Value);
    ToldCold Told;
    Told.m_service = Item.take<std::string>();
    Told.m_server = Item.take<std::string>();
    Told.m_left = readColdTime(Item.takeMillis());
    Out.push_back(std::move(Told));
  }
  return Out;
}

Json pack(const HelloMessage &Value) {
  Json Out = packArray(pack(Value.m_host), pack(Value.m_running),
                       Value.m_isFollowing, pack(Value.m_limits));
  appendCold(Value.m_cold, Out);
  return Out;
}

void read(ArrayReader In, HelloMessage &Out) {
  Out.m_host = readHost(In.next());
  Out.m_running = readRunning(In.next());
  Out.m_isFollowing = In.take<bool>();
  Out.m_limits = readToldLimits(In);
  Out.m_cold = takeCold(In);
}

Json pack(const RunningMessage &Value) {
  Json Out = packArray(pack(Value.m_running), pack(Value.m_limits));
  appendCold(Value.m_cold, Out);
  return Out;
}

void read(ArrayReader In, RunningMessage &Out) {
  Out.m_running = readRunning(In.next());
  Out.m_limits = readToldLimits(In);
  Out.m_cold = takeCold(In);
}

Json pack(const DispatchRequestMessage &Value) {
  const DispatchRequest &Request = Value.m_request;
  Json Resting = Json::array();
  for (const ServerBackoff &Item : Request.m_backoffs)
    Resting.push_back(packArray(Item.m_server, Item.m_remaining.count()));
  return packArray(Value.m_service, Request.m_route, Request.m_id.m_number,
                   Request.m_key ? static_cast<int>(*Request.m_key) : -1,
                   Request.m_priority, Request.m_isRetry,
                   Request.m_objectiveLeft.count(), Request.m_timeLeft.count(),
                   Request.m_triedServers, Resting);
}

void read(ArrayReader In, DispatchRequestMessage &Out) {
  Out.m_service = In.take<std::string>();
  Out.m_request.m_route = In.take<std::string>();
  Out.m_request.m_id.m_number = In.take<std::uint32_t>();
  const int KeyOrNone = In.take<int>();
  if (KeyOrNone >= static_cast<int>(KeyCount))
    throw std::invalid_argument("key out of range");
  if (KeyOrNone >= 0)
    Out.m_request.m_key = static_cast<Key>(KeyOrNone);
  Out.m_request.m_priority = In.take<unsigned>();
  Out.m_request.m_isRetry = In.take<bool>();
  Out.m_request.m_objectiveLeft = In.takeMillis();
  Out.m_request.m_timeLeft = In.takeMillis();
  Out.m_request.m_triedServers = In.take<std::vector<std::string>>();
  for (const Json &Value : In.next()) {
    ArrayReader Item(Value);
    ServerBackoff Resting;
    Resting.m_server = Item.take<std::string>();
    Resting.m_remaining = Item.takeMillis();
    Out.m_request.m_backoffs.push_back(std::move(Resting));
  }
}

Json pack(const QueuedMessage &Value) { return packArray(Value.m_number); }

void read(ArrayReader In, QueuedMessage &Out) {
  Out.m_number = In.take<std::uint32_t>();
}

Json pack(const DecisionMessage &Value) {
  const DispatchDecision &Decision = Value.m_decision;
  return packArray(Decision.m_id.m_number, Decision.m_server,
                   static_cast<int>(Decision.m_reason),
                   Decision.m_retryAfter.count());
}

void read(ArrayReader In, DecisionMessage &Out) {
  Out.m_decision.m_id.m_number = In.take<std::uint32_t>();
  Out.m_decision.m_server = In.take<std::string>();
  Out.m_decision.m_reason = static_cast<RefusalReason>(In.take<int>());
  Out.m_decision.m_retryAfter = In.takeMillis();
}

Json pack(const FinishMessage &Value) {
  Json Out =
      packArray(Value.m_service, Value.m_number,
                static_cast<int>(Value.m_result), Value.m_serviceTime.count());
  const AnswerReport &Report = Value.m_report;
  const bool HasMore = Report.m_load || Report.m_coldLeft;
  if (Report.m_limit && Report.m_limit->isNone())
    Out.push_back(0);
  else if (Report.m_limit)
    Out.push_back(Report.m_limit->m_perSecond);
  else if (HasMore)
    Out.push_back(nullptr);
  if (!HasMore)
    return Out;
  Out.push_back(pack(Report.m_load));
  if (Report.m_coldLeft)
    Out.push_back(Report.m_coldLeft->count());
  return Out;
}

void read(ArrayReader In, FinishMessage &Out) {
  Out.m_service = In.take<std::string>();
  Out.m_number = In.take<std::uint32_t>();
  Out.m_result = static_cast<DispatchResult>(In.take<int>());
  Out.m_serviceTime = In.takeMillis();
  if (In.hasNext()) {
    const Json &Limit = In.next();
    if (!Limit.is_null())
      Out.m_report.m_limit = readLimit(Limit.get<double>());
  }
  if (In.hasNext())
    Out.m_report.m_load = readLoad(In.next());
  if (In.hasNext())
    Out.m_report.m_coldLeft = readColdTime(In.takeMillis());
}

Json pack(const WithdrawMessage &Value) {
  return packArray(Value.m_service, Value.m_number);
}

void read(ArrayReader In, WithdrawMessage &Out) {
  Out.m_service = In.take<std::string>();
  Out.m_number = In.take<std::uint32_t>();
}

Json pack(const KeyMapMessage &Value) {
  Json Holdings = Json::array();
  for (const KeyRange &Item : Value.m_change.m_ranges)
    Holdings.push_back(packArray(Item.m_from, Item.m_to, Item.m_server));
  return packArray(Value.m_service, Value.m_change.m_baseVersion,
                   Value.m_change.m_version, Holdings);
}

void read(ArrayReader In, KeyMapMessage &Out) {
  Out.m_service = In.take<std::string>();
  Out.m_change.m_baseVersion = In.take<std::uint64_t>();
  Out.m_change.m_version = In.take<std::uint64_t>();
  for (const Json &Value : In.next()) {
    ArrayReader Item(Value);
    KeyRange Holding;
    Holding.m_from = Item.take<Key>();
    Holding.m_to = Item.take<Key>();
    Holding.m_server = Item.take<std::string>();
    Out.m_change.m_ranges.push_back(std::move(Holding));
  }
}

Json pack(const NotHeldMessage &Value) {
  return packArray(Value.m_service, Value.m_key);
}

void read(ArrayReader In, NotHeldMessage &Out) {
  Out.m_service = In.take<std::string>();
  Out.m_key = In.take<Key>();
}

Json pack(const KeyMapRequest &Value) { return packArray(Value.m_service); }

void read(ArrayReader In, KeyMapRequest &Out) {
  Out.m_service = In.take<std::string>();
}

Json pack(const StateRequest &Value) {
  return packArray(Value.m_needsConfiguration, Value.m_needsServers);
}

void read(ArrayReader In, StateRequest &Out) {
  Out.m_needsConfiguration = In.take<bool>();
  Out.m_needsServers = In.take<bool>();
}

Json packServer(const ServerEntry &Item) {
  return packArray(Item.m_id, Item.m_service, Item.m_address, Item.m_zone,
                   Item.m_slots, Item.m_isDraining, Item.m_startMs,
                   Item.m_reportNumber, Item.m_warmUpLeft.count());
}

ServerEntry readServer(const Json &Value) {
  ArrayReader Item(Value);
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

Json pack(const Evacuations &Value) {
  return packArray(Value.m_version.m_era, Value.m_version.m_number,
                   Value.m_zones);
}

/// Appends the evacuations to \p Message, unless the sender knows of none.
void appendEvacuations(const Evacuations &Value, Json &Message) {
  if (Value.m_version.m_number > 0)
    Message.push_back(pack(Value));
}

Evacuations readEvacuations(const Json &Value) {
  ArrayReader In(Value);
  Evacuations Out;
  Out.m_version.m_era = In.take<std::uint64_t>();
  Out.m_version.m_number = In.take<std::uint64_t>();
  Out.m_zones = In.take<std::set<std::string>>();
  return Out;
}

/// Reads evacuations at the end of a message, if there are any.
Evacuations takeEvacuations(ArrayReader &In) {
  return In.hasNext() ? readEvacuations(In.next()) : Evacuations{};
}

Json pack(const StateMessage &Value) {
  Json Servers = Json::array();
  for (const ServerEntry &Item : Value.m_servers)
    Servers.push_back(packServer(Item));
  Json Out = packArray(Value.m_configuration, Servers);
  appendEvacuations(Value.m_evacuations, Out);
  return Out;
}

void read(ArrayReader In, StateMessage &Out) {
  Out.m_configuration = In.take<std::string>();
  for (const Json &Value : In.next())
    Out.m_servers.push_back(readServer(Value));
  Out.m_evacuations = takeEvacuations(In);
}

Json pack(const ListingMessage &Value) {
  Json Rows = Json::array();
  for (const ServerRow &Row : Value.m_rows)
    Rows.push_back(Row.m_isReadable ? packServer(Row.m_entry)
                                    : packArray(Row.m_id));
  Json Out = packArray(
      Value.m_version, Value.m_baseVersion, Value.m_storeTime.m_era,
      Value.m_storeTime.m_ms, Value.m_ageMs, Value.m_configAgeMs,
      Value.m_configVersion, Value.m_hasChanges, Rows, Value.m_removed);
  appendEvacuations(Value.m_evacuations, Out);
  return Out;
}

void read(ArrayReader In, ListingMessage &Out) {
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
  Out.m_evacuations = takeEvacuations(In);
}

Json pack(const ConfigurationMessage &Value) {
  Json Out = packArray(Value.m_text);
  appendEvacuations(Value.m_evacuations, Out);
  return Out;
}

void read(ArrayReader In, ConfigurationMessage &Out) {
  Out.m_text = In.take<std::string>();
  Out.m_evacuations = takeEvacuations(In);
}

Json pack(const CrashMessage &Value) {
  Json Out = packArray(Value.m_fingerprint, Value.m_server);
  const bool IsOld = Value.m_age > Millis(0);
  if (Value.m_isVoid || IsOld)
    Out.push_back(Value.m_isVoid);
  if (IsOld)
    Out.push_back(Value.m_age.count());
  return Out;
}

void read(ArrayReader In, CrashMessage &Out) {
  Out.m_fingerprint = In.take<std::uint64_t>();
  Out.m_server = In.take<std::string>();
  Out.m_isVoid = In.hasNext() && In.take<bool>();
  if (!In.hasNext())
    return;
  Out.m_age = In.takeMillis();
  if (Out.m_age < Millis(0) || Out.m_age > MaxCrashAge)
    throw std::invalid_argument("age of a crash out of range");
}

Json pack(const FollowMessage &Value) { return packArray(Value.m_isFollowing); }

void read(ArrayReader In, FollowMessage &Out) {
  Out.m_isFollowing = In.take<bool>();
}

Json pack(const HostsMessage &Value) {
  const StoreTime At = Value.m_listedAt.value_or(StoreTime{});
  return packArray(Value.m_listedAt.has_value(), At.m_era, At.m_ms,
                   pack(Value.m_hosts));
}

void read(ArrayReader In, HostsMessage &Out) {
  const bool IsWhole = In.take<bool>();
  const StoreTime At = readStoreTime(In);
  if (IsWhole)
    Out.m_listedAt = At;
  Out.m_hosts = readHosts(In.next());
}

Json pack(const LeavingMessage &Value) {
  return packArray(Value.m_server, Value.m_startMs);
}

Json pack(const EvacuationsMessage &Value) {
  return packArray(pack(Value.m_evacuations));
}

void read(ArrayReader In, EvacuationsMessage &Out) {
  Out.m_evacuations = readEvacuations(In.next());
}

void read(ArrayReader In, LeavingMessage &Out) {
  Out.m_server = In.take<std::string>();
  Out.m_startMs = In.take<std::int64_t>();
}

/// Returns bytes that need not be text.
Json packBytes(const std::string &Bytes) {
  return Json::binary({Bytes.begin(), Bytes.end()});
}

std::string takeBytes(ArrayReader &In) {
  const Json::binary_t &Bytes = In.next().get_binary();
  return {Bytes.begin(), Bytes.end()};
}

Json pack(const RelayMessage &Value) {
  return packArray(Value.m_number, Value.m_server, packBytes(Value.m_head),
                   packBytes(Value.m_body), packBytes(Value.m_requestId),
                   Value.m_isHeadRequest, Value.m_isSafe,
                   Value.m_timeLeft.count());
}

void read(ArrayReader In, RelayMessage &Out) {
  Out.m_number = In.take<std::uint32_t>();
  Out.m_server = In.take<std::string>();
  Out.m_head = takeBytes(In);
  Out.m_body = takeBytes(In);
  Out.m_requestId = takeBytes(In);
  Out.m_isHeadRequest = In.take<bool>();
  Out.m_isSafe = In.take<bool>();
  Out.m_timeLeft = In.takeMillis();
}

Json pack(const RelayAnswerMessage &Value) {
  const AnswerReport &Report = Value.m_report;
  Json Limit;
  if (Report.m_limit)
    Limit = Report.m_limit->isNone() ? 0 : Report.m_limit->m_perSecond;
  Json ColdLeft;
  if (Report.m_coldLeft)
    ColdLeft = Report.m_coldLeft->count();
  return packArray(Value.m_number, static_cast<int>(Value.m_result),
                   Value.m_isSent, Value.m_isAccepted,
                   Value.m_serviceTime.count(), Limit, pack(Report.m_load),
                   ColdLeft, Value.m_isLeaving, Value.m_restTime.count(),
                   packBytes(Value.m_head), packBytes(Value.m_body));
}

void read(ArrayReader In, RelayAnswerMessage &Out) {
  Out.m_number = In.take<std::uint32_t>();
  Out.m_result = static_cast<DispatchResult>(In.take<int>());
  Out.m_isSent = In.take<bool>();
  Out.m_isAccepted = In.take<bool>();
  Out.m_serviceTime = In.takeMillis();
  // A new report is that of an answer which says nothing.
  Out.m_report = AnswerReport{};
  const Json &Limit = In.next();
  if (Limit.is_null())
    Out.m_report.m_limit.reset();
  else
    Out.m_report.m_limit = readLimit(Limit.get<double>());
  Out.m_report.m_load = readLoad(In.next());
  const Json &ColdLeft = In.next();
  if (!ColdLeft.is_null())
    Out.m_report.m_coldLeft =
        readColdTime(Millis(ColdLeft.get<std::int64_t>()));
  Out.m_isLeaving = In.take<bool>();
  Out.m_restTime = In.takeMillis();
  Out.m_head = takeBytes(In);
  Out.m_body = takeBytes(In);
}

Json pack(const RelayCancelMessage &Value) { return packArray(Value.m_number); }

void read(ArrayReader In, RelayCancelMessage &Out) {
  Out.m_number = In.take<std::uint32_t>();
}

/// Reads the message whose type is alternative \p Wanted of PeerMessage, which
/// is not before \p Index.
template <std::size_t Index = 0>
PeerMessage readAlternative(std::size_t Wanted, const ArrayReader &In) {
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

/// Names of the message types, in the order of PeerMessage's alternatives.
constexpr std::array<const char *, std::variant_size_v<PeerMessage>> TypeNames{
    "hello",         "running",     "ask",     "queued",      "decision",
    "finish",        "withdraw",    "key-map", "not-held",    "key-map-request",
    "state-request", "state",       "crash",   "listing",     "configuration",
    "follow",        "hosts",       "leaving", "evacuations", "relay",
    "relay-answer",  "relay-cancel"};

} // namespace

const char *toText(const PeerMessage &Message) noexcept {
  return TypeNames[Message.index()];
}

void encode(const PeerMessage &Message, std::string &Out) {
  const Json Content =
      std::visit([](const auto &Value) { return pack(Value); }, Message);
  const std::vector<std::uint8_t> Body =
      Json::to_msgpack(packArray(ProtocolVersion, Message.index(), Content));
  const std::uint32_t Length = static_cast<std::uint32_t>(Body.size());
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Out.push_back(static_cast<char>(Length >> static_cast<unsigned>(Shift)));
  Out.append(Body.begin(), Body.end());
}

Result<std::vector<PeerMessage>> decode(std::string &Buffer) {
  std::vector<PeerMessage> Out;
  std::size_t Decoded = 0;
  try {
    while (Buffer.size() - Decoded >= LengthBytes) {
      const std::uint32_t Length =
          readLength(Buffer.substr(Decoded, LengthBytes));
      if (Length > MaxMessageBytes)
        return ControlErrc::Malformed;
      if (Buffer.size() - Decoded - LengthBytes < Length)
        break;
      const char *First = Buffer.data() + Decoded + LengthBytes;
      const Json Message = Json::from_msgpack(First, First + Length);
      ArrayReader In(Message);
      if (In.take<std::uint32_t>() != ProtocolVersion)
        return ControlErrc::WrongVersion;
      const std::uint32_t Index = In.take<std::uint32_t>();
      Out.push_back(readAlternative(Index, ArrayReader(In.next())));
      Decoded += LengthBytes + Length;
    }
  } catch (const std::exception &) {
    // Both the library and ArrayReader throw on malformed input.
    return ControlErrc::Malformed;
  }
  Buffer.erase(0, Decoded);
  return Out;
}

std::string encodeHeartbeat(const Heartbeat &Beat) {
  Json Granters = Json::array();
  for (const auto &[Service, Granter] : Beat.m_granters)
    Granters.push_back(packArray(Service, Granter.m_term, Granter.m_host,
                                 Granter.m_processStartMs));
  const std::vector<std::uint8_t> Body = Json::to_msgpack(
      packArray(ProtocolVersion, pack(Beat.m_host), Beat.m_isStopping,
                Beat.m_isReply, Beat.m_storeLostMs, Beat.m_storeAvailableMs,
                Beat.m_configVersion, Granters, pack(Beat.m_initialPeers),
                Beat.m_isCutOff, Beat.m_reachesServers));
  return {Body.begin(), Body.end()};
}

Result<Heartbeat> decodeHeartbeat(std::string_view Bytes) {
  try {
    const Json Message = Json::from_msgpack(Bytes.begin(), Bytes.end());
    ArrayReader In(Message);
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
      ArrayReader Item(Value);
      const std::string Service = Item.take<std::string>();
      KnownGranter Granter;
      Granter.m_term = Item.take<std::uint64_t>();
      Granter.m_host = Item.take<std::string>();
      Granter.m_processStartMs = Item.take<std::int64_t>();
      Out.m_granters[Service] = Granter;
    }
    Out.m_initialPeers = readHosts(In.next());
    if (In.hasNext())
      Out.m_isCutOff = In.take<bool>();
    if (In.hasNext())
      Out.m_reachesServers = In.take<bool>();
    return Out;
  } catch (const std::exception &) {
    // Both the library and ArrayReader throw on malformed input.
    return ControlErrc::Malformed;
  }
}

} // namespace tamarackdrum::gateway
