/// \file
/// Transfers the server registry from the host that reads the store to the
/// others, as differences from the listing that they have.

#ifndef TAMARACKDRUM_GATEWAY_LISTING_FEED_H
#define TAMARACKDRUM_GATEWAY_LISTING_FEED_H

#include "tamarackdrum/gateway/peer-message.h"

#include <map>

namespace tamarackdrum::gateway {

/// Times of the last listing of a host, from the store or from its source.
struct ListingTimes {
  TimePoint m_requestedAt{}; ///< Start of the read of the store.
  TimePoint m_receivedAt{};  ///< Arrival at this host.
  /// Time of the store at the read. Listings from different sources are ordered
  /// by it, since a source that was paused sends old listings late.
  StoreTime m_storeTime;

  bool operator==(const ListingTimes &) const = default;
};

/// Returns whether a host should read a listing from the store.
///
/// Reading a long registry takes the reader much of \p LongestSilence, after
/// which the other hosts read the store, too. \p LongestSilence counts from
/// the arrival of the last listing: if it counted from the start of the read,
/// all hosts would read at once and slow each read further.
bool isListingDue(const ListingTimes &Last, bool IsReader, Millis ReadEvery,
                  Millis LongestSilence, TimePoint Now);

/// Returns whether a listing that was read at \p At is not older than the last
/// one that was applied.
inline bool isListingCurrent(const ListingTimes &Last, const StoreTime &At) {
  return At >= Last.m_storeTime;
}

/// Creates the messages of a source to its followers.
class ListingSource {
public:
  /// \p ProcessStartMs, Unix ms, keeps the versions of different processes
  /// apart.
  explicit ListingSource(std::int64_t ProcessStartMs)
      : m_version(static_cast<std::uint64_t>(ProcessStartMs) << VersionBits) {}

  /// Stores the rows of a read and returns what has changed since the read
  /// before. The caller sets the ages and the configuration's version.
  ListingMessage update(const std::vector<ServerRow> &Rows);

  /// Returns all rows of the last read.
  ListingMessage snapshot() const;

private:
  static constexpr unsigned VersionBits = 20;

  std::uint64_t m_version;
  std::map<std::string, ServerRow> m_rows; ///< As sent last.
  /// Of the last read: m_rows does not show that a cold server gets colder.
  std::map<std::string, Millis> m_warmUpLeft;
  bool m_hasListing = false;
};

/// Applies the messages of one source at a follower.
class ListingFollower {
public:
  /// Applies a message. Returns false if it changes a version that this host
  /// does not have: the host must request all rows then.
  bool apply(const ListingMessage &Message);

  /// Returns the rows that result from the messages so far.
  std::vector<ServerRow> rows() const;

private:
  std::uint64_t m_version = 0;
  std::map<std::string, ServerRow> m_rows;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_LISTING_FEED_H
