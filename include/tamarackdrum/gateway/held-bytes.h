/// \file
/// Owner of bytes in a BodyMemory.

#ifndef TAMARACKDRUM_GATEWAY_HELD_BYTES_H
#define TAMARACKDRUM_GATEWAY_HELD_BYTES_H

#include "tamarackdrum/gateway/body-memory.h"

#include <memory>
#include <utility>

namespace tamarackdrum::gateway {

/// Bytes that are given back when it is destroyed. It shares the account: the
/// frame of a coroutine may outlive the host that started it.
class HeldBytes {
public:
  HeldBytes() = default;
  HeldBytes(std::shared_ptr<BodyMemory> Memory, BodyDirection Direction)
      : m_memory(std::move(Memory)), m_direction(Direction) {}
  HeldBytes(HeldBytes &&Other) noexcept
      : m_memory(std::move(Other.m_memory)), m_direction(Other.m_direction),
        m_bytes(std::exchange(Other.m_bytes, 0)) {}
  HeldBytes &operator=(HeldBytes &&Other) noexcept {
    if (this == &Other)
      return *this;
    shrinkTo(0);
    m_memory = std::move(Other.m_memory);
    m_direction = Other.m_direction;
    m_bytes = std::exchange(Other.m_bytes, 0);
    return *this;
  }
  ~HeldBytes() { shrinkTo(0); }

  std::size_t bytes() const { return m_bytes; }

  /// Holds \p Bytes from now on if those that are added fit. Returns whether
  /// they do.
  bool tryGrowTo(std::size_t Bytes) {
    if (m_memory == nullptr || Bytes <= m_bytes)
      return true;
    if (!m_memory->tryTake(m_direction, Bytes - m_bytes))
      return false;
    m_bytes = Bytes;
    return true;
  }
  /// Holds at least \p Bytes from now on, whether or not they fit.
  void growTo(std::size_t Bytes) {
    if (m_memory == nullptr || Bytes <= m_bytes)
      return;
    m_memory->take(m_direction, Bytes - m_bytes);
    m_bytes = Bytes;
  }
  /// Holds at most \p Bytes from now on.
  void shrinkTo(std::size_t Bytes) {
    if (m_memory == nullptr || Bytes >= m_bytes)
      return;
    m_memory->giveBack(m_direction, m_bytes - Bytes, BootClock::now());
    m_bytes = Bytes;
  }

private:
  std::shared_ptr<BodyMemory> m_memory; ///< Null: nothing is counted.
  BodyDirection m_direction = BodyDirection::Request;
  std::size_t m_bytes = 0;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_HELD_BYTES_H
