/// \file
/// JSON form of recorded windows and reports.

#ifndef TAMARACKDRUM_REPORT_JSON_H
#define TAMARACKDRUM_REPORT_JSON_H

#include "tamarackdrum/slo-report.h"

#include <json/value.h>

namespace tamarackdrum {

Json::Value toJson(const ProcessRecord &Record);

/// Errors are of ControlErrc.
Result<ProcessRecord> processRecordFromJson(const Json::Value &Value);

/// Returns the report without its call buckets.
Json::Value toJson(const SloReport &Report);

} // namespace tamarackdrum

#endif // TAMARACKDRUM_REPORT_JSON_H
