#include "tamarackdrum/view-json.h"

#include "tamarackdrum/error.h"

#include <array>
#include <json/reader.h>
#include <json/writer.h>

namespace tamarackdrum {
namespace {

constexpr std::array<const char *, 3> StateNames = {"serving", "leaving",
                                                    "recalled"};
constexpr std::array<const char *, 4> ActionNames = {"join", "leave", "recall",
                                                     "restore"};

template <typename Enum, std::size_t Size>
Result<Enum> enumFromText(const std::array<const char *, Size> &Names,
                          const std::string &Text) {
  for (std::size_t I = 0; I < Size; ++I)
    if (Text == Names[I])
      return static_cast<Enum>(I);
  return std::error_code(ControlErrc::Malformed);
}

Json::Value number(std::uint64_t Value) { return Json::Value::UInt64(Value); }

Json::Value toJson(const SliceRecord &Slice) {
  Json::Value Out(Json::arrayValue);
  Out.append(Slice.m_owner);
  Out.append(number(Slice.m_epoch));
  Out.append(number(Slice.m_since));
  return Out;
}

SliceRecord sliceFromJson(const Json::Value &Value) {
  return {Value[0].asString(), Value[1].asUInt64(), Value[2].asUInt64()};
}

Json::Value toJson(const ClassAssignment &Assignment) {
  Json::Value Out;
  Out["class"] = Assignment.m_workClass;
  Out["slices"] = Json::Value(Json::arrayValue);
  for (const SliceRecord &Slice : Assignment.m_slices)
    Out["slices"].append(toJson(Slice));
  Out["hot_keys"] = Json::Value(Json::arrayValue);
  for (const HotKeyRecord &HotKey : Assignment.m_hotKeys) {
    Json::Value Item = toJson(HotKey.m_slice);
    Item.append(number(HotKey.m_hash));
    Out["hot_keys"].append(Item);
  }
  return Out;
}

ClassAssignment assignmentFromJson(const Json::Value &Value) {
  ClassAssignment Out;
  Out.m_workClass = Value["class"].asString();
  for (const Json::Value &Slice : Value["slices"])
    Out.m_slices.push_back(sliceFromJson(Slice));
  for (const Json::Value &HotKey : Value["hot_keys"])
    Out.m_hotKeys.push_back({HotKey[3].asUInt64(), sliceFromJson(HotKey)});
  return Out;
}

/// Appends each element of \p Items to a JSON array.
template <typename Item>
Json::Value listToJson(const std::vector<Item> &Items) {
  Json::Value Out(Json::arrayValue);
  for (const Item &One : Items)
    Out.append(toJson(One));
  return Out;
}

template <typename Item>
std::error_code listFromJson(const Json::Value &Value,
                             Result<Item> (*Parse)(const Json::Value &),
                             std::vector<Item> &Out) {
  for (const Json::Value &One : Value) {
    Result<Item> Parsed = Parse(One);
    if (!Parsed)
      return Parsed.error();
    Out.push_back(std::move(Parsed).value());
  }
  return {};
}

/// Runs \p Parse and maps type errors of the JSON library.
template <typename Value, typename Parser>
Result<Value> guarded(const Json::Value &Source, Parser Parse) {
  if (!Source.isObject())
    return std::error_code(ControlErrc::Malformed);
  try {
    return Parse();
  } catch (const Json::Exception &) {
    return std::error_code(ControlErrc::Malformed);
  }
}

Result<View> parseView(const Json::Value &Value) {
  View Out;
  Out.m_generation = Value["generation"].asUInt64();
  Out.m_committer = Value["committer"].asString();
  Out.m_operation = Value["operation"].asString();
  Out.m_groupChangedAt = Value["group_changed_at"].asUInt64();
  std::error_code Error =
      listFromJson(Value["members"], memberFromJson, Out.m_members);
  if (!Error)
    Error = listFromJson(Value["outgoing"], memberFromJson, Out.m_outgoing);
  if (!Error)
    Error = listFromJson(Value["classes"], classFromJson, Out.m_classes);
  if (!Error)
    Error = listFromJson(Value["servers"], serverFromJson, Out.m_servers);
  if (Error)
    return Error;
  for (const Json::Value &Assignment : Value["assignments"])
    Out.m_assignments.push_back(assignmentFromJson(Assignment));
  for (const Json::Value &Operation : Value["recent_operations"])
    Out.m_recentOperations.push_back(Operation.asString());
  return Out;
}

Result<RenewReply> parseRenewReply(const Json::Value &Value) {
  RenewReply Out;
  Out.m_from = Value["from"].asString();
  Out.m_incarnation = Value["incarnation"].asUInt64();
  Out.m_granted = Value["granted"].asBool();
  Out.m_recovered = Value["recovered"].asBool();
  Out.m_generation = Value["generation"].asUInt64();
  Out.m_promised = Value["promised"].asUInt64();
  Out.m_drained = Value["drained"].asUInt64();
  Out.m_settled = Value["settled"].asUInt64();
  if (!Value.isMember("newer"))
    return Out;
  Result<View> Newer = viewFromJson(Value["newer"]);
  if (!Newer)
    return Newer.error();
  Out.m_newer = std::make_shared<const View>(std::move(Newer).value());
  return Out;
}

} // namespace

std::string toText(const Json::Value &Value) {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return Json::writeString(Builder, Value);
}

Result<Json::Value> parseJson(const std::string &Text) {
  Json::CharReaderBuilder Builder;
  Json::CharReaderBuilder::strictMode(&Builder.settings_);
  const std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  Json::Value Out;
  std::string Errors;
  try {
    if (Reader->parse(Text.data(), Text.data() + Text.size(), &Out, &Errors))
      return Out;
  } catch (const Json::Exception &) {
    return std::error_code(ControlErrc::Malformed);
  }
  return std::error_code(ControlErrc::Malformed);
}

const char *toText(ServerState State) noexcept {
  return StateNames[static_cast<std::size_t>(State)];
}

const char *toText(ServerAction Action) noexcept {
  return ActionNames[static_cast<std::size_t>(Action)];
}

Json::Value toJson(const ClassTarget &Target) {
  Json::Value Out;
  Out["name"] = Target.m_name;
  Out["keyed"] = Target.m_keyed;
  Out["once_only"] = Target.m_onceOnly;
  Out["idempotent"] = Target.m_idempotent;
  Out["availability"] = Target.m_availability;
  Out["latency_ms"] = Json::Int64(Target.m_latency.count());
  Out["deadline_ms"] = Json::Int64(Target.m_deadline.count());
  Out["prefer"] = Target.m_preference == Preference::Stability ? "stability"
                                                               : "availability";
  return Out;
}

Result<ClassTarget> classFromJson(const Json::Value &Value) {
  return guarded<ClassTarget>(Value, [&]() -> Result<ClassTarget> {
    ClassTarget Out;
    Out.m_name = Value["name"].asString();
    Out.m_keyed = Value.get("keyed", false).asBool();
    Out.m_onceOnly = Value.get("once_only", false).asBool();
    Out.m_idempotent = Value.get("idempotent", !Out.m_onceOnly).asBool();
    Out.m_availability = Value.get("availability", 0.999).asDouble();
    Out.m_latency = Millis(Value.get("latency_ms", 100).asInt64());
    Out.m_deadline = Millis(Value.get("deadline_ms", 800).asInt64());
    Out.m_preference = Value.get("prefer", "availability") == "stability"
                           ? Preference::Stability
                           : Preference::Availability;
    return Out;
  });
}

Json::Value toJson(const ServerRecord &Server) {
  Json::Value Out;
  Out["name"] = Server.m_name;
  Out["class"] = Server.m_workClass;
  Out["address"] = Server.m_address;
  Out["slots"] = Server.m_slots;
  Out["connections"] = Server.m_connections;
  Out["state"] = toText(Server.m_state);
  Out["suspended"] = Server.m_suspended;
  Out["changed_at"] = number(Server.m_changedAt);
  Out["suspended_at"] = number(Server.m_suspendedAt);
  return Out;
}

Result<ServerRecord> serverFromJson(const Json::Value &Value) {
  return guarded<ServerRecord>(Value, [&]() -> Result<ServerRecord> {
    ServerRecord Out;
    Out.m_name = Value["name"].asString();
    Out.m_workClass = Value["class"].asString();
    Out.m_address = Value["address"].asString();
    Out.m_slots = Value.get("slots", Out.m_slots).asUInt();
    Out.m_connections = Value.get("connections", Out.m_connections).asUInt();
    Out.m_suspended = Value["suspended"].asBool();
    Out.m_changedAt = Value["changed_at"].asUInt64();
    Out.m_suspendedAt = Value["suspended_at"].asUInt64();
    const Result<ServerState> State = enumFromText<ServerState>(
        StateNames, Value.get("state", "serving").asString());
    if (!State)
      return State.error();
    Out.m_state = State.value();
    return Out;
  });
}

Json::Value toJson(const Member &Item) {
  Json::Value Out;
  Out["name"] = Item.m_name;
  Out["address"] = Item.m_address;
  Out["zone"] = Item.m_zone;
  return Out;
}

Result<Member> memberFromJson(const Json::Value &Value) {
  return guarded<Member>(Value, [&]() -> Result<Member> {
    return Member{Value["name"].asString(), Value["address"].asString(),
                  Value["zone"].asString()};
  });
}

Json::Value toJson(const View &Current) {
  Json::Value Out;
  Out["generation"] = number(Current.m_generation);
  Out["committer"] = Current.m_committer;
  Out["operation"] = Current.m_operation;
  Out["members"] = listToJson(Current.m_members);
  Out["outgoing"] = listToJson(Current.m_outgoing);
  Out["group_changed_at"] = number(Current.m_groupChangedAt);
  Out["classes"] = listToJson(Current.m_classes);
  Out["servers"] = listToJson(Current.m_servers);
  Out["assignments"] = listToJson(Current.m_assignments);
  Out["recent_operations"] = Json::Value(Json::arrayValue);
  for (const std::string &Operation : Current.m_recentOperations)
    Out["recent_operations"].append(Operation);
  return Out;
}

Result<View> viewFromJson(const Json::Value &Value) {
  return guarded<View>(Value, [&] { return parseView(Value); });
}

Json::Value toJson(const ServerChange &Change) {
  Json::Value Out;
  Out["action"] = toText(Change.m_action);
  Out["servers"] = listToJson(Change.m_servers);
  Out["operation"] = Change.m_operation;
  Out["based_on"] = number(Change.m_basedOn);
  Out["allow_empty_class"] = Change.m_allowEmptyClass;
  return Out;
}

Result<ServerChange> changeFromJson(const Json::Value &Value) {
  return guarded<ServerChange>(Value, [&]() -> Result<ServerChange> {
    ServerChange Out;
    const Result<ServerAction> Action =
        enumFromText<ServerAction>(ActionNames, Value["action"].asString());
    if (!Action)
      return Action.error();
    Out.m_action = Action.value();
    Out.m_operation = Value["operation"].asString();
    Out.m_basedOn = Value["based_on"].asUInt64();
    Out.m_allowEmptyClass = Value["allow_empty_class"].asBool();
    const std::error_code Error =
        listFromJson(Value["servers"], serverFromJson, Out.m_servers);
    if (Error)
      return Error;
    return Out;
  });
}

Json::Value toJson(const RenewRequest &Request) {
  Json::Value Out;
  Out["from"] = Request.m_from;
  Out["incarnation"] = number(Request.m_incarnation);
  Out["generation"] = number(Request.m_generation);
  for (const std::string &Server : Request.m_suspects)
    Out["suspects"].append(Server);
  Out["wants_view"] = Request.m_wantsView;
  return Out;
}

Result<RenewRequest> renewRequestFromJson(const Json::Value &Value) {
  return guarded<RenewRequest>(Value, [&]() -> Result<RenewRequest> {
    RenewRequest Out{Value["from"].asString(),
                     Value["incarnation"].asUInt64(),
                     Value["generation"].asUInt64(),
                     {}};
    for (const Json::Value &Server : Value["suspects"])
      Out.m_suspects.push_back(Server.asString());
    return Out;
  });
}

Json::Value toJson(const RenewReply &Reply) {
  Json::Value Out;
  Out["from"] = Reply.m_from;
  Out["incarnation"] = number(Reply.m_incarnation);
  Out["granted"] = Reply.m_granted;
  Out["recovered"] = Reply.m_recovered;
  Out["generation"] = number(Reply.m_generation);
  Out["promised"] = number(Reply.m_promised);
  Out["drained"] = number(Reply.m_drained);
  Out["settled"] = number(Reply.m_settled);
  if (Reply.m_newer)
    Out["newer"] = toJson(*Reply.m_newer);
  return Out;
}

Result<RenewReply> renewReplyFromJson(const Json::Value &Value) {
  return guarded<RenewReply>(Value, [&] { return parseRenewReply(Value); });
}

} // namespace tamarackdrum
