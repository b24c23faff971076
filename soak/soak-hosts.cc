// The part of SoakSite that starts, stops and replaces host processes.

#include "platform/standin/wire-encode.h"
#include "soak-site.h"
#include "tamarackdrum/sleep.h"

#include <fstream>

namespace tamarackdrum::soak {

namespace asio = boost::asio;

namespace {

constexpr Millis ChildPollInterval{20}; ///< For the end of a process.
constexpr Millis UpgradeDelay{3000};    ///< Until the first host is replaced.
constexpr Millis UpgradePause{500};     ///< Between two hosts.

} // namespace

void SoakSite::startHost(std::size_t Index) {
  Host &Item = m_hosts[Index];
  const std::string &Name = Item.m_settings.m_host.m_name;
  const std::filesystem::path File = m_options.m_directory / (Name + ".json");
  Item.m_settings.m_isFirstStart = Item.m_incarnation == 0;
  std::ofstream(File) << platform::standin::encodeSettings(
      Item.m_settings, addressText(Item.m_storeProxy->address()));
  ++Item.m_incarnation;
  const bool IsPrevious =
      !m_options.m_previousProgram.empty() && !Item.m_isUpgraded;
  const std::string &Program =
      IsPrevious ? m_options.m_previousProgram : m_options.m_program;
  Item.m_child.emplace(
      std::vector<std::string>{Program, "--settings", File.string()},
      (m_options.m_directory / (Name + ".log")).string());
}

asio::awaitable<void> SoakSite::injectHostFault(FaultEvent Event) {
  Host &Item = m_hosts[Event.m_target];
  if (!Item.m_child)
    co_return;
  ++Item.m_faultCount;
  switch (Event.m_kind) {
  case FaultKind::HostKill:
    Item.m_child.reset();
    co_await sleepFor(Event.m_duration);
    startHost(Event.m_target);
    break;
  case FaultKind::HostStop:
    co_await stopHost(Event.m_target);
    startHost(Event.m_target);
    break;
  case FaultKind::HostPause:
    Item.m_child->signal(SIGSTOP);
    co_await sleepFor(Event.m_duration);
    Item.m_child->signal(SIGCONT);
    break;
  default:
    Item.m_child->signal(SIGHUP);
  }
  --Item.m_faultCount;
}

asio::awaitable<void> SoakSite::stopHost(std::size_t Index) {
  Host &Item = m_hosts[Index];
  Item.m_child->signal(SIGTERM);
  const TimePoint End = BootClock::now() + Item.m_settings.m_stopTimeout;
  while (!Item.m_child->hasEnded() && BootClock::now() < End)
    co_await sleepFor(ChildPollInterval);
  Item.m_child.reset();
}

asio::awaitable<void> SoakSite::upgradeHosts() {
  co_await sleepFor(UpgradeDelay);
  for (std::size_t I = 0; I < m_hosts.size(); ++I) {
    Host &Item = m_hosts[I];
    while (!Item.m_child || Item.m_faultCount > 0)
      co_await sleepFor(ChildPollInterval);
    const std::size_t Index = m_history.m_faults.size();
    m_history.m_faults.push_back(
        {FaultKind::HostStop, I, BootClock::now(), TimePoint::max()});
    Item.m_isBeingReplaced = true;
    if (!Item.m_child->hasEnded())
      ++m_replacedCount;
    co_await stopHost(I);
    Item.m_isUpgraded = true;
    startHost(I);
    Item.m_isBeingReplaced = false;
    m_history.m_faults[Index].m_to = BootClock::now();
    co_await sleepFor(UpgradePause);
  }
  m_isUpgradeDone = true;
}

} // namespace tamarackdrum::soak
