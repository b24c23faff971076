#include "tamarackdrum/rebalance-json.h"

#include "tamarackdrum/error.h"

namespace tamarackdrum {
namespace {

Json::Value toJson(const SliceLoads &Loads) {
  Json::Value Out;
  Out["class"] = Loads.m_workClass;
  Out["slices"] = Json::Value(Json::arrayValue);
  for (const std::uint64_t Count : Loads.m_slices)
    Out["slices"].append(Json::UInt64(Count));
  Out["keys"] = Json::Value(Json::arrayValue);
  for (const KeyCount &Key : Loads.m_keys) {
    Json::Value Item(Json::arrayValue);
    Item.append(Json::UInt64(Key.m_hash));
    Item.append(Json::UInt64(Key.m_count));
    Out["keys"].append(Item);
  }
  return Out;
}

SliceLoads sliceLoadsFromJson(const Json::Value &Value) {
  SliceLoads Out;
  Out.m_workClass = Value["class"].asString();
  for (const Json::Value &Count : Value["slices"])
    Out.m_slices.push_back(Count.asUInt64());
  for (const Json::Value &Key : Value["keys"])
    Out.m_keys.push_back({Key[0].asUInt64(), Key[1].asUInt64()});
  return Out;
}

} // namespace

Json::Value toJson(const ClassLoads &Loads) {
  Json::Value Out;
  Out["loads"] = Json::Value(Json::arrayValue);
  for (const SliceLoads &Item : Loads)
    Out["loads"].append(toJson(Item));
  return Out;
}

Result<ClassLoads> loadsFromJson(const Json::Value &Value) {
  try {
    ClassLoads Out;
    for (const Json::Value &Item : Value["loads"])
      Out.push_back(sliceLoadsFromJson(Item));
    return Out;
  } catch (const Json::Exception &) {
    return std::error_code(ControlErrc::Malformed);
  }
}

} // namespace tamarackdrum
