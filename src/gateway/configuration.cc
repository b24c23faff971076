#include "tamarackdrum/gateway/configuration.h"

#include <algorithm>
#include <boost/algorithm/string/case_conv.hpp>

namespace tamarackdrum::gateway {

RouteTable::RouteTable(Configuration Config) : m_config(std::move(Config)) {
  for (const Route &Item : m_config.m_routes) {
    m_hosts[Item.m_host][Item.m_prefix] = &Item;
    if (Item.m_parts.size() > 1)
      m_credit[&Item].assign(Item.m_parts.size(), 0.0);
  }
}

const Route *RouteTable::match(std::string_view Host,
                               std::string_view Target) const {
  const std::string Name = boost::algorithm::to_lower_copy(
      std::string(Host.substr(0, Host.find(':'))));
  const auto Found = m_hosts.find(Name);
  if (Found == m_hosts.end())
    return nullptr;
  std::string Path(Target.substr(0, Target.find_first_of("?#")));
  while (true) {
    const std::size_t Slash = Path.rfind('/');
    if (Slash == std::string::npos)
      return nullptr;
    Path.resize(Slash + 1);
    const auto Item = Found->second.find(Path);
    if (Item != Found->second.end())
      return Item->second;
    Path.resize(Slash);
  }
}

const std::string &RouteTable::nextService(const Route &Matched) {
  if (Matched.m_parts.size() == 1)
    return Matched.m_parts.front().m_service;
  std::vector<double> &Credit = m_credit[&Matched];
  double Total = 0;
  for (std::size_t I = 0; I < Credit.size(); ++I) {
    Credit[I] += Matched.m_parts[I].m_weight;
    Total += Matched.m_parts[I].m_weight;
  }
  const auto Best = std::max_element(Credit.begin(), Credit.end());
  *Best -= Total;
  return Matched.m_parts[Best - Credit.begin()].m_service;
}

const Service *RouteTable::findService(const std::string &Name) const {
  const auto Found = m_config.m_services.find(Name);
  return Found == m_config.m_services.end() ? nullptr : &Found->second;
}

} // namespace tamarackdrum::gateway
