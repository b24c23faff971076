/// \file
/// A site of gateway processes on loopback addresses. The store and the backend
/// servers are stand-ins in this process.

#ifndef TAMARACKDRUM_SOAK_SITE_H
#define TAMARACKDRUM_SOAK_SITE_H

#include "child-process.h"
#include "fault-proxy.h"
#include "platform/standin/row-store.h"
#include "soak-history.h"
#include "tamarackdrum/gateway/ports.h"

#include <filesystem>
#include <random>
#include <set>

namespace tamarackdrum::soak {

struct SiteOptions {
  std::string m_program; ///< Path of tamarack-gateway.
  /// Path of an earlier version. All hosts start with it, and are stopped and
  /// started with m_program one after the other. Empty: there is none.
  std::string m_previousProgram;
  std::filesystem::path m_directory; ///< For settings and logs of the hosts.
  std::string m_network = "127.77";  ///< First two parts of all addresses.
  std::size_t m_hostCount = 6;
  std::size_t m_zoneCount = 3;
  bool m_namesLimits = false; ///< Servers name rate limits at times.
  bool m_evacuates = false;   ///< The operator evacuates zones, one at a time.
};

/// Services of the site.
inline constexpr const char *PlainService = "plain";
inline constexpr const char *ResettingService = "resetting";
inline constexpr const char *KeyedService = "keyed";
/// Host header of all routes.
inline constexpr const char *HostName = "soak.example";

/// Returns \p Address as IP:PORT.
std::string addressText(const Endpoint &Address);

/// Injects faults and records events in a History. Runs on one thread.
class SoakSite {
public:
  SoakSite(boost::asio::io_context &Context, SiteOptions Options,
           std::uint64_t Seed, History &Recorded);
  ~SoakSite();
  SoakSite(const SoakSite &) = delete;
  SoakSite &operator=(const SoakSite &) = delete;

  /// Starts servers and hosts, and keeps the servers' registry entries up to
  /// date until the context ends.
  void start();
  /// Injects one fault and returns when the fault has ended.
  boost::asio::awaitable<void> injectFault(FaultEvent Event);

  std::size_t hostCount() const { return m_hosts.size(); }
  /// Returns whether no host is left to be replaced.
  bool isUpgradeDone() const {
    return m_options.m_previousProgram.empty() || m_isUpgradeDone;
  }
  /// Returns the number of running processes of m_previousProgram that were
  /// replaced.
  std::size_t replacedCount() const { return m_replacedCount; }
  std::size_t serverCount() const { return m_backends.size(); }
  Endpoint clientEndpoint(std::size_t Host) const;
  Endpoint readyEndpoint(std::size_t Host) const;
  bool isRunning(std::size_t Host) const;
  unsigned incarnationOf(std::size_t Host) const {
    return m_hosts[Host].m_incarnation;
  }
  std::uint64_t newestVersion() const { return m_config.m_version; }

private:
  struct Host {
    gateway::GatewaySettings m_settings;
    std::unique_ptr<FaultProxy> m_storeProxy;
    std::optional<Child> m_child;
    unsigned m_incarnation = 0;
    unsigned m_faultCount = 0;      ///< Faults of the schedule in progress.
    bool m_isUpgraded = false;      ///< Runs m_program from its next start on.
    bool m_isBeingReplaced = false; ///< Gets no faults of the schedule.
  };
  /// An address behind a proxy, used by one server at a time.
  struct Backend {
    std::string m_service;
    std::string m_zone;
    std::unique_ptr<FaultProxy> m_proxy;
    std::unique_ptr<platform::standin::KeyServer> m_server;
    std::uint64_t m_reportCount = 0;
    unsigned m_incarnation = 0;
    bool m_isDraining = false;
  };

  void addHost(std::size_t Index);
  void addBackend(const char *Service);
  void startHost(std::size_t Index);
  void startServer(std::size_t Index, bool KeepsId);
  /// Writes the registry entry of a running server.
  void report(std::size_t Index);
  void writeConfiguration();
  boost::asio::awaitable<void> reportPeriodically();
  boost::asio::awaitable<void> injectHostFault(FaultEvent Event);
  boost::asio::awaitable<void> injectServerFault(FaultEvent Event);
  boost::asio::awaitable<void> injectStoreFault(FaultEvent Event);
  /// Restores the store after \p Duration to its state at the call.
  boost::asio::awaitable<void> rollBackStore(Millis Duration);
  /// Lets servers name limits, one or most of a service at a time.
  boost::asio::awaitable<void> nameLimits();
  void nameLimit(std::size_t Index);
  /// Evacuates one zone after the other.
  boost::asio::awaitable<void> evacuateZones();
  void beginEvacuation();
  void endEvacuation();
  /// Writes the operator's rows again after the store has been restored.
  void rewriteEvacuations();
  /// Removes a server from the registry.
  void removeFromRegistry(const std::string &Id);
  boost::asio::awaitable<void> injectLinkFault(FaultProxy &Link,
                                               FaultEvent Event);
  boost::asio::awaitable<void> stopHost(std::size_t Index);
  /// Replaces the processes of m_previousProgram.
  boost::asio::awaitable<void> upgradeHosts();
  /// Lets a server leave and starts another one at its address.
  boost::asio::awaitable<void> replaceServer(std::size_t Index);
  std::string addressOf(unsigned Third, std::size_t Fourth) const;

  boost::asio::io_context &m_context;
  const SiteOptions m_options;
  std::mt19937_64 m_random;
  std::mt19937_64 m_limitRandom; ///< Apart, so that seeds keep their faults.
  std::mt19937_64 m_evacuationRandom; ///< Apart, too.
  History &m_history;
  platform::standin::RowStore m_store;
  gateway::Configuration m_config;
  std::vector<Host> m_hosts;
  std::vector<Backend> m_backends;
  std::set<std::string> m_removedIds; ///< Servers removed from the registry.
  std::string m_evacuatedZone;        ///< Empty: none.
  std::size_t m_replacedCount = 0;
  bool m_isUpgradeDone = false;
};

} // namespace tamarackdrum::soak

#endif // TAMARACKDRUM_SOAK_SITE_H
