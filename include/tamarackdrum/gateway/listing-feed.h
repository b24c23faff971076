/// \file
/// Passes the server registry on from the host that reads the store to the
/// others, as changes of what they have.

#ifndef TAMARACKDRUM_GATEWAY_LISTING_FEED_H
#define TAMARACKDRUM_GATEWAY_LISTING_FEED_H

#include "tamarackdrum/gateway/peer-message.h"

#include <map>

namespace tamarackdrum::gateway {

/// When a host has last got a listing, from the store or from the reader.
struct ListingTimes {
  TimePoint m_requestedAt{}; ///< The store was asked for it.
  TimePoint m_receivedAt{};  ///< It came here.
  /// Time of the store at the read. It alone orders listings that came by
  /// different ways: a host that stood still tells old ones as new.
  StoreTime m_storeTime;

  bool operator==(const ListingTimes &) const = default;
};

/// Decides whether a host asks the store for a listing.
///
/// Load pattern: a long registry on many hosts. Reading it takes the reader a
/// good part of the pause after which the others stop to rely on it, so that
/// this pause counts from the arrival of the last listing: counted from its
/// reading, all hosts would read at once, which makes each read longer still.
bool isListingDue(const ListingTimes &Last, bool IsReader, Millis ReadEvery,
                  Millis LongestSilence, TimePoint Now);

/// Returns whether a listing that was read at \p At is not older than the last
/// one that was taken.
inline bool isListingCurrent(const ListingTimes &Last, const StoreTime &At) {
  return At >= Last.m_storeTime;
}

/// The side of a host that others follow.
class ListingSource {
public:
  /// \p Life, Unix ms, keeps the versions of different processes apart.
  explicit ListingSource(std::int64_t Life)
      : m_version(static_cast<std::uint64_t>(Life) << VersionBits) {}

  /// Takes the rows of a read, and returns what has changed since the read
  /// before. Ages and the configuration's version are left to the caller.
  ListingMessage update(const std::vector<ServerRow> &Rows);

  /// Returns all rows of the last read.
  ListingMessage snapshot() const;

private:
  static constexpr unsigned VersionBits = 20;

  std::uint64_t m_version;
  std::map<std::string, ServerRow> m_rows;
  bool m_hasListing = false;
};

/// The side of a follower, for one source.
class ListingFollower {
public:
  /// Takes a message. Returns false if it builds on rows that this host has not
  /// got: it must ask for all of them.
  bool apply(const ListingMessage &News);

  /// Returns the rows that the messages so far have led to.
  std::vector<ServerRow> rows() const;

private:
  std::uint64_t m_version = 0;
  std::map<std::string, ServerRow> m_rows;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_LISTING_FEED_H
