#include "tamarackdrum/gateway/record-json.h"

#include "tamarackdrum/error.h"

#include <nlohmann/json.hpp>

namespace tamarackdrum::gateway {
namespace {

using Json = nlohmann::json;

Json lifeToJson(const ServerLife &Life) {
  return Json::array({Json(Life.m_id), Json(Life.m_bornMs)});
}

ServerLife lifeFromJson(const Json &Value) {
  return {Value.at(0).get<std::string>(), Value.at(1).get<std::int64_t>()};
}

} // namespace

std::string toJson(const OwnershipRecord &Record) {
  Json Ranges = Json::array();
  for (const RangeRecord &Item : Record.m_ranges) {
    Json Range = {{"from", Item.m_from},
                  {"to", Item.m_to},
                  {"owner", lifeToJson(Item.m_owner)},
                  {"fence", Item.m_fence}};
    if (!Item.m_previous.isNobody()) {
      Range["previous"] = lifeToJson(Item.m_previous);
      Range["previous_fence"] = Item.m_previousFence;
    }
    Ranges.push_back(std::move(Range));
  }
  return Json{{"term", Record.m_term},
              {"granter", Record.m_granter},
              {"granter_life", Record.m_granterLife},
              {"unsafe_until_ms", Record.m_unsafeUntilMs},
              {"ranges", std::move(Ranges)}}
      .dump();
}

Result<OwnershipRecord> ownershipFromJson(std::string_view Text) {
  try {
    const Json Value = Json::parse(Text);
    OwnershipRecord Out;
    Out.m_term = Value.at("term").get<std::uint64_t>();
    Out.m_granter = Value.at("granter").get<std::string>();
    Out.m_granterLife = Value.at("granter_life").get<std::int64_t>();
    Out.m_unsafeUntilMs = Value.at("unsafe_until_ms").get<std::int64_t>();
    for (const Json &Item : Value.at("ranges")) {
      RangeRecord Range;
      Range.m_from = Item.at("from").get<Key>();
      Range.m_to = Item.at("to").get<Key>();
      Range.m_owner = lifeFromJson(Item.at("owner"));
      Range.m_fence = Item.at("fence").get<std::uint64_t>();
      if (Item.contains("previous")) {
        Range.m_previous = lifeFromJson(Item.at("previous"));
        Range.m_previousFence = Item.at("previous_fence").get<std::uint64_t>();
      }
      Out.m_ranges.push_back(std::move(Range));
    }
    return Out;
  } catch (const Json::exception &) {
    // The library throws on malformed text and on wrong types.
    return TableErrc::Malformed;
  }
}

std::string toJson(const HostInfo &Host) {
  return Json{{"name", Host.m_name},
              {"ip", Host.m_ip},
              {"zone", Host.m_zone},
              {"life", Host.m_life},
              {"weight", Host.m_weight}}
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
    // The library throws on malformed text and on wrong types.
    return TableErrc::Malformed;
  }
}

} // namespace tamarackdrum::gateway
