/// \file
/// Account of the bytes of bodies that a process holds for clients and servers.
///
/// Load pattern: many clients upload at the same time, and clients or servers
/// are slow, so that bodies are held for long. Without a limit that applies
/// before a body is read, the process exceeds its memory and is killed.

#ifndef TAMARACKDRUM_GATEWAY_BODY_MEMORY_H
#define TAMARACKDRUM_GATEWAY_BODY_MEMORY_H

#include "tamarackdrum/core.h"

#include <array>
#include <optional>

namespace tamarackdrum::gateway {

/// For whom bytes are held.
enum class BodyDirection { Request, Answer, Relayed };

std::string_view toText(BodyDirection Value);

/// Limits of BodyMemory.
struct BodyMemoryPolicy {
  std::size_t m_limitBytes = 64U << 20U;
  /// Share of the limit that a body may fill up. The rest is for answers, and
  /// keeps requests without a body from being refused.
  double m_bodyShare = 0.75;
  /// Share of the bytes for bodies below which memory counts as ample again.
  double m_ampleShare = 0.5;
  /// Time over which the rate of freed bytes is measured.
  Millis m_rateWindow{1000};
  /// Time to return if no bytes have become free within the window.
  Millis m_defaultRetryAfter{500};
  Millis m_minRetryAfter{50};
  /// Requests end within seconds, and their memory with them.
  Millis m_maxRetryAfter{5000};

  bool operator==(const BodyMemoryPolicy &) const = default;
};

class BodyMemory {
public:
  explicit BodyMemory(BodyMemoryPolicy Policy) : m_policy(Policy) {}

  /// Takes \p Bytes for a body if they fit into the bytes for bodies. Returns
  /// whether they do.
  bool tryTake(BodyDirection Direction, std::size_t Bytes);
  /// Takes \p Bytes that must be held in any case, e.g. those of an answer.
  void take(BodyDirection Direction, std::size_t Bytes);
  void giveBack(BodyDirection Direction, std::size_t Bytes, TimePoint Now);

  /// Records that \p Bytes were refused. Returns the time until as many are
  /// expected to be free, after those of callers that were refused before.
  Millis refuse(BodyDirection Direction, std::size_t Bytes, TimePoint Now);

  std::size_t held(BodyDirection Direction) const {
    return m_held[static_cast<std::size_t>(Direction)];
  }
  /// Returns the bytes held in all directions.
  std::size_t total() const;
  /// Returns whether the whole limit is in use.
  bool isFull() const { return total() >= m_policy.m_limitBytes; }
  /// Returns the bytes that bodies may fill up.
  std::size_t bodyLimit() const;
  std::uint64_t refusals(BodyDirection Direction) const {
    return m_refusals[static_cast<std::size_t>(Direction)];
  }
  /// Returns the bytes per millisecond that have become free of late.
  double freedPerMs(TimePoint Now) const;

  /// Returns whether bodies have been refused since memory was last ample.
  bool isShort() const { return m_isShort; }
  /// Returns the new isShort() if it has changed since the last call.
  std::optional<bool> takeTransition();

private:
  static constexpr std::size_t Directions = 3;

  /// Begins a new window if the current one has passed.
  void turnWindow(TimePoint Now);

  BodyMemoryPolicy m_policy;
  std::array<std::size_t, Directions> m_held{};
  std::array<std::uint64_t, Directions> m_refusals{};
  /// Bytes that refused callers will ask for again.
  std::size_t m_refusedBytes = 0;
  TimePoint m_windowStart{};
  std::size_t m_freed = 0;       ///< Since m_windowStart.
  std::size_t m_freedBefore = 0; ///< In the window before that.
  bool m_isShort = false;
  bool m_wasShort = false; ///< At the last takeTransition().
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_BODY_MEMORY_H
