#include "tamarackdrum/retry-budget.h"

namespace tamarackdrum {

void RetryBudget::noteRequest() noexcept {
  int Parts = m_parts.load(std::memory_order_relaxed);
  while (Parts < MaxParts && !m_parts.compare_exchange_weak(
                                 Parts, Parts + 1, std::memory_order_relaxed))
    continue;
}

void RetryBudget::giveBack() noexcept {
  m_parts.fetch_add(TokenParts, std::memory_order_relaxed);
}

bool RetryBudget::take() noexcept {
  int Parts = m_parts.load(std::memory_order_relaxed);
  while (Parts >= TokenParts)
    if (m_parts.compare_exchange_weak(Parts, Parts - TokenParts,
                                      std::memory_order_relaxed))
      return true;
  return false;
}

} // namespace tamarackdrum
