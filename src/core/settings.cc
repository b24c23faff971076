#include "tamarackdrum/settings.h"

#include "tamarackdrum/view-json.h"

#include <functional>
#include <set>

namespace tamarackdrum {
namespace {

constexpr std::int64_t MaxMillis = 600000;
constexpr std::int64_t MaxWorkers = 64;
constexpr std::size_t MinKeyLength = 8;

/// Reads the members of one JSON object and collects faults.
class ObjectReader {
public:
  ObjectReader(const Json::Value &Object, std::string Path,
               std::vector<SettingsFault> &Faults)
      : m_object(Object), m_path(std::move(Path)), m_faults(Faults) {
    if (!m_object.isObject())
      fault("", m_object, "an object");
  }

  std::string text(const char *Name, bool IsRequired) {
    const Json::Value *Value = find(Name);
    if (Value == nullptr || !Value->isString() ||
        (IsRequired && Value->asString().empty())) {
      if (Value != nullptr || IsRequired)
        fault(Name, Value == nullptr ? Json::Value() : *Value,
              "a non-empty string");
      return {};
    }
    return Value->asString();
  }

  std::string address(const char *Name, bool IsRequired) {
    const std::string Out = text(Name, IsRequired);
    if (!Out.empty() && !isAddress(Out))
      fault(Name, Json::Value(Out), "an address, \"IP:PORT\"");
    return Out;
  }

  std::int64_t integer(const char *Name, std::int64_t Default, std::int64_t Min,
                       std::int64_t Max) {
    const Json::Value *Value = find(Name);
    if (Value == nullptr)
      return Default;
    if (!Value->isInt64() || Value->asInt64() < Min || Value->asInt64() > Max) {
      fault(Name, *Value,
            "an integer from " + std::to_string(Min) + " to " +
                std::to_string(Max));
      return Default;
    }
    return Value->asInt64();
  }

  Millis millis(const char *Name, Millis Default) {
    return Millis(integer(Name, Default.count(), 1, MaxMillis));
  }

  bool boolean(const char *Name, bool Default) {
    const Json::Value *Value = find(Name);
    if (Value == nullptr)
      return Default;
    if (!Value->isBool())
      fault(Name, *Value, "true or false");
    return Value->isBool() ? Value->asBool() : Default;
  }

  const Json::Value &object(const char *Name) {
    static const Json::Value Empty(Json::objectValue);
    const Json::Value *Value = find(Name);
    return Value == nullptr ? Empty : *Value;
  }

  /// Returns the array \p Name, or an empty one.
  const Json::Value &array(const char *Name) {
    static const Json::Value Empty(Json::arrayValue);
    const Json::Value *Value = find(Name);
    return Value == nullptr ? Empty : *Value;
  }

  void rejectUnknown() {
    if (!m_object.isObject())
      return;
    for (const std::string &Name : m_object.getMemberNames())
      if (!m_known.contains(Name))
        fault(Name, m_object[Name], "no such setting");
  }

  void fault(const std::string &Name, const Json::Value &Found,
             std::string Expected) {
    m_faults.push_back({Name.empty() ? m_path : m_path + "." + Name,
                        Found.isNull() ? "nothing" : toText(Found),
                        std::move(Expected)});
  }

private:
  const Json::Value *find(const char *Name) {
    m_known.insert(Name);
    if (!m_object.isObject() || !m_object.isMember(Name))
      return nullptr;
    return &m_object[Name];
  }

  const Json::Value &m_object;
  const std::string m_path;
  std::vector<SettingsFault> &m_faults;
  std::set<std::string> m_known;
};

LeaseTiming readLease(const Json::Value &Object,
                      std::vector<SettingsFault> &Faults) {
  constexpr std::int64_t MaxDriftPerMille = 100;
  ObjectReader Reader(Object, "$.lease", Faults);
  LeaseTiming Timing;
  Timing.m_lease = Reader.millis("lease_ms", Timing.m_lease);
  Timing.m_renewInterval = Reader.millis("renew_ms", Timing.m_renewInterval);
  Timing.m_maxDispatch = Reader.millis("max_dispatch_ms", Timing.m_maxDispatch);
  Timing.m_clockSkew = Reader.millis("clock_skew_ms", Timing.m_clockSkew);
  Timing.m_driftPerMille = static_cast<int>(Reader.integer(
      "drift_per_mille", Timing.m_driftPerMille, 0, MaxDriftPerMille));
  Reader.rejectUnknown();
  if (Timing.m_renewInterval * 2 > Timing.m_lease)
    Reader.fault("renew_ms", Json::Int64(Timing.m_renewInterval.count()),
                 "at most half of lease_ms");
  return Timing;
}

ClaimSettings readClaims(const Json::Value &Object, const LeaseTiming &Lease,
                         std::vector<SettingsFault> &Faults) {
  constexpr std::int64_t MaxRetentionS = 30L * 24 * 3600;
  constexpr std::int64_t MaxBatchRows = 1000;
  ObjectReader Reader(Object, "$.claims", Faults);
  ClaimSettings Out;
  Out.m_policy.m_claimWindow =
      Reader.millis("window_ms", Out.m_policy.m_claimWindow);
  Out.m_policy.m_maxRun = Lease.m_maxDispatch + Lease.m_clockSkew;
  const std::chrono::seconds Retention =
      std::chrono::duration_cast<std::chrono::seconds>(
          Out.m_policy.m_retention);
  Out.m_policy.m_retention = std::chrono::seconds(
      Reader.integer("retention_s", Retention.count(), 60, MaxRetentionS));
  Out.m_batch.m_window = Reader.millis("batch_window_ms", Out.m_batch.m_window);
  Out.m_batch.m_maxRows = static_cast<std::size_t>(Reader.integer(
      "batch_rows", static_cast<std::int64_t>(Out.m_batch.m_maxRows), 1,
      MaxBatchRows));
  Reader.rejectUnknown();
  return Out;
}

void readBootstrap(const Json::Value &Object, Settings &Out,
                   std::vector<SettingsFault> &Faults) {
  ObjectReader Reader(Object, "$.bootstrap", Faults);
  Out.m_bootstrapGroup =
      readMembers(Reader.array("group"), "$.bootstrap.group", Faults);
  const std::size_t FaultsBefore = Faults.size();
  Out.m_bootstrapClasses =
      readClasses(Reader.array("classes"), "$.bootstrap.classes",
                  Out.m_lease.m_maxDispatch, Faults);
  const bool HasGoodClasses = Faults.size() == FaultsBefore;
  const std::string ServersPath = "$.bootstrap.servers";
  Out.m_bootstrapServers =
      readServers(Reader.array("servers"), ServersPath, Faults);
  if (HasGoodClasses)
    checkServerClasses(Out.m_bootstrapServers, Out.m_bootstrapClasses,
                       ServersPath, Faults);
  Reader.rejectUnknown();
}

/// Checks what concerns several settings at once.
void checkTogether(const Settings &Read, std::vector<SettingsFault> &Faults) {
  if (!Read.m_callerAddress.empty() &&
      Read.m_callerAddress == Read.m_controlAddress)
    Faults.push_back({"$.control_address", Read.m_controlAddress,
                      "another address than caller_address"});
  for (std::size_t I = 0; I < Read.m_bootstrapGroup.size(); ++I) {
    const Member &Item = Read.m_bootstrapGroup[I];
    if (Item.m_name == Read.m_name && Item.m_address != Read.m_controlAddress)
      Faults.push_back({"$.bootstrap.group[" + std::to_string(I) + "].address",
                        Item.m_address,
                        "control_address, since the name is that of this "
                        "process"});
  }
}

} // namespace

SettingsReport parseSettings(const std::string &Text) {
  SettingsReport Report;
  const Result<Json::Value> Root = parseJson(Text);
  if (!Root) {
    Report.m_faults.push_back({"$", "text that is not JSON", "a JSON object"});
    return Report;
  }
  Settings &Out = Report.m_settings;
  ObjectReader Reader(Root.value(), "$", Report.m_faults);
  Out.m_name = Reader.text("name", true);
  Out.m_zone = Reader.text("zone", true);
  Out.m_callerAddress = Reader.address("caller_address", true);
  Out.m_controlAddress = Reader.address("control_address", true);
  Out.m_platformAddress = Reader.address("platform_address", false);
  Out.m_sharedKey = Reader.text("shared_key", true);
  if (!Out.m_sharedKey.empty() && Out.m_sharedKey.size() < MinKeyLength)
    Reader.fault("shared_key", Json::Value("(hidden)"),
                 "at least 8 characters");
  Out.m_workers =
      static_cast<unsigned>(Reader.integer("workers", 2, 1, MaxWorkers));
  Out.m_stopTimeout = Reader.millis("stop_timeout_ms", Out.m_stopTimeout);
  Out.m_tablePollInterval =
      Reader.millis("table_poll_ms", Out.m_tablePollInterval);
  Out.m_loadWindow = Reader.millis("load_window_ms", Out.m_loadWindow);
  Out.m_tableTimeout = Reader.millis("table_timeout_ms", Out.m_tableTimeout);
  Out.m_allowFaults = Reader.boolean("allow_faults", false);
  Out.m_lease = readLease(Reader.object("lease"), Report.m_faults);
  Out.m_claims =
      readClaims(Reader.object("claims"), Out.m_lease, Report.m_faults);
  readBootstrap(Reader.object("bootstrap"), Out, Report.m_faults);
  checkTogether(Out, Report.m_faults);
  Reader.rejectUnknown();
  return Report;
}

} // namespace tamarackdrum
