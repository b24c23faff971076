/// \file
/// JSON encoding of the records that the gateway keeps in the store.

#ifndef TAMARACKDRUM_GATEWAY_RECORD_JSON_H
#define TAMARACKDRUM_GATEWAY_RECORD_JSON_H

#include "tamarackdrum/gateway/key-granter.h"
#include "tamarackdrum/gateway/roster.h"

namespace tamarackdrum::gateway {

std::string toJson(const OwnershipRecord &Record);
/// Errors: TableErrc::Malformed.
Result<OwnershipRecord> ownershipFromJson(std::string_view Text);

std::string toJson(const HostInfo &Host);
/// Errors: TableErrc::Malformed.
Result<HostInfo> hostFromJson(std::string_view Text);

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_RECORD_JSON_H
