/// \file
/// Counters and latency histograms of the gateway, in the Prometheus text
/// format.

#ifndef TAMARACKDRUM_GATEWAY_GATEWAY_METRICS_H
#define TAMARACKDRUM_GATEWAY_GATEWAY_METRICS_H

#include "tamarackdrum/core.h"

#include <boost/histogram.hpp>
#include <map>
#include <vector>

namespace tamarackdrum::gateway {

class GatewayMetrics {
public:
  GatewayMetrics();

  /// Adds to a counter; \p Labels as text, e.g. `service="cart",result="ok"`.
  void count(const std::string &Name, const std::string &Labels = "",
             std::uint64_t Added = 1);
  void setGauge(const std::string &Name, double Value);

  /// Records the time of a request at this host.
  void recordLatency(const std::string &Service, Millis Time);
  /// Records how long a request waited for a slot.
  void recordWait(const std::string &Service, Millis Time);

  std::string toText() const;

private:
  using Axis = boost::histogram::axis::variable<double>;
  using Histogram =
      decltype(boost::histogram::make_histogram(std::declval<Axis>()));
  struct Timed {
    Histogram m_bins;
    double m_sum = 0;
  };
  using Series = std::map<std::string, Timed>;

  Timed &timed(Series &Where, const std::string &Service) const;

  std::map<std::string, std::map<std::string, std::uint64_t>> m_counters;
  std::map<std::string, double> m_gauges;
  Series m_latency;
  Series m_wait;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_GATEWAY_METRICS_H
