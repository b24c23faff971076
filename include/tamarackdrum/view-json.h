/// \file
/// JSON form of views, declarations and control messages.

#ifndef TAMARACKDRUM_VIEW_JSON_H
#define TAMARACKDRUM_VIEW_JSON_H

#include "tamarackdrum/declaration.h"
#include "tamarackdrum/view-lease.h"

#include <json/value.h>

namespace tamarackdrum {

/// Returns \p Value on one line.
std::string toText(const Json::Value &Value);

/// Parses \p Text; errors are of ControlErrc.
Result<Json::Value> parseJson(const std::string &Text);

Json::Value toJson(const View &Current);
Result<View> viewFromJson(const Json::Value &Value);

Json::Value toJson(const ClassTarget &Target);
Result<ClassTarget> classFromJson(const Json::Value &Value);

Json::Value toJson(const ServerRecord &Server);
Result<ServerRecord> serverFromJson(const Json::Value &Value);

Json::Value toJson(const Member &Item);
Result<Member> memberFromJson(const Json::Value &Value);

Json::Value toJson(const ServerChange &Change);
Result<ServerChange> changeFromJson(const Json::Value &Value);

Json::Value toJson(const RenewRequest &Request);
Result<RenewRequest> renewRequestFromJson(const Json::Value &Value);

Json::Value toJson(const RenewReply &Reply);
Result<RenewReply> renewReplyFromJson(const Json::Value &Value);

const char *toText(ServerState State) noexcept;
const char *toText(ServerAction Action) noexcept;

} // namespace tamarackdrum

#endif // TAMARACKDRUM_VIEW_JSON_H
