/// \file
/// Counters and latency histograms of the gateway, in the Prometheus text
/// format.

#ifndef TAMARACKDRUM_GATEWAY_GATEWAY_METRICS_H
#define TAMARACKDRUM_GATEWAY_GATEWAY_METRICS_H

#include "tamarackdrum/core.h"

#include <boost/histogram.hpp>
#include <map>
#include <string_view>
#include <vector>

namespace tamarackdrum::gateway {

/// Collects the metrics of one gateway process.
class GatewayMetrics {
public:
  GatewayMetrics();

  /// Adds \p Added to a counter. \p Labels is in the text format, e.g.
  /// `service="cart",result="ok"`.
  void count(const std::string &Name, const std::string &Labels = "",
             std::uint64_t Added = 1);
  void setGauge(const std::string &Name, double Value);
  /// Replaces all values of a gauge that has one for each of a set of labels.
  void setGauges(const std::string &Name,
                 std::map<std::string, double> ByLabels);

  /// Records the time from the arrival of a request to its answer.
  void recordLatency(const std::string &Service, Millis Time);
  /// Records how long a request waited for a slot.
  void recordWait(const std::string &Service, Millis Time);

  /// Counts a message of \p Kind, which must be a string literal, to a peer in
  /// this zone or in another one.
  void countPeerMessage(std::string_view Kind, bool IsOtherZone,
                        std::size_t Bytes);
  /// Counts one exchange of \p Bytes with a backend server in this zone or in
  /// another one.
  void countServerBytes(const std::string &Service, bool IsOtherZone,
                        std::size_t Bytes);

  /// Returns all metrics in the Prometheus text format.
  std::string toText() const;

private:
  struct Traffic {
    std::uint64_t m_count = 0;
    std::uint64_t m_bytes = 0;
  };
  template <typename Name>
  using TrafficByZone = std::map<std::pair<Name, bool>, Traffic>;

  using Axis = boost::histogram::axis::variable<double>;
  using Histogram =
      decltype(boost::histogram::make_histogram(std::declval<Axis>()));
  struct TimeHistogram {
    Histogram m_bins;
    double m_sum = 0;
  };
  using HistogramByService = std::map<std::string, TimeHistogram>;

  /// Returns the histogram of \p Service in \p Histograms, adding it if it is
  /// missing.
  TimeHistogram &histogramOf(HistogramByService &Histograms,
                             const std::string &Service) const;

  std::map<std::string, std::map<std::string, std::uint64_t>> m_counters;
  std::map<std::string, double> m_gauges;
  std::map<std::string, std::map<std::string, double>> m_labelledGauges;
  TrafficByZone<std::string_view> m_peerMessages;
  TrafficByZone<std::string> m_serverExchanges;
  HistogramByService m_latency;
  HistogramByService m_slotWait;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_GATEWAY_METRICS_H
