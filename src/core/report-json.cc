#include "tamarackdrum/report-json.h"

#include "tamarackdrum/error.h"

#include <array>

namespace tamarackdrum {
namespace {

constexpr std::array<const char *, 3> KindNames = {"server-changed",
                                                   "lease-lost", "lease-held"};

Json::Value number(std::uint64_t Value) { return Json::Value::UInt64(Value); }

Json::Value time(std::int64_t Value) { return Json::Value::Int64(Value); }

/// Buckets are short arrays: [index, calls, answered, good].
Json::Value toJson(const CallBucket &Bucket) {
  Json::Value Out(Json::arrayValue);
  Out.append(time(Bucket.m_index));
  Out.append(Bucket.m_calls);
  Out.append(Bucket.m_answered);
  Out.append(Bucket.m_good);
  return Out;
}

Json::Value toJson(const MoveSample &Sample) {
  Json::Value Out;
  Out["class"] = Sample.m_workClass;
  Out["from"] = number(Sample.m_from);
  Out["to"] = number(Sample.m_to);
  Out["unix_ms"] = time(Sample.m_unixMillis);
  Out["moves"] = number(Sample.m_moves);
  return Out;
}

Json::Value toJson(const DispatchSample &Sample) {
  Json::Value Out;
  Out["server"] = Sample.m_server;
  Out["unix_ms"] = time(Sample.m_unixMillis);
  Out["count"] = number(Sample.m_count);
  return Out;
}

Json::Value toJson(const TimelineEvent &Event) {
  Json::Value Out;
  Out["unix_ms"] = time(Event.m_unixMillis);
  Out["kind"] = KindNames[static_cast<std::size_t>(Event.m_kind)];
  Out["subject"] = Event.m_subject;
  Out["detail"] = Event.m_detail;
  Out["generation"] = number(Event.m_generation);
  return Out;
}

Json::Value toJson(const MoveEvent &Move) {
  Json::Value Out;
  Out["unix_ms"] = time(Move.m_unixMillis);
  Out["class"] = Move.m_workClass;
  Out["generation"] = number(Move.m_generation);
  Out["moves"] = number(Move.m_moves);
  return Out;
}

Json::Value toJson(const ClassReport &Class) {
  Json::Value Out;
  Out["class"] = Class.m_workClass;
  Out["calls"] = number(Class.m_calls);
  Out["answered"] = number(Class.m_answered);
  Out["within_latency"] = number(Class.m_good);
  if (Class.m_imbalance)
    Out["imbalance"] = *Class.m_imbalance;
  Out["churn"] = number(Class.m_churn);
  Out["unavailable_ms"] = time(Class.m_unavailable.count());
  Out["target"] = Class.m_target;
  Out["budget"] = Class.m_budget;
  Out["fast_burn"] = Class.m_fastBurn;
  Out["slow_burn"] = Class.m_slowBurn;
  if (Class.m_hoursLeft)
    Out["hours_left"] = *Class.m_hoursLeft;
  return Out;
}

template <typename Item>
Json::Value listToJson(const std::vector<Item> &Items) {
  Json::Value Out(Json::arrayValue);
  for (const Item &One : Items)
    Out.append(toJson(One));
  return Out;
}

EventKind kindFromText(const std::string &Text) {
  for (std::size_t I = 0; I < KindNames.size(); ++I)
    if (Text == KindNames[I])
      return static_cast<EventKind>(I);
  return EventKind::ServerChanged;
}

ProcessRecord parseRecord(const Json::Value &Value) {
  ProcessRecord Out;
  Out.m_process = Value["process"].asString();
  Out.m_startUnixMillis = Value["start_unix_ms"].asInt64();
  const Json::Value &Calls = Value["calls"];
  for (const std::string &Name : Calls.getMemberNames())
    for (const Json::Value &Bucket : Calls[Name])
      Out.m_calls[Name].push_back({Bucket[0].asInt64(), Bucket[1].asUInt(),
                                   Bucket[2].asUInt(), Bucket[3].asUInt()});
  for (const Json::Value &Item : Value["moves"])
    Out.m_moves.push_back({Item["class"].asString(), Item["from"].asUInt64(),
                           Item["to"].asUInt64(), Item["unix_ms"].asInt64(),
                           Item["moves"].asUInt64()});
  for (const Json::Value &Item : Value["dispatches"])
    Out.m_dispatches.push_back({Item["server"].asString(),
                                Item["unix_ms"].asInt64(),
                                Item["count"].asUInt64()});
  for (const Json::Value &Item : Value["events"])
    Out.m_events.push_back(
        {Item["unix_ms"].asInt64(), kindFromText(Item["kind"].asString()),
         Item["subject"].asString(), Item["detail"].asString(),
         Item["generation"].asUInt64()});
  return Out;
}

Json::Value namesToJson(const std::vector<std::string> &Names) {
  Json::Value Out(Json::arrayValue);
  for (const std::string &Name : Names)
    Out.append(Name);
  return Out;
}

} // namespace

Json::Value toJson(const ProcessRecord &Record) {
  Json::Value Out;
  Out["process"] = Record.m_process;
  Out["start_unix_ms"] = time(Record.m_startUnixMillis);
  Out["calls"] = Json::Value(Json::objectValue);
  for (const CallsByClass::value_type &Entry : Record.m_calls)
    Out["calls"][Entry.first] = listToJson(Entry.second);
  Out["moves"] = listToJson(Record.m_moves);
  Out["dispatches"] = listToJson(Record.m_dispatches);
  Out["events"] = listToJson(Record.m_events);
  return Out;
}

Result<ProcessRecord> processRecordFromJson(const Json::Value &Value) {
  if (!Value.isObject())
    return std::error_code(ControlErrc::Malformed);
  try {
    return parseRecord(Value);
  } catch (const Json::Exception &) {
    return std::error_code(ControlErrc::Malformed);
  }
}

Json::Value toJson(const SloReport &Report) {
  Json::Value Out;
  Out["from_unix_ms"] = time(Report.m_window.m_from);
  Out["to_unix_ms"] = time(Report.m_window.m_to);
  Out["processes"] = namesToJson(Report.m_processes);
  Out["partial"] = namesToJson(Report.m_partial);
  Out["missing"] = Json::Value(Json::arrayValue);
  for (const MissingProcess &Missing : Report.m_missing) {
    Json::Value Item;
    Item["process"] = Missing.m_process;
    Item["reason"] = Missing.m_reason;
    Out["missing"].append(Item);
  }
  Out["classes"] = listToJson(Report.m_classes);
  Out["moves"] = listToJson(Report.m_moves);
  Out["events"] = listToJson(Report.m_events);
  return Out;
}

} // namespace tamarackdrum
