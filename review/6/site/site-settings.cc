#include "site-settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace tamarackdrum::review {

namespace asio = boost::asio;
using Json = nlohmann::json;

SiteNetwork chooseNetwork(std::mt19937_64 &Random) {
  SiteNetwork Out;
  Out.m_ip = fmt::format("127.{}.{}.{}", 10 + Random() % 200,
                         1 + Random() % 250, 1 + Random() % 250);
  asio::io_context Context;
  // All stay open until the last one is chosen, so that they differ.
  std::vector<asio::ip::tcp::acceptor> Taken;
  const auto TakePort = [&] {
    Taken.emplace_back(
        Context, asio::ip::tcp::endpoint(asio::ip::make_address(Out.m_ip), 0));
    return Taken.back().local_endpoint().port();
  };
  Out.m_clientPort = TakePort();
  Out.m_readyPort = TakePort();
  Out.m_controlPort = TakePort();
  Out.m_peerPort = TakePort();
  return Out;
}

std::string settingsText(const SiteNetwork &Network,
                         const std::string &StoreAddress) {
  const auto Address = [&Network](std::uint16_t Port) {
    return fmt::format("{}:{}", Network.m_ip, Port);
  };
  const Json Bounds = {
      "seed_lag_s=3",       "reuse_after_s=2",       "contact_ms=3000",
      "ack_ms=4000",        "catch_up_s=4",          "drain_ms=2000",
      "grace_s=6",          "loss_slack_ms=200",     "config_apply_ms=2000",
      "skew_max_ms=5000",   "rollback_slack_ms=250", "budget_ratio=0.2",
      "budget_window_s=10", "budget_slack=56",       "recover_s=15",
      "hold_max_ms=10000",  "thaw_slack_ms=300"};
  return Json{
      {"node", "front-zone-0-1"},
      {"role", "gateway"},
      {"class", "front"},
      {"serves", {"front", "control"}},
      {"ip", Network.m_ip},
      {"zone", "zone-0"},
      {"region", "here"},
      {"zones", {{"zone-0", "here"}, {"zone-1", "here"}, {"zone-2", "here"}}},
      {"listen",
       {{"front", Address(Network.m_clientPort)},
        {"ready", Address(Network.m_readyPort)},
        {"control", Address(Network.m_controlPort)}}},
      {"internal_ports", {Network.m_peerPort, Network.m_peerPort}},
      {"seeds", {Address(Network.m_controlPort)}},
      {"bootstrap", true},
      {"limits",
       {{"cpu_share", 0.2},
        {"cores", 1},
        {"memory_mb", 260},
        {"max_fds", 4100},
        {"link_mbps", 1000.0},
        {"disk_mb", 0}}},
      {"data_dir", nullptr},
      {"discovery", "platform"},
      {"heartbeat_ms", 870},
      {"bounds", Bounds},
      {"grants", "rpc"},
      {"provider",
       {{"address", StoreAddress},
        {"form", "table"},
        {"writes_per_s", 400},
        {"reads_per_s", 2000},
        {"tx_ms", 3.0},
        {"row_bytes", 65536},
        {"history_s", 20}}}}
      .dump();
}

} // namespace tamarackdrum::review
