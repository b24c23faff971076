// The part of GatewayHost that provides the metrics and logs its stalls.

#include "tamarackdrum/gateway/gateway-host.h"

#include <algorithm>
#include <spdlog/fmt/fmt.h>

namespace tamarackdrum::gateway {

void GatewayHost::setLimitGauges() {
  std::map<std::string, double> Limits;
  std::map<std::string, double> Ages;
  std::map<std::string, double> HeldBack;
  for (const auto &[Service, Item] : m_admission.dispatchers().all())
    for (const KnownLimit &Known : Item->limits(BootClock::now())) {
      const std::string Labels =
          fmt::format("service=\"{}\",server=\"{}\"", Service, Known.m_server);
      Limits[Labels] = Known.m_perSecond;
      Ages[Labels] = static_cast<double>(Known.m_age.count());
      HeldBack[Labels] = static_cast<double>(Known.m_heldBack);
    }
  m_metrics.setGauges("server_limit_per_second", std::move(Limits));
  m_metrics.setGauges("server_limit_age_ms", std::move(Ages));
  m_metrics.setGauges("server_limit_held_back", std::move(HeldBack));
}

void GatewayHost::noteStall(Millis Late, double CpuMs) {
  if (Late < m_policy.m_minLoggedStall)
    return;
  m_metrics.count("stalls");
  std::size_t Coordinated = 0;
  std::size_t Waiting = 0;
  for (const auto &[Service, Host] : m_admission.coordinators())
    Coordinated += Host == m_hosts.self().m_name ? 1 : 0;
  for (const auto &[Service, Item] : m_admission.dispatchers().all())
    Waiting += Item->load().m_waiting;
  const bool IsGranter =
      std::any_of(m_granterRunners.begin(), m_granterRunners.end(),
                  [](const auto &Item) { return Item.second->isGranter(); });
  m_log.write("host-stalled", {{"late_ms", Late},
                               {"cpu_ms", CpuMs},
                               {"coordinated", Coordinated},
                               {"granter", IsGranter},
                               {"waiting", Waiting}});
}

std::string GatewayHost::metricsText() {
  m_metrics.setGauge("active_requests",
                     static_cast<double>(m_edge.activeRequests()));
  m_metrics.setGauge("client_connections",
                     static_cast<double>(m_edge.connectionCount()));
  m_metrics.setGauge("known_servers", static_cast<double>(servers().size()));
  m_metrics.setGauge("evacuated_zones",
                     static_cast<double>(m_feed.evacuatedZones().size()));
  m_metrics.setGauge("cut_off", m_contacts.isCutOff() ? 1 : 0);
  m_metrics.setGauge("store_lost_ms",
                     static_cast<double>(m_feed.storeLostFor().count()));
  m_metrics.setGauge("upstream_connections_opened",
                     static_cast<double>(m_pool.openedCount()));
  m_metrics.setGauge("log_lines_dropped",
                     static_cast<double>(m_log.droppedLines()));
  m_metrics.setGauge("configuration_version",
                     static_cast<double>(m_feed.configurationVersion()));
  for (const auto &[Service, Item] : m_admission.dispatchers().all()) {
    const std::string Labels = "{service=\"" + Service + "\"}";
    const DispatchLoad Load = Item->load();
    m_metrics.setGauge("waiting" + Labels, static_cast<double>(Load.m_waiting));
    m_metrics.setGauge("queue_looks" + Labels,
                       static_cast<double>(Load.m_looks));
    m_metrics.setGauge("cold_servers" + Labels,
                       static_cast<double>(Load.m_coldServers));
    m_metrics.setGauge("slow_servers" + Labels,
                       static_cast<double>(Load.m_slowServers));
  }
  std::map<std::string, double> Returns;
  for (const auto &[Service, Item] : m_admission.dispatchers().all()) {
    const ReturnCounts &Counts = Item->returnCounts();
    for (const auto &[Result, Count] :
         std::map<std::string, std::uint64_t>{{"given", Counts.m_given},
                                              {"taken", Counts.m_taken},
                                              {"lapsed", Counts.m_lapsed},
                                              {"none", Counts.m_none}})
      Returns["service=\"" + Service + "\",result=\"" + Result + "\""] =
          static_cast<double>(Count);
  }
  m_metrics.setGauges("return_places", std::move(Returns));
  setLimitGauges();
  return m_metrics.toText();
}

} // namespace tamarackdrum::gateway
