/// \file
/// Chooses the hosts through which a host that is cut off from the servers
/// sends its requests.

#ifndef TAMARACKDRUM_GATEWAY_RELAY_PEERS_H
#define TAMARACKDRUM_GATEWAY_RELAY_PEERS_H

#include "tamarackdrum/gateway/roster.h"

namespace tamarackdrum::gateway {

/// Returns up to \p Count hosts to which a cut-off host sends heartbeats, so
/// that it learns whether they can relay: half of them in other zones, since
/// all hosts of a zone may be cut off together. Hosts choose differently.
std::vector<HostInfo> relayProspects(const Roster &Hosts, std::size_t Count);

/// Returns the names of the live hosts that have said of late that they reach
/// servers.
std::vector<std::string> usableRelays(const Roster &Hosts, TimePoint Now);

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_RELAY_PEERS_H
