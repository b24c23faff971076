/// \file
/// JSON form of class loads, as processes report them to the planner.

#ifndef TAMARACKDRUM_REBALANCE_JSON_H
#define TAMARACKDRUM_REBALANCE_JSON_H

#include "tamarackdrum/rebalance.h"

#include <json/value.h>

namespace tamarackdrum {

/// Returns {"loads": [{"class", "slices": [COUNT...], "keys": [[HASH,
/// COUNT]...]}...]}.
Json::Value toJson(const ClassLoads &Loads);

/// Errors are of ControlErrc.
Result<ClassLoads> loadsFromJson(const Json::Value &Value);

} // namespace tamarackdrum

#endif // TAMARACKDRUM_REBALANCE_JSON_H
