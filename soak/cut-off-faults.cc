#include "cut-off-faults.h"

#include "tamarackdrum/sleep.h"

#include <algorithm>
#include <array>
#include <spdlog/fmt/fmt.h>
#include <stdexcept>

namespace tamarackdrum::soak {

namespace asio = boost::asio;

namespace {

/// Third parts of the addresses of the links: one for each host.
constexpr std::size_t FirstThird = 100;
constexpr std::size_t MaxHosts = 140;
constexpr unsigned ServerThird = 251;

constexpr const char *Hang = "hang";
constexpr const char *Reset = "reset";
constexpr const char *RefuseNew = "refuse-new";

} // namespace

CutOffFaults::CutOffFaults(asio::io_context &Context, std::string Network,
                           const std::vector<std::string> &Zones,
                           const std::vector<Endpoint> &Servers,
                           std::uint64_t Seed, History &Recorded)
    : m_network(std::move(Network)), m_zones(Zones), m_random(Seed),
      m_history(Recorded) {
  if (Zones.size() > MaxHosts)
    throw std::invalid_argument("too many hosts for --cut-off");
  m_links.resize(Zones.size());
  for (std::size_t Host = 0; Host < Zones.size(); ++Host)
    for (std::size_t I = 0; I < Servers.size(); ++I) {
      const std::string Ip =
          fmt::format("{}.{}.{}", m_network, FirstThird + Host, 1 + I);
      m_links[Host].push_back(std::make_unique<FaultProxy>(
          Context, Endpoint(asio::ip::make_address(Ip), Servers[I].port()),
          Servers[I]));
    }
}

std::vector<std::string>
CutOffFaults::commandPrefix(std::size_t Host,
                            const std::string &Library) const {
  return {
      "/usr/bin/env", "LD_PRELOAD=" + Library,
      fmt::format("TAMARACK_SOAK_SERVERS={}.{}.0", m_network, ServerThird),
      fmt::format("TAMARACK_SOAK_LINKS={}.{}.0", m_network, FirstThird + Host)};
}

std::vector<std::size_t> CutOffFaults::drawHosts() {
  const std::size_t First = m_random() % m_zones.size();
  std::vector<std::size_t> Zone;
  for (std::size_t I = 0; I < m_zones.size(); ++I)
    if (m_zones[I] == m_zones[First])
      Zone.push_back(I);
  switch (m_random() % 3) {
  case 0:
    return {First};
  case 1: // Most of the zone.
    Zone.resize(std::max<std::size_t>(1, Zone.size() - 1));
    return Zone;
  default:
    return Zone;
  }
}

asio::awaitable<void> CutOffFaults::run() {
  constexpr std::uint64_t MaxPauseMs = 2000;
  constexpr Millis MinDuration{5000}; // Beyond the bound.
  constexpr std::uint64_t MaxMoreMs = 4000;
  constexpr std::array<const char *, 3> Kinds{Hang, Reset, RefuseNew};
  const auto Below = [this](std::uint64_t End) {
    return Millis(static_cast<std::int64_t>(m_random() % End));
  };
  while (true) {
    co_await sleepFor(Below(MaxPauseMs));
    const std::vector<std::size_t> Hosts = drawHosts();
    const std::string Kind = Kinds[m_random() % Kinds.size()];
    cut(Hosts, Kind);
    m_history.m_cuts.push_back({Hosts, Kind, BootClock::now()});
    co_await sleepFor(MinDuration + Below(MaxMoreMs));
    m_history.m_cuts.back().m_to = BootClock::now();
    restore(Hosts);
  }
}

void CutOffFaults::cut(const std::vector<std::size_t> &Hosts,
                       const std::string &Kind) {
  for (const std::size_t Host : Hosts)
    for (const std::unique_ptr<FaultProxy> &Link : m_links[Host]) {
      Link->setFault(Kind == Hang ? LinkFault::Hanging : LinkFault::Closed);
      if (Kind == Reset)
        Link->resetConnections();
    }
}

void CutOffFaults::restore(const std::vector<std::size_t> &Hosts) {
  for (const std::size_t Host : Hosts)
    for (const std::unique_ptr<FaultProxy> &Link : m_links[Host])
      Link->setFault(LinkFault::None);
}

bool CutOffFaults::isCutOff(std::size_t Host) const {
  if (m_history.m_cuts.empty() ||
      m_history.m_cuts.back().m_to != TimePoint::max())
    return false;
  const std::vector<std::size_t> &Hosts = m_history.m_cuts.back().m_hosts;
  return std::find(Hosts.begin(), Hosts.end(), Host) != Hosts.end();
}

} // namespace tamarackdrum::soak
