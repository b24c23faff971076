/// \file
/// Decides which host reads the store for all others, and by which hosts its
/// news reaches each of them.
///
/// Load pattern: hundreds of hosts that all need the same listing of servers.
/// If each one reads the store, calls grow with the hosts; if one host tells
/// all others, its bytes do, and most of them cross availability zones. Here
/// one host reads, one relay in each large zone hears it, and the others hear
/// their relay. Silence at any level makes a host read by itself, so that no
/// promise depends on who relays.

#ifndef TAMARACKDRUM_GATEWAY_FEED_TREE_H
#define TAMARACKDRUM_GATEWAY_FEED_TREE_H

#include "tamarackdrum/gateway/roster.h"

namespace tamarackdrum::gateway {

struct FeedTreePolicy {
  /// Hosts of a zone from which a relay saves more than its own way costs.
  std::size_t m_minHostsForRelay = 8;

  bool operator==(const FeedTreePolicy &) const = default;
};

/// What a host knows of itself.
struct FeedHostState {
  bool m_isStoreLost = false;
  bool m_hasConfiguration = false;

  bool operator==(const FeedHostState &) const = default;
};

/// Whom a host hears.
struct FeedSource {
  std::string m_host; ///< Empty: nobody, it reads the store by itself.
  bool m_isRelay = false;

  bool operator==(const FeedSource &) const = default;
};

/// Returns the host that reads the store for the others: the first anchor that
/// reaches it, or an empty text. Processes that have just started read only
/// if no other host can.
std::string selectReader(const Roster &Hosts, const FeedHostState &Self,
                         TimePoint Now);

/// Returns whom this host hears if \p Reader reads the store. The relays of a
/// zone hear the reader, so that no circle arises.
FeedSource selectFeedSource(const Roster &Hosts, const std::string &Reader,
                            const FeedTreePolicy &Policy, TimePoint Now);

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_FEED_TREE_H
