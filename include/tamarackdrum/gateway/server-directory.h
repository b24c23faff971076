/// \file
/// The backend servers that have registered themselves in the store.

#ifndef TAMARACKDRUM_GATEWAY_SERVER_DIRECTORY_H
#define TAMARACKDRUM_GATEWAY_SERVER_DIRECTORY_H

#include "tamarackdrum/core.h"

#include <map>
#include <set>
#include <vector>

namespace tamarackdrum::gateway {

/// Properties that a backend server reports of itself. A server that restarts
/// keeps its id and has a later start: each start is another instance.
struct ServerEntry {
  std::string m_id;
  std::string m_service;
  std::string m_address; ///< IP address and port.
  std::string m_zone;
  unsigned m_slots = 1; ///< Requests that it runs at the same time.
  bool m_isDraining = false;
  std::int64_t m_startMs = 0;       ///< Unix time of its start.
  std::uint64_t m_reportNumber = 0; ///< Counts the reports of the instance.
  Millis m_warmUpLeft{0};           ///< Time for which it is still slow.
  /// The operator has asked for the evacuation of its zone. Not part of what
  /// the server reports: each host sets it by the evacuations that it knows.
  bool m_isEvacuated = false;

  bool operator==(const ServerEntry &) const = default;
};

/// Returns whether a server may be sent new requests and granted keys.
inline bool mayGetRequests(const ServerEntry &Entry) {
  return !Entry.m_isDraining && !Entry.m_isEvacuated;
}

/// A row of the server registry: its key, and the entry if it can be decoded.
struct ServerRow {
  std::string m_id;
  bool m_isReadable = false;
  ServerEntry m_entry;

  bool operator==(const ServerRow &) const = default;
};

/// Time limits of the directory.
struct DirectoryPolicy {
  /// Servers that are missing from the first listing after an outage have this
  /// long to register again. The platform promises about 2 s.
  Millis m_returnGrace{2200};
  /// Time between two listings from which it counts as an outage: several
  /// polling intervals, since another reader may have to be found in between.
  Millis m_minOutage{2500};
  /// A removed instance that a restored copy of the registry lists again is
  /// used once it has been listed for this long. An entry lapses after three
  /// missing reports of 0.9 s each and the grace.
  Millis m_relistedDelay{6000};
  /// Removed instances are remembered for this long: a restored copy is some
  /// seconds old, and a leaving server serves for many seconds more.
  Millis m_removedRetention{120000};

  bool operator==(const DirectoryPolicy &) const = default;
};

/// Ids of the servers that a call has changed.
struct DirectoryChange {
  std::vector<std::string> m_added;
  std::vector<std::string> m_removed;
  std::vector<std::string> m_draining;
  std::vector<std::string> m_restarted; ///< Same id, later start.

  bool isEmpty() const {
    return m_added.empty() && m_removed.empty() && m_draining.empty() &&
           m_restarted.empty();
  }
};

class ServerDirectory {
public:
  explicit ServerDirectory(DirectoryPolicy Policy = {}) : m_policy(Policy) {}

  /// Applies a whole listing that was requested at \p AskedAt; one older than
  /// the last applied is ignored. A new \p Era says that the store was restored
  /// from an older copy: servers that the listing lacks may register again, and
  /// servers that it lists again may have ended.
  DirectoryChange applyListing(const std::vector<ServerRow> &Rows,
                               TimePoint AskedAt, TimePoint Now,
                               std::uint64_t Era = 0);

  /// Takes an instance of a server that has announced that it leaves out of use
  /// for good. Returns whether that is new.
  bool markLeaving(const std::string &Id, std::int64_t StartMs, TimePoint Now);

  /// Sets the zones whose servers must get no requests. Returns whether they
  /// have changed.
  bool setEvacuatedZones(const std::set<std::string> &Zones);

  /// Records that the listing could not be read.
  void recordReadFailure() { m_hasReadFailed = true; }

  /// Ends the grace after an outage that only this host had: another host has
  /// read the store without a break for \p Span, so servers that are missing
  /// from the listing have left.
  DirectoryChange endLocalOutageGrace(Millis Span, TimePoint Now);

  /// Removes servers that have not registered again within the grace.
  DirectoryChange removeExpired(TimePoint Now);

  /// Adds servers that a peer knows; ignored once a listing has been applied.
  DirectoryChange addFromPeer(const std::vector<ServerEntry> &Entries);

  /// Returns the servers by id.
  const std::map<std::string, ServerEntry> &entries() const {
    return m_entries;
  }
  /// Returns whether a listing has been applied.
  bool isLoaded() const { return m_isLoaded; }
  /// Returns when the last applied listing was requested.
  TimePoint lastListing() const { return m_lastListing; }

private:
  /// An instance that has been removed, or has left before it was listed.
  struct RemovedServer {
    std::int64_t m_startMs = 0;
    std::uint64_t m_era = 0; ///< Of the last listing when it was removed.
    bool m_isLeaving = false;
    TimePoint m_removedAt{};
    TimePoint m_relistedSince{}; ///< First listing of a later era with it.
  };

  /// Records the time and era of a listing, and starts the grace after an
  /// outage or after the store was restored from an older copy.
  void beginListing(TimePoint AskedAt, TimePoint Now, std::uint64_t Era);
  /// Returns whether a listed server that the directory lacks may be added.
  bool isUsable(const ServerEntry &Entry, TimePoint Now);
  /// Sets ServerEntry::m_isEvacuated.
  void markIfEvacuated(ServerEntry &Entry) const {
    Entry.m_isEvacuated = m_evacuatedZones.count(Entry.m_zone) > 0;
  }
  void add(const ServerEntry &Entry, DirectoryChange &Out);
  void update(ServerEntry &Known, const ServerEntry &Next,
              DirectoryChange &Out) const;
  void dropOldRemovals(const std::set<std::string> &Present, TimePoint Now);

  const DirectoryPolicy m_policy;
  std::map<std::string, ServerEntry> m_entries;
  std::set<std::string> m_evacuatedZones;
  std::map<std::string, RemovedServer> m_removedServers; ///< By id.
  std::uint64_t m_era = 0;                               ///< Of m_lastListing.
  TimePoint m_lastListing{};
  TimePoint m_graceUntil{};
  TimePoint m_outageStart{};       ///< Last listing before the last outage.
  std::set<std::string> m_missing; ///< Not in the last listing, but kept.
  bool m_isLoaded = false;
  bool m_hasReadFailed = false; ///< Since the last listing.
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_SERVER_DIRECTORY_H
