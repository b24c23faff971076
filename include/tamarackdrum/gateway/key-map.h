/// \file
/// The map from ranges of keys to the backend servers that hold them.

#ifndef TAMARACKDRUM_GATEWAY_KEY_MAP_H
#define TAMARACKDRUM_GATEWAY_KEY_MAP_H

#include "tamarackdrum/core.h"

#include <array>
#include <map>
#include <optional>
#include <vector>

namespace tamarackdrum::gateway {

/// A key of a keyed service, 0 to 65535.
using Key = std::uint16_t;
inline constexpr std::uint32_t KeyCount = 65536;

/// One process of a backend server, identified by server id and start time.
struct ServerInstance {
  std::string m_id;           ///< Empty: no server.
  std::int64_t m_startMs = 0; ///< Unix time, ms.

  bool isNone() const { return m_id.empty(); }
  bool operator==(const ServerInstance &) const = default;
};

/// Keys from m_from to m_to, both included, and the server that holds them.
struct KeyRange {
  Key m_from = 0;
  Key m_to = 0;
  std::string m_server; ///< Empty while no server may serve the keys.

  bool operator==(const KeyRange &) const = default;
};

/// The holders of all keys, sorted by key, without gaps or overlaps.
class KeyMap {
public:
  KeyMap() = default;
  KeyMap(std::uint64_t Version, std::vector<KeyRange> Ranges)
      : m_version(Version), m_ranges(std::move(Ranges)) {}

  /// Returns the id of the server that holds \p Value, or an empty string.
  const std::string &holderOf(Key Value) const;

  /// Returns the version. It grows with each change by a granter, and is higher
  /// under a later granter. 0: the map does not come from an active granter.
  std::uint64_t version() const { return m_version; }
  const std::vector<KeyRange> &ranges() const { return m_ranges; }

  bool operator==(const KeyMap &) const = default;

private:
  std::uint64_t m_version = 0;
  std::vector<KeyRange> m_ranges;
};

/// An incremental or full update of a KeyMap.
struct KeyMapUpdate {
  std::uint64_t m_baseVersion = 0; ///< Version it applies to; 0: full map.
  std::uint64_t m_version = 0;     ///< Version after the update.
  std::vector<KeyRange> m_ranges;  ///< Ranges whose holder differs, sorted.

  bool operator==(const KeyMapUpdate &) const = default;
};

/// Returns an update that replaces any map by \p Map.
KeyMapUpdate fullUpdate(const KeyMap &Map);

/// Returns the update from \p Old to \p Next. It is a full update if \p Old is
/// empty or has version 0.
KeyMapUpdate updateBetween(const KeyMap &Old, const KeyMap &Next);

/// Returns \p Old with \p Update applied, or std::nullopt if \p Update is based
/// on another version.
std::optional<KeyMap> applyUpdate(const KeyMap &Old,
                                  const KeyMapUpdate &Update);

/// Appends \p Added to the sorted list \p Out. Extends the last range instead
/// if \p Added continues it with the same holder.
void appendRange(std::vector<KeyRange> &Out, const KeyRange &Added);

/// Request rate of one key.
struct KeyRate {
  Key m_key = 0;
  double m_rate = 0; ///< Requests per second.

  bool operator==(const KeyRate &) const = default;
};

/// Request rate of each key, with exponential decay.
class KeyLoad {
public:
  /// \p TimeConstant is the time constant of the decay.
  explicit KeyLoad(Millis TimeConstant = Millis(1200))
      : m_timeConstant(TimeConstant) {}

  /// Counts a request for \p Value.
  void countArrival(Key Value, TimePoint Now);

  /// Returns the requests per second for the keys \p From to \p To, both
  /// included.
  double rate(std::uint32_t From, std::uint32_t To, TimePoint Now);

  /// Returns the rates of recently requested keys, sorted by key.
  std::vector<KeyRate> rates(TimePoint Now);

private:
  void decay(TimePoint Now);

  Millis m_timeConstant;
  std::map<Key, double> m_weights; ///< Decayed number of requests.
  TimePoint m_decayedAt{};
  double m_weightToRate = 0; ///< Requests per second for a weight of 1.
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_KEY_MAP_H
