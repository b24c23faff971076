/// \file
/// Running estimate of durations and of their spread.

#ifndef TAMARACKDRUM_GATEWAY_DURATION_ESTIMATE_H
#define TAMARACKDRUM_GATEWAY_DURATION_ESTIMATE_H

#include "tamarackdrum/core.h"

#include <cmath>

namespace tamarackdrum::gateway {

/// Smoothed mean and mean deviation of durations, with the weights that
/// RFC 6298 gives for round-trip times.
struct DurationEstimate {
  double m_meanMs = 0;
  double m_deviationMs = 0;
  bool m_hasSamples = false;

  bool operator==(const DurationEstimate &) const = default;
};

/// Returns \p Before with \p Sample taken into account.
inline DurationEstimate withSample(const DurationEstimate &Before,
                                   Millis Sample) {
  constexpr double MeanWeight = 1.0 / 8;
  constexpr double DeviationWeight = 1.0 / 4;
  const double Ms = static_cast<double>(Sample.count());
  if (!Before.m_hasSamples)
    return {Ms, Ms / 2, true};
  const double Difference = std::abs(Ms - Before.m_meanMs);
  return {Before.m_meanMs + MeanWeight * (Ms - Before.m_meanMs),
          Before.m_deviationMs +
              DeviationWeight * (Difference - Before.m_deviationMs),
          true};
}

/// Returns the mean plus \p Deviations mean deviations.
inline Millis upperBound(const DurationEstimate &Known, double Deviations) {
  return Millis(std::lround(Known.m_meanMs + Deviations * Known.m_deviationMs));
}

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_DURATION_ESTIMATE_H
