/// \file
/// Which backend server holds which range of keys.

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

/// One life of a backend server.
struct ServerInstance {
  std::string m_id; ///< Empty: nobody.
  std::int64_t m_startMs = 0;

  bool isNone() const { return m_id.empty(); }
  bool operator==(const ServerInstance &) const = default;
};

/// Keys from m_from to m_to, both included, and their usable holder.
struct KeyRange {
  Key m_from = 0;
  Key m_to = 0;
  std::string m_server; ///< Empty while the keys move.

  bool operator==(const KeyRange &) const = default;
};

/// The holders of all keys, sorted and without gaps or overlaps.
class KeyMap {
public:
  KeyMap() = default;
  KeyMap(std::uint64_t Version, std::vector<KeyRange> Holdings)
      : m_version(Version), m_ranges(std::move(Holdings)) {}

  /// Returns the holder of \p Value, or an empty text.
  const std::string &holderOf(Key Value) const;

  /// Grows with each change under one granter; higher under a later one. 0: no
  /// granter has told the holders yet.
  std::uint64_t version() const { return m_version; }
  const std::vector<KeyRange> &ranges() const { return m_ranges; }

  bool operator==(const KeyMap &) const = default;

private:
  std::uint64_t m_version = 0;
  std::vector<KeyRange> m_ranges;
};

/// What turns one map of holders into the next.
struct KeyMapUpdate {
  std::uint64_t m_baseVersion =
      0; ///< Version that it changes; 0: it is a whole map.
  std::uint64_t m_version = 0;
  std::vector<KeyRange> m_ranges; ///< Sorted; where the holder differs.

  bool operator==(const KeyMapUpdate &) const = default;
};

/// Returns \p Map as a change that needs no earlier map.
KeyMapUpdate fullUpdate(const KeyMap &Map);

/// Returns what turns \p Old into \p Next.
KeyMapUpdate updateBetween(const KeyMap &Old, const KeyMap &Next);

/// Returns the map that \p Change leads to, or nothing if it does not build on
/// \p Old.
std::optional<KeyMap> applyUpdate(const KeyMap &Old,
                                  const KeyMapUpdate &Change);

/// Appends the keys that follow to a sorted list; equal neighbours become one.
void appendRange(std::vector<KeyRange> &Out, const KeyRange &Added);

/// Requests a second of one key.
struct KeyRate {
  Key m_key = 0;
  double m_rate = 0;

  bool operator==(const KeyRate &) const = default;
};

/// Decaying rate of arrivals for each key.
class KeyLoad {
public:
  /// \p Memory is the time constant of the decay.
  explicit KeyLoad(Millis Memory = Millis(1200)) : m_timeConstant(Memory) {}

  void countArrival(Key Value, TimePoint Now);

  /// Returns arrivals a second of the keys \p From to \p To.
  double rate(std::uint32_t From, std::uint32_t To, TimePoint Now);

  /// Returns the rates of the keys that have been asked for, in order.
  std::vector<KeyRate> rates(TimePoint Now);

private:
  void decay(TimePoint Now);

  Millis m_timeConstant;
  std::map<Key, double> m_weights;
  TimePoint m_decayedAt{};
  double m_weightToRate = 0;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_KEY_MAP_H
