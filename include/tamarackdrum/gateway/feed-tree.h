/// \file
/// Selects the host that reads the store for all others, and the path on which
/// its data reaches each of them.
///
/// Hundreds of hosts need the same listing of servers. If each host read the
/// store, the number of calls would grow with the hosts; if the reader sent to
/// all others, its traffic would, most of it across availability zones.
/// Instead, one relay in each large zone follows the reader, and the other
/// hosts of the zone follow the relay. A host whose source is silent reads the
/// store itself, so that correctness does not depend on the choice of relays.

#ifndef TAMARACKDRUM_GATEWAY_FEED_TREE_H
#define TAMARACKDRUM_GATEWAY_FEED_TREE_H

#include "tamarackdrum/gateway/roster.h"

namespace tamarackdrum::gateway {

struct FeedTreePolicy {
  /// Hosts in a zone from which on a relay saves more traffic across zones
  /// than its own feed costs.
  std::size_t m_minHostsForRelay = 8;

  bool operator==(const FeedTreePolicy &) const = default;
};

/// State of this host; that of the others is in their heartbeats.
struct FeedHostState {
  bool m_isStoreLost = false;
  bool m_hasConfiguration = false;

  bool operator==(const FeedHostState &) const = default;
};

/// The host that this host receives the store's content from.
struct FeedSource {
  std::string m_host; ///< Empty: none, this host reads the store itself.
  bool m_isRelay = false;

  bool operator==(const FeedSource &) const = default;
};

/// Returns the host that reads the store for the others: the first candidate
/// that reaches the store, or an empty string if none does. Hosts without a
/// configuration are selected only if none of these candidates has one.
std::string selectReader(const Roster &Hosts, const FeedHostState &Self,
                         TimePoint Now);

/// Returns the host that this host should follow while \p Reader reads the
/// store. The relays of a zone follow the reader itself, so that no cycle
/// arises.
FeedSource selectFeedSource(const Roster &Hosts, const std::string &Reader,
                            const FeedTreePolicy &Policy, TimePoint Now);

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_FEED_TREE_H
