/// \file
/// Bound on further dispatches of a class, so that retries and hedges cannot
/// amplify an overload.

#ifndef TAMARACKDRUM_RETRY_BUDGET_H
#define TAMARACKDRUM_RETRY_BUDGET_H

#include <atomic>

namespace tamarackdrum {

/// Token bucket that each request fills by a tenth of a token and each
/// further dispatch empties by one. It starts empty, so that dispatches never
/// exceed 1.1 times the requests. Thread-safe.
class RetryBudget {
public:
  /// Notes the first dispatch of a request.
  void noteRequest() noexcept;

  /// Takes the token of one further dispatch, or returns false.
  bool take() noexcept;

  /// Returns a token that was taken and not used.
  void giveBack() noexcept;

private:
  static constexpr int TokenParts = 10;
  static constexpr int MaxParts = 100 * TokenParts;

  std::atomic<int> m_parts{0};
};

} // namespace tamarackdrum

#endif // TAMARACKDRUM_RETRY_BUDGET_H
