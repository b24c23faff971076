#include "tamarackdrum/gateway/gateway-metrics.h"

#include <iterator>
#include <spdlog/fmt/fmt.h>

namespace tamarackdrum::gateway {
namespace {

constexpr const char *Prefix = "tamarack_gateway_";

/// Edges of the histogram bins, in milliseconds. Each is at most about twice
/// the one before.
const std::vector<double> BinEdges = {0,   5,   10,  20,  40,   80,   150,
                                      300, 450, 600, 800, 1200, 2500, 5000};

} // namespace

GatewayMetrics::GatewayMetrics() = default;

void GatewayMetrics::count(const std::string &Name, const std::string &Labels,
                           std::uint64_t Added) {
  m_counters[Name][Labels] += Added;
}

void GatewayMetrics::setGauge(const std::string &Name, double Value) {
  m_gauges[Name] = Value;
}

void GatewayMetrics::setGauges(const std::string &Name,
                               std::map<std::string, double> ByLabels) {
  m_labelledGauges[Name] = std::move(ByLabels);
}

GatewayMetrics::TimeHistogram &
GatewayMetrics::histogramOf(HistogramByService &Histograms,
                            const std::string &Service) const {
  const auto Found = Histograms.find(Service);
  if (Found != Histograms.end())
    return Found->second;
  return Histograms
      .emplace(
          Service,
          TimeHistogram{boost::histogram::make_histogram(Axis(BinEdges)), 0})
      .first->second;
}

void GatewayMetrics::recordLatency(const std::string &Service, Millis Time) {
  TimeHistogram &Item = histogramOf(m_latency, Service);
  Item.m_bins(static_cast<double>(Time.count()));
  Item.m_sum += static_cast<double>(Time.count());
}

void GatewayMetrics::recordWait(const std::string &Service, Millis Time) {
  TimeHistogram &Item = histogramOf(m_slotWait, Service);
  Item.m_bins(static_cast<double>(Time.count()));
  Item.m_sum += static_cast<double>(Time.count());
}

void GatewayMetrics::countPeerMessage(std::string_view Kind, bool IsOtherZone,
                                      std::size_t Bytes) {
  Traffic &Item = m_peerMessages[{Kind, IsOtherZone}];
  ++Item.m_count;
  Item.m_bytes += Bytes;
}

void GatewayMetrics::countServerBytes(const std::string &Service,
                                      bool IsOtherZone, std::size_t Bytes) {
  Traffic &Item = m_serverExchanges[{Service, IsOtherZone}];
  ++Item.m_count;
  Item.m_bytes += Bytes;
}

std::string GatewayMetrics::toText() const {
  std::string Out;
  const auto Add = std::back_inserter(Out);
  for (const auto &[Name, ByLabels] : m_counters) {
    fmt::format_to(Add, "# TYPE {}{} counter\n", Prefix, Name);
    for (const auto &[Labels, Value] : ByLabels)
      fmt::format_to(Add, "{}{}{}{}{} {}\n", Prefix, Name,
                     Labels.empty() ? "" : "{", Labels,
                     Labels.empty() ? "" : "}", Value);
  }
  const auto AddTraffic = [&](const char *Name, const char *Label,
                              const auto &Items) {
    for (const char *Quantity : {"count", "bytes"}) {
      fmt::format_to(Add, "# TYPE {}{}_{} counter\n", Prefix, Name, Quantity);
      for (const auto &[Key, Item] : Items)
        fmt::format_to(Add, "{}{}_{}{{{}=\"{}\",zone=\"{}\"}} {}\n", Prefix,
                       Name, Quantity, Label, Key.first,
                       Key.second ? "other" : "own",
                       *Quantity == 'c' ? Item.m_count : Item.m_bytes);
    }
  };
  AddTraffic("peer_messages", "message", m_peerMessages);
  AddTraffic("server_exchanges", "service", m_serverExchanges);
  for (const auto &[Name, Value] : m_gauges)
    fmt::format_to(Add, "# TYPE {0}{1} gauge\n{0}{1} {2}\n", Prefix, Name,
                   Value);
  for (const auto &[Name, ByLabels] : m_labelledGauges) {
    fmt::format_to(Add, "# TYPE {}{} gauge\n", Prefix, Name);
    for (const auto &[Labels, Value] : ByLabels)
      fmt::format_to(Add, "{}{}{{{}}} {}\n", Prefix, Name, Labels, Value);
  }
  const auto AddHistograms = [&](const char *Name,
                                 const HistogramByService &Items) {
    fmt::format_to(Add, "# TYPE {}{} histogram\n", Prefix, Name);
    for (const auto &[Service, Item] : Items) {
      double Sum = Item.m_bins.at(-1);
      for (int I = 0; I < Item.m_bins.axis().size(); ++I) {
        Sum += Item.m_bins.at(I);
        fmt::format_to(Add, "{}{}_bucket{{service=\"{}\",le=\"{}\"}} {}\n",
                       Prefix, Name, Service, Item.m_bins.axis().bin(I).upper(),
                       Sum);
      }
      Sum += Item.m_bins.at(Item.m_bins.axis().size());
      fmt::format_to(Add,
                     "{0}{1}_bucket{{service=\"{2}\",le=\"+Inf\"}} {3}\n"
                     "{0}{1}_sum{{service=\"{2}\"}} {4}\n"
                     "{0}{1}_count{{service=\"{2}\"}} {3}\n",
                     Prefix, Name, Service, Sum, Item.m_sum);
    }
  };
  AddHistograms("request_ms", m_latency);
  AddHistograms("slot_wait_ms", m_slotWait);
  return Out;
}

} // namespace tamarackdrum::gateway
