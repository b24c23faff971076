#include "tamarackdrum/gateway/record-json.h"

#include "tamarackdrum/error.h"

#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace tamarackdrum::gateway {
namespace {

using Json = nlohmann::json;

/// The distinct server instances of a record. Ranges refer to them by index.
class InstanceTable {
public:
  std::size_t indexOf(const ServerInstance &Instance) {
    const auto [Found, IsNew] = m_indices.emplace(
        std::make_pair(Instance.m_id, Instance.m_startMs), m_indices.size());
    if (IsNew)
      m_json.push_back(
          Json::array({Json(Instance.m_id), Json(Instance.m_startMs)}));
    return Found->second;
  }
  const Json &json() const { return m_json; }

private:
  std::map<std::pair<std::string, std::int64_t>, std::size_t> m_indices;
  Json m_json = Json::array();
};

ServerInstance instanceFromJson(const Json &Instances, const Json &Index) {
  const Json &Value = Instances.at(Index.get<std::size_t>());
  return {Value.at(0).get<std::string>(), Value.at(1).get<std::int64_t>()};
}

} // namespace

std::string toJson(const OwnershipRecord &Record) {
  // Layout of a range: [from, to, owner, fence], followed by the previous owner
  // and its fence if there is one. Layout of an earlier granter: [term, host,
  // start of its process, end of its holds].
  InstanceTable Instances;
  Json Ranges = Json::array();
  for (const RangeRecord &Item : Record.m_ranges) {
    Json Range = Json::array({Item.m_from, Item.m_to,
                              Instances.indexOf(Item.m_owner), Item.m_fence});
    if (!Item.m_previousOwner.isNone()) {
      Range.push_back(Instances.indexOf(Item.m_previousOwner));
      Range.push_back(Item.m_previousFence);
    }
    Ranges.push_back(std::move(Range));
  }
  Json Earlier = Json::array();
  for (const EarlierGranter &Item : Record.m_earlier)
    Earlier.push_back(
        {Item.m_term, Item.m_host, Item.m_processStartMs, Item.m_holdsEndMs});
  Json Out = {{"term", Record.m_term},
              {"granter", Record.m_granter},
              {"granter_life", Record.m_granterStartMs},
              {"earlier", std::move(Earlier)},
              {"lives", Instances.json()},
              {"ranges", std::move(Ranges)}};
  if (!Record.m_isConfirmed)
    Out["confirmed"] = false;
  return Out.dump();
}

Result<OwnershipRecord> ownershipFromJson(std::string_view Text) {
  try {
    const Json Value = Json::parse(Text);
    OwnershipRecord Out;
    Out.m_term = Value.at("term").get<std::uint64_t>();
    Out.m_granter = Value.at("granter").get<std::string>();
    Out.m_granterStartMs = Value.at("granter_life").get<std::int64_t>();
    Out.m_isConfirmed = Value.value("confirmed", true);
    for (const Json &Item : Value.at("earlier"))
      Out.m_earlier.push_back(
          {Item.at(0).get<std::uint64_t>(), Item.at(1).get<std::string>(),
           Item.at(2).get<std::int64_t>(), Item.at(3).get<std::int64_t>()});
    const Json &Instances = Value.at("lives");
    for (const Json &Item : Value.at("ranges")) {
      RangeRecord Range;
      Range.m_from = Item.at(0).get<Key>();
      Range.m_to = Item.at(1).get<Key>();
      Range.m_owner = instanceFromJson(Instances, Item.at(2));
      Range.m_fence = Item.at(3).get<std::uint64_t>();
      if (Item.size() > 4) {
        Range.m_previousOwner = instanceFromJson(Instances, Item.at(4));
        Range.m_previousFence = Item.at(5).get<std::uint64_t>();
      }
      Out.m_ranges.push_back(std::move(Range));
    }
    return Out;
  } catch (const Json::exception &) {
    // The library throws on malformed text and on missing or mistyped values.
    return TableErrc::Malformed;
  }
}

std::string toJson(const HostInfo &Host) {
  return Json{{"name", Host.m_name},
              {"ip", Host.m_ip},
              {"zone", Host.m_zone},
              {"life", Host.m_processStartMs},
              {"weight", Host.m_cpuShare}}
      .dump();
}

Result<HostInfo> hostFromJson(std::string_view Text) {
  try {
    const Json Value = Json::parse(Text);
    return HostInfo{Value.at("name").get<std::string>(),
                    Value.at("ip").get<std::string>(),
                    Value.at("zone").get<std::string>(),
                    Value.at("life").get<std::int64_t>(),
                    Value.at("weight").get<unsigned>()};
  } catch (const Json::exception &) {
    // The library throws on malformed text and on missing or mistyped values.
    return TableErrc::Malformed;
  }
}

} // namespace tamarackdrum::gateway
