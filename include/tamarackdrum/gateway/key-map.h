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
struct ServerLife {
  std::string m_id; ///< Empty: nobody.
  std::int64_t m_bornMs = 0;

  bool isNobody() const { return m_id.empty(); }
  bool operator==(const ServerLife &) const = default;
};

/// Keys from m_from to m_to, both included, and their usable holder.
struct KeyHolding {
  Key m_from = 0;
  Key m_to = 0;
  std::string m_server; ///< Empty while the keys move.

  bool operator==(const KeyHolding &) const = default;
};

/// The holders of all keys, sorted and without gaps or overlaps.
class KeyMap {
public:
  KeyMap() = default;
  KeyMap(std::uint64_t Version, std::vector<KeyHolding> Holdings)
      : m_version(Version), m_holdings(std::move(Holdings)) {}

  /// Returns the holder of \p Value, or an empty text.
  const std::string &holderOf(Key Value) const;

  /// Grows with each change under one granter; higher under a later one. 0: no
  /// granter has told the holders yet.
  std::uint64_t version() const { return m_version; }
  const std::vector<KeyHolding> &holdings() const { return m_holdings; }

  bool operator==(const KeyMap &) const = default;

private:
  std::uint64_t m_version = 0;
  std::vector<KeyHolding> m_holdings;
};

/// What turns one map of holders into the next.
struct KeyMapChange {
  std::uint64_t m_base = 0; ///< Version that it changes; 0: it is a whole map.
  std::uint64_t m_version = 0;
  std::vector<KeyHolding> m_holdings; ///< Sorted; where the holder differs.

  bool operator==(const KeyMapChange &) const = default;
};

/// Returns \p Map as a change that needs no earlier map.
KeyMapChange wholeMap(const KeyMap &Map);

/// Returns what turns \p Old into \p Next.
KeyMapChange changeBetween(const KeyMap &Old, const KeyMap &Next);

/// Returns the map that \p Change leads to, or nothing if it does not build on
/// \p Old.
std::optional<KeyMap> applyChange(const KeyMap &Old,
                                  const KeyMapChange &Change);

/// Appends the keys that follow to a sorted list; equal neighbours become one.
void appendHolding(std::vector<KeyHolding> &Out, const KeyHolding &Added);

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
  explicit KeyLoad(Millis Memory = Millis(1200)) : m_memory(Memory) {}

  void note(Key Value, TimePoint Now);

  /// Returns arrivals a second of the keys \p From to \p To.
  double rate(std::uint32_t From, std::uint32_t To, TimePoint Now);

  /// Returns the rates of the keys that have been asked for, in order.
  std::vector<KeyRate> rates(TimePoint Now);

private:
  void decay(TimePoint Now);

  Millis m_memory;
  std::map<Key, double> m_weights;
  TimePoint m_decayedAt{};
  double m_toRate = 0;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_KEY_MAP_H
