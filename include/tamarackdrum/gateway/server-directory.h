/// \file
/// The backend servers that have registered themselves.

#ifndef TAMARACKDRUM_GATEWAY_SERVER_DIRECTORY_H
#define TAMARACKDRUM_GATEWAY_SERVER_DIRECTORY_H

#include "tamarackdrum/core.h"

#include <map>
#include <set>
#include <vector>

namespace tamarackdrum::gateway {

/// What a backend server says of itself.
struct ServerEntry {
  std::string m_id;
  std::string m_service;
  std::string m_address; ///< IP address and port.
  std::string m_zone;
  unsigned m_slots = 1; ///< Requests that it runs at the same time.
  bool m_isDraining = false;
  std::int64_t m_startMs = 0;       ///< Unix time of its start.
  std::uint64_t m_reportNumber = 0; ///< Number of the report in this life.
  Millis m_warmUpLeft{0}; ///< How much longer it is slow after its start.

  bool operator==(const ServerEntry &) const = default;
};

/// A row of the registry: its key, and the entry if it could be decoded.
struct ServerRow {
  std::string m_id;
  bool m_isReadable = false;
  ServerEntry m_entry;

  bool operator==(const ServerRow &) const = default;
};

/// Time limits of the directory.
struct DirectoryPolicy {
  /// Servers that are missing from the first listing after an outage have
  /// this long to register again. Source: the platform promises about 2 s.
  Millis m_returnGrace{2200};
  /// A gap between good listings from which it counts as an outage. Source:
  /// several polling
  /// intervals, since a new reader may have to be found in between.
  Millis m_minOutage{2500};
  /// A life that has left, and that an older copy of the registry names again,
  /// is used if it is still listed after this time. Source: an entry lapses
  /// after three reports of 0.9 s are missing, and the grace.
  Millis m_relistedDelay{6000};
  /// Lives that have left are remembered for this long. Source: a copy is some
  /// seconds old, and a server that leaves serves on for many seconds.
  Millis m_removedRetention{120000};

  bool operator==(const DirectoryPolicy &) const = default;
};

/// What a listing has changed.
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

  /// Takes a whole listing that was asked for at \p AskedAt. Older listings
  /// than the newest one taken are ignored. Where \p Era of the store is a new
  /// one, the registry has come back from an older copy: servers that it
  /// lacks may register again, and those that it has again may be gone.
  DirectoryChange applyListing(const std::vector<ServerRow> &Rows,
                               TimePoint AskedAt, TimePoint Now,
                               std::uint64_t Era = 0);

  /// Takes a life of a server out of use for good, since it has said that it
  /// leaves. Returns whether that is new.
  bool markLeaving(const std::string &Id, std::int64_t BornMs, TimePoint Now);

  /// Notes that a listing could not be read.
  void recordReadFailure() { m_hasReadFailed = true; }

  /// Notes that the registry has been served to others for \p Span without a
  /// break: what is missing after an outage of this host alone has left.
  DirectoryChange endLocalOutageGrace(Millis Span, TimePoint Now);

  /// Removes entries that have not come back in time.
  DirectoryChange removeExpired(TimePoint Now);

  /// Takes entries that a peer knows, if this directory has none of its own.
  DirectoryChange addFromPeer(const std::vector<ServerEntry> &Entries);

  const std::map<std::string, ServerEntry> &entries() const {
    return m_entries;
  }
  bool isLoaded() const { return m_isLoaded; }
  TimePoint lastListing() const { return m_lastListing; }

private:
  /// A life that is in the directory no more.
  struct RemovedServer {
    std::int64_t m_startMs = 0;
    std::uint64_t m_era = 0; ///< Of the listing that lacked it.
    bool m_isLeaving = false;
    TimePoint m_removedAt{};
    TimePoint m_relistedSince{}; ///< In a later era.
  };

  /// Notes an outage or an older copy, from which entries have to come back.
  void beginListing(TimePoint AskedAt, TimePoint Now, std::uint64_t Era);
  /// Returns whether a row that is not in the directory names a server to use.
  bool isUsable(const ServerEntry &Entry, TimePoint Now);
  void add(const ServerEntry &Entry, DirectoryChange &Out);
  void update(ServerEntry &Known, const ServerEntry &Next,
              DirectoryChange &Out) const;
  void dropOldRemovals(const std::set<std::string> &Present, TimePoint Now);

  const DirectoryPolicy m_policy;
  std::map<std::string, ServerEntry> m_entries;
  std::map<std::string, RemovedServer> m_removedServers; ///< By id.
  std::uint64_t m_era = 0; ///< Of the last listing.
  TimePoint m_lastListing{};
  TimePoint m_graceUntil{};
  TimePoint m_outageStart{}; ///< Last good listing before the last outage.
  std::set<std::string> m_missing; ///< Not in the last listing, but kept.
  bool m_isLoaded = false;
  bool m_hasReadFailed = false;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_SERVER_DIRECTORY_H
