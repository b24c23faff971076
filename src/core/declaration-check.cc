#include "tamarackdrum/declaration-check.h"

#include "tamarackdrum/view-json.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <set>

namespace tamarackdrum {
namespace {

constexpr unsigned MaxSlots = 1000;
constexpr unsigned MaxConnections = 100000;

/// Collects the faults of one JSON object.
class FaultList {
public:
  FaultList(std::string Path, const Json::Value &Object, SettingsFaults &Faults)
      : m_path(std::move(Path)), m_object(Object), m_faults(Faults) {}

  void add(const std::string &Member, std::string Expected) {
    const bool HasMember = !Member.empty() && m_object.isMember(Member);
    const Json::Value &Found = Member.empty() ? m_object : m_object[Member];
    m_faults.push_back({Member.empty() ? m_path : m_path + "." + Member,
                        Member.empty() || HasMember ? toText(Found) : "nothing",
                        std::move(Expected)});
  }

private:
  const std::string m_path;
  const Json::Value &m_object;
  SettingsFaults &m_faults;
};

/// Returns what is expected in the place of \p Example, or null if \p Value
/// has its type.
const char *typeFault(const Json::Value &Value, const Json::Value &Example) {
  if (Example.isBool())
    return Value.isBool() ? nullptr : "true or false";
  if (Example.isString())
    return Value.isString() ? nullptr : "a string";
  if (Example.isUInt64())
    return Value.isUInt64() ? nullptr : "a whole number, 0 or more";
  return Value.isNumeric() ? nullptr : "a number";
}

/// Checks that \p Object has the members of \p Example only, of their types,
/// and all of \p Required. Returns whether it does.
bool checkShape(const Json::Value &Object, const Json::Value &Example,
                const std::vector<std::string> &Required, FaultList &Faults) {
  if (!Object.isObject()) {
    Faults.add("", "an object");
    return false;
  }
  bool IsGood = true;
  for (const std::string &Name : Object.getMemberNames()) {
    const char *Expected = Example.isMember(Name)
                               ? typeFault(Object[Name], Example[Name])
                               : "no such member";
    if (Expected == nullptr)
      continue;
    Faults.add(Name, Expected);
    IsGood = false;
  }
  for (const std::string &Name : Required)
    if (!Object.isMember(Name)) {
      Faults.add(Name, "a non-empty string");
      IsGood = false;
    }
  return IsGood;
}

bool isName(const std::string &Text) {
  return !Text.empty() &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char Letter) {
           return std::isalnum(Letter) != 0 || Letter == '.' || Letter == '_' ||
                  Letter == '-';
         });
}

void checkName(const std::string &Name, std::set<std::string> &Seen,
               FaultList &Faults) {
  if (!isName(Name))
    Faults.add("name", "letters, digits, '.', '_' and '-'");
  else if (!Seen.insert(Name).second)
    Faults.add("name", "a name that is not used before in this array");
}

void checkAddress(const std::string &Address, std::set<std::string> &Seen,
                  FaultList &Faults) {
  if (!isAddress(Address))
    Faults.add("address", "an address, \"IP:PORT\"");
  else if (!Seen.insert(Address).second)
    Faults.add("address", "an address that is not used before in this array");
}

void checkClass(const ClassTarget &Target, const Json::Value &Source,
                Millis MaxDeadline, FaultList &Faults) {
  if (Target.m_availability <= 0 || Target.m_availability >= 1)
    Faults.add("availability", "a number above 0 and below 1");
  if (Target.m_latency < Millis(1))
    Faults.add("latency_ms", "a whole number, 1 or more");
  if (Target.m_deadline < Millis(1) || Target.m_deadline > MaxDeadline)
    Faults.add("deadline_ms", "a whole number from 1 to " +
                                  std::to_string(MaxDeadline.count()) +
                                  " (max_dispatch_ms)");
  if (Target.m_onceOnly && Target.m_idempotent)
    Faults.add("idempotent", "false, since once_only is true");
  const Json::Value Preferred = Source.get("prefer", "availability");
  if (Preferred != "availability" && Preferred != "stability")
    Faults.add("prefer", "\"availability\" or \"stability\"");
}

/// Calls \p Read with each element of \p Items and its path.
template <typename Reader>
void forEach(const Json::Value &Items, const std::string &Path,
             SettingsFaults &Faults, Reader Read) {
  if (!Items.isArray()) {
    Faults.push_back({Path, toText(Items), "an array"});
    return;
  }
  for (Json::ArrayIndex I = 0; I < Items.size(); ++I) {
    FaultList Own(Path + "[" + std::to_string(I) + "]", Items[I], Faults);
    Read(Items[I], Own);
  }
}

} // namespace

bool isAddress(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return false;
  const std::string Host = Text.substr(0, Colon);
  std::uint16_t Port = 0;
  const char *Begin = Text.data() + Colon + 1;
  const char *End = Text.data() + Text.size();
  const std::from_chars_result Parsed = std::from_chars(Begin, End, Port);
  boost::system::error_code Error;
  boost::asio::ip::make_address(Host, Error);
  return !Error && Parsed.ec == std::errc() && Parsed.ptr == End && Port != 0;
}

std::vector<ClassTarget> readClasses(const Json::Value &Items,
                                     const std::string &Path,
                                     Millis MaxDeadline,
                                     SettingsFaults &Faults) {
  const Json::Value Example = toJson(ClassTarget{});
  std::vector<ClassTarget> Out;
  std::set<std::string> Names;
  forEach(Items, Path, Faults, [&](const Json::Value &Item, FaultList &Own) {
    if (!checkShape(Item, Example, {"name"}, Own))
      return;
    const Result<ClassTarget> Target = classFromJson(Item);
    if (!Target) {
      Own.add("", "a class as docs/CONFIG.md describes");
      return;
    }
    checkName(Target.value().m_name, Names, Own);
    checkClass(Target.value(), Item, MaxDeadline, Own);
    Out.push_back(Target.value());
  });
  return Out;
}

std::vector<ServerRecord> readServers(const Json::Value &Items,
                                      const std::string &Path,
                                      SettingsFaults &Faults) {
  const Json::Value Example = toJson(ServerRecord{});
  std::vector<ServerRecord> Out;
  std::set<std::string> Names;
  std::set<std::string> Addresses;
  forEach(Items, Path, Faults, [&](const Json::Value &Item, FaultList &Own) {
    if (!checkShape(Item, Example, {"name", "class", "address"}, Own))
      return;
    const Result<ServerRecord> Server = serverFromJson(Item);
    if (!Server) {
      Own.add("", "a server as docs/CONFIG.md describes");
      return;
    }
    checkName(Server.value().m_name, Names, Own);
    checkAddress(Server.value().m_address, Addresses, Own);
    if (Server.value().m_slots < 1 || Server.value().m_slots > MaxSlots)
      Own.add("slots", "a whole number from 1 to " + std::to_string(MaxSlots));
    if (Server.value().m_connections < 1 ||
        Server.value().m_connections > MaxConnections)
      Own.add("connections",
              "a whole number from 1 to " + std::to_string(MaxConnections));
    Out.push_back(Server.value());
  });
  return Out;
}

void checkServerClasses(const std::vector<ServerRecord> &Servers,
                        const std::vector<ClassTarget> &Classes,
                        const std::string &Path, SettingsFaults &Faults) {
  for (std::size_t I = 0; I < Servers.size(); ++I) {
    const bool IsDeclared = std::any_of(
        Classes.begin(), Classes.end(), [&](const ClassTarget &Target) {
          return Target.m_name == Servers[I].m_workClass;
        });
    if (!IsDeclared)
      Faults.push_back({Path + "[" + std::to_string(I) + "].class",
                        toText(Json::Value(Servers[I].m_workClass)),
                        "a declared class"});
  }
}

std::vector<Member> readMembers(const Json::Value &Items,
                                const std::string &Path,
                                SettingsFaults &Faults) {
  const Json::Value Example = toJson(Member{});
  std::vector<Member> Out;
  std::set<std::string> Names;
  std::set<std::string> Addresses;
  forEach(Items, Path, Faults, [&](const Json::Value &Item, FaultList &Own) {
    if (!checkShape(Item, Example, {"name", "address", "zone"}, Own))
      return;
    const Result<Member> Read = memberFromJson(Item);
    if (!Read)
      return;
    checkName(Read.value().m_name, Names, Own);
    checkAddress(Read.value().m_address, Addresses, Own);
    if (Read.value().m_zone.empty())
      Own.add("zone", "a non-empty string");
    Out.push_back(Read.value());
  });
  return Out;
}

} // namespace tamarackdrum
