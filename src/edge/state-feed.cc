#include "tamarackdrum/gateway/state-feed.h"

#include "tamarackdrum/error.h"
#include "tamarackdrum/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <random>

namespace tamarackdrum::gateway {
namespace {

namespace asio = boost::asio;

/// Changes of more servers than this are logged as a count only.
constexpr std::size_t MaxLoggedServers = 20;
/// Processor share, in percent, up to which hosts wait longest at their start.
constexpr unsigned SmallCpuShare = 10;
/// Least time that the settings allow for a change to be in force.
constexpr Millis MinBound{2000};

std::minstd_rand &randomEngine() {
  static std::minstd_rand Engine{std::random_device{}()};
  return Engine;
}

/// Returns a random time from \p First to \p Last.
Millis between(Millis First, Millis Last) {
  std::uniform_int_distribution<std::int64_t> Spread(First.count(),
                                                     Last.count());
  return Millis(Spread(randomEngine()));
}

/// Returns \p Time changed at random by up to 20%, so that hosts do not act in
/// step.
Millis jittered(Millis Time) {
  return between(Time - Time / 5, Time + Time / 5);
}

/// Returns how long a process that starts waits for its peers' state before it
/// reads the store: no time for a seed host, or if there are no seed hosts.
Millis startDelay(const FeedPolicy &Policy, const GatewaySettings &Settings) {
  bool HasOthers = false;
  for (const std::string &Ip : Settings.m_seedIps) {
    if (Ip == Settings.m_host.m_ip)
      return Millis(0);
    HasOthers = true;
  }
  if (!HasOthers)
    return Millis(0);
  const Millis SmallHostDelay =
      between(Policy.m_minStartDelay, Policy.m_maxStartDelay);
  const unsigned CpuShare = std::max(SmallCpuShare, Settings.m_host.m_cpuShare);
  const Millis Delay =
      SmallHostDelay * SmallCpuShare * SmallCpuShare / (CpuShare * CpuShare);
  return Settings.m_isFirstStart ? Delay + Policy.m_siteStartDelay : Delay;
}

std::uint32_t ageMs(TimePoint Since, TimePoint Now) {
  return static_cast<std::uint32_t>(std::min<std::int64_t>(
      std::chrono::duration_cast<Millis>(Now - Since).count(), INT32_MAX));
}

} // namespace

StateFeed::StateFeed(asio::any_io_executor Executor, FeedPolicy Policy,
                     const GatewaySettings &Settings, GatewayStore &Store,
                     Roster &Hosts, EventLog &Log, GatewayMetrics &Metrics,
                     FeedEvents Events)
    : m_executor(std::move(Executor)), m_policy(Policy), m_settings(Settings),
      m_store(Store), m_hosts(Hosts), m_log(Log), m_metrics(Metrics),
      m_events(std::move(Events)), m_storeHealth(Policy.m_maxSuccessGap),
      m_directory(Policy.m_directory),
      m_listings(Settings.m_host.m_processStartMs),
      m_storeReadsFrom(BootClock::now() + startDelay(Policy, Settings)) {}

void StateFeed::start() {
  asio::co_spawn(m_executor, requestStateFromPeers(), asio::detached);
  asio::co_spawn(m_executor, readConfigurationLoop(), asio::detached);
  asio::co_spawn(m_executor, readServersLoop(), asio::detached);
  asio::co_spawn(m_executor, hostsLoop(), asio::detached);
}

std::uint64_t StateFeed::configurationVersion() const {
  return m_routes == nullptr ? 0 : m_routes->configuration().m_version;
}

bool StateFeed::hasState() const {
  return m_routes != nullptr && m_directory.isLoaded();
}

Millis StateFeed::storeLostFor() const {
  return m_storeHealth.lostFor(BootClock::now());
}

void StateFeed::recordStoreCall(bool HasSucceeded, TimePoint SentAt,
                                std::string_view What,
                                std::string_view Reason) {
  const Millis LostFor = m_storeHealth.lostFor(BootClock::now());
  const bool HasChanged = m_storeHealth.recordCall(HasSucceeded, SentAt);
  if (!HasSucceeded)
    m_metrics.count("store_failures",
                    std::string("read=\"").append(What).append("\""));
  if (HasChanged && HasSucceeded)
    m_log.write("store-back", {{"read", What}, {"lost_ms", LostFor}});
  else if (HasChanged)
    m_log.write("store-lost",
                {{"read", What},
                 {"reason", Reason},
                 {"last_good_ms", m_storeHealth.lostFor(BootClock::now())}});
}

std::string StateFeed::currentReader(TimePoint Now) const {
  const FeedHostState Self{m_storeHealth.isLost(), m_routes != nullptr};
  return selectReader(m_hosts, Self, Now);
}

bool StateFeed::isReader() const {
  return currentReader(BootClock::now()) == m_hosts.self().m_name;
}

void StateFeed::updateSource() {
  const TimePoint Now = BootClock::now();
  const std::string Reader = currentReader(Now);
  const FeedSource Next =
      selectFeedSource(m_hosts, Reader, m_policy.m_tree, Now);
  const FeedSource Old = std::exchange(m_source, Next);
  if (Old.m_host == Next.m_host) {
    // The first message on a reopened link says that this host follows.
    if (!Next.m_host.empty())
      m_network->ensureLink(Next.m_host);
    return;
  }
  m_log.write("feed-source", {{"is", Next.m_host},
                              {"relay", Next.m_isRelay},
                              {"reader", Reader},
                              {"was", Old.m_host}});
  if (m_network->hasLink(Old.m_host))
    m_network->send(Old.m_host, FollowMessage{false});
  if (m_network->hasLink(Next.m_host))
    m_network->send(Next.m_host, FollowMessage{true});
  else if (!Next.m_host.empty())
    m_network->ensureLink(Next.m_host);
}

Millis StateFeed::silenceLimit(Millis OfReader, Millis Bound) const {
  if (!m_source.m_isRelay || Bound <= MinBound)
    return OfReader;
  const double Extra = static_cast<double>((Bound - MinBound).count()) *
                       m_policy.m_relayDelayShare;
  return OfReader + Millis(static_cast<std::int64_t>(Extra));
}

void StateFeed::tick() {
  updateSource();
  applyServers(m_directory.removeExpired(BootClock::now()), false);
}

asio::awaitable<void> StateFeed::waitForPeers() {
  while (!hasState() && BootClock::now() < m_storeReadsFrom)
    co_await sleepFor(m_policy.m_startPollInterval);
}

void StateFeed::sendHeartbeatsToSeeds() {
  for (const std::string &Ip : m_settings.m_seedIps)
    if (Ip != m_hosts.self().m_ip)
      m_network->sendHeartbeat(Ip);
}

asio::awaitable<void> StateFeed::requestStateFromPeers() {
  while (!hasState()) {
    sendHeartbeatsToSeeds();
    co_await sleepFor(m_policy.m_stateRequestInterval);
    // A source sends its state unasked. There is none if no other host can
    // read the store.
    if (hasState() || !m_source.m_host.empty())
      continue;
    m_network->sendToCandidates(StateRequest{});
  }
}

asio::awaitable<void> StateFeed::readConfigurationLoop() {
  co_await waitForPeers();
  ReadBackoff Backoff(m_policy.m_firstBackoff, m_policy.m_maxBackoff);
  while (true) {
    const TimePoint StartedAt = BootClock::now();
    const Millis Limit = silenceLimit(
        m_policy.m_maxConfigurationAge,
        std::min(m_settings.m_applyBound, m_settings.m_evacuationBound));
    if (!isReader() && StartedAt - m_configurationCurrentAt < Limit) {
      co_await sleepFor(m_policy.m_pollInterval);
      continue;
    }
    const Result<DecodedConfiguration> Read =
        co_await m_store.awaitConfiguration(m_policy.m_configurationWait);
    const bool HasAnswered = Read || Read.error() == TableErrc::Conflict;
    recordStoreCall(HasAnswered, StartedAt, "configuration",
                    HasAnswered ? "" : Read.error().message());
    if (HasAnswered)
      m_configurationCurrentAt = BootClock::now();
    // Routes must not be used before the evacuations of the same read.
    if (HasAnswered)
      applyEvacuations(m_store.evacuations(), "store");
    if (Read)
      applyConfiguration(Read.value(), "store");
    if (HasAnswered) {
      Backoff.reset();
      continue;
    }
    // No request can be served without a configuration: retry soon.
    if (m_routes == nullptr)
      Backoff.reset();
    co_await sleepFor(jittered(Backoff.next()));
  }
}

asio::awaitable<void> StateFeed::readServersLoop() {
  co_await waitForPeers();
  ReadBackoff Backoff(m_policy.m_firstBackoff, m_policy.m_maxBackoff);
  while (true) {
    const TimePoint StartedAt = BootClock::now();
    const Millis Limit =
        silenceLimit(m_policy.m_maxListingAge, m_settings.m_drainBound);
    if (!isListingDue(m_listingTimes, isReader(), m_policy.m_serverReadInterval,
                      Limit, StartedAt)) {
      co_await sleepFor(m_policy.m_pollInterval);
      continue;
    }
    Result<ServerListing> Read = co_await m_store.readServers();
    recordStoreCall(Read.has_value(), StartedAt, "servers",
                    Read ? "" : Read.error().message());
    if (!Read) {
      m_directory.recordReadFailure();
      co_await sleepFor(jittered(Backoff.next()));
      continue;
    }
    Backoff.reset();
    // Unlike a listing from a peer, one from the store is always current.
    applyListing(std::move(Read.value().m_rows),
                 {StartedAt, BootClock::now(), Read.value().m_at}, true);
  }
}

void StateFeed::applyListing(std::vector<ServerRow> Rows,
                             const ListingTimes &Times, bool HasChanges) {
  m_listingTimes = Times;
  applyServers(m_directory.applyListing(Rows, Times.m_requestedAt,
                                        Times.m_receivedAt,
                                        Times.m_storeTime.m_era),
               HasChanges);
  m_rows = std::move(Rows);
  m_areRowsPublished = m_network->hasFollowers();
  if (!m_areRowsPublished)
    return;
  ListingMessage Message = m_listings.update(m_rows);
  setAges(Message);
  m_network->sendToFollowers(Message);
}

void StateFeed::setAges(ListingMessage &Message) const {
  const TimePoint Now = BootClock::now();
  Message.m_storeTime = m_listingTimes.m_storeTime;
  Message.m_ageMs = ageMs(m_listingTimes.m_requestedAt, Now);
  Message.m_configAgeMs = ageMs(m_configurationCurrentAt, Now);
  Message.m_configVersion = configurationVersion();
  Message.m_evacuations = m_evacuations;
}

void StateFeed::onListing(std::uint32_t Link, const std::string &Host,
                          const ListingMessage &Listing) {
  applyEvacuations(Listing.m_evacuations, Host);
  const TimePoint Now = BootClock::now();
  const std::uint64_t Own = configurationVersion();
  ListingFollower &Received = m_receivedListings[Host];
  const bool IsWhole = Received.apply(Listing);
  const StateRequest Needed{Listing.m_configVersion > Own, !IsWhole};
  if (Needed.m_needsConfiguration || Needed.m_needsServers)
    m_network->reply(Link, Needed);
  if (Listing.m_configVersion == Own && Own > 0)
    m_configurationCurrentAt =
        std::max(m_configurationCurrentAt, Now - Millis(Listing.m_configAgeMs));
  if (!IsWhole || !isListingCurrent(m_listingTimes, Listing.m_storeTime))
    return;
  applyListing(Received.rows(),
               {Now - Millis(Listing.m_ageMs), Now, Listing.m_storeTime},
               Listing.m_hasChanges);
}

void StateFeed::applyConfiguration(const DecodedConfiguration &Read,
                                   std::string_view Source) {
  const std::uint64_t Old = configurationVersion();
  if (Read.m_configuration.m_version <= Old)
    return;
  m_routes = std::make_shared<RouteTable>(Read.m_configuration);
  m_configurationText = Read.m_text;
  m_network->sendToFollowers(
      ConfigurationMessage{m_configurationText, m_evacuations});
  m_log.write("configuration",
              {{"version", Read.m_configuration.m_version},
               {"was", Old},
               {"source", Source},
               {"routes", Read.m_configuration.m_routes.size()}});
  m_events.m_onConfiguration();
}

void StateFeed::applyServers(const DirectoryChange &Change, bool IsListing) {
  const auto Report = [this](const char *What,
                             const std::vector<std::string> &Ids) {
    // The first listing adds all servers of the site.
    if (Ids.size() > MaxLoggedServers)
      m_log.write(What, {{"servers", Ids.size()}});
    else
      for (const std::string &Id : Ids)
        m_log.write(What, {{"server", Id}});
  };
  Report("server-added", Change.m_added);
  Report("server-removed", Change.m_removed);
  Report("server-draining", Change.m_draining);
  Report("server-reborn", Change.m_restarted);
  if (!Change.isEmpty() || IsListing)
    m_events.m_onServers(Change);
}

asio::awaitable<bool> StateFeed::readHosts() {
  const TimePoint SentAt = BootClock::now();
  const Result<HostListing> Read = co_await m_store.readHosts();
  recordStoreCall(Read.has_value(), SentAt, "hosts",
                  Read ? "" : Read.error().message());
  if (!Read)
    co_return false;
  m_hostsReadAt = SentAt;
  m_registeredHosts.clear();
  for (const HostInfo &Item : Read.value().m_hosts)
    m_registeredHosts[Item.m_name] = Item.m_processStartMs;
  m_hosts.addHosts(Read.value().m_hosts, BootClock::now());
  m_hostsStoreTime = Read.value().m_at;
  co_return true;
}

asio::awaitable<void> StateFeed::registerHosts() {
  std::vector<HostInfo> Unregistered = m_hosts.liveHosts(BootClock::now());
  std::erase_if(Unregistered, [this](const HostInfo &Item) {
    const auto Found = m_registeredHosts.find(Item.m_name);
    return Found != m_registeredHosts.end() &&
           Found->second == Item.m_processStartMs;
  });
  while (!Unregistered.empty()) {
    const TimePoint SentAt = BootClock::now();
    const Result<std::size_t> Registered =
        co_await m_store.addHosts(Unregistered);
    recordStoreCall(Registered.has_value(), SentAt, "hosts",
                    Registered ? "" : Registered.error().message());
    if (!Registered || Registered.value() == 0)
      co_return;
    m_log.write("hosts-entered", {{"hosts", Registered.value()}});
    const auto End =
        Unregistered.begin() + static_cast<std::ptrdiff_t>(Registered.value());
    for (auto Item = Unregistered.begin(); Item != End; ++Item)
      m_registeredHosts[Item->m_name] = Item->m_processStartMs;
    Unregistered.erase(Unregistered.begin(), End);
  }
}

void StateFeed::sendHostsToFollowers(bool IsWhole) {
  const std::vector<HostInfo> Live = m_hosts.liveHosts(BootClock::now());
  HostsMessage Message;
  if (IsWhole)
    Message.m_listedAt = m_hostsStoreTime;
  for (const HostInfo &Item : Live)
    if (std::exchange(m_announcedHosts[Item.m_name], Item.m_processStartMs) !=
            Item.m_processStartMs ||
        IsWhole)
      Message.m_hosts.push_back(Item);
  if (!Message.m_hosts.empty())
    m_network->sendToFollowers(Message);
}

asio::awaitable<void> StateFeed::registerSelf() {
  ReadBackoff Backoff(m_policy.m_firstBackoff, m_policy.m_maxBackoff);
  while (true) {
    co_await registerHosts();
    bool HasRead = false;
    if (!m_storeHealth.isLost())
      HasRead = co_await readHosts();
    if (HasRead)
      co_return;
    // The seed hosts may have the state that the store cannot return now.
    sendHeartbeatsToSeeds();
    co_await sleepFor(jittered(Backoff.next()));
  }
}

asio::awaitable<void> StateFeed::hostsLoop() {
  co_await waitForPeers();
  if (!hasState())
    co_await registerSelf();
  bool WasReader = false;
  while (true) {
    co_await sleepFor(jittered(m_policy.m_registrationInterval));
    const TimePoint Now = BootClock::now();
    const bool IsReading = isReader();
    const bool IsDue =
        Now - m_hostsReadAt >= m_policy.m_hostReadInterval || mayMissHosts();
    const bool ReceivesListings =
        Now - m_listingTimes.m_receivedAt < m_policy.m_hostReadInterval;
    // A new reader reads the list first: the previous reader may have
    // registered hosts.
    const bool ShouldRead =
        IsReading ? IsDue || !WasReader : IsDue && !ReceivesListings;
    bool HasRead = false;
    if (ShouldRead)
      HasRead = co_await readHosts();
    WasReader = IsReading && (WasReader || HasRead);
    if (!WasReader)
      continue;
    co_await registerHosts();
    sendHostsToFollowers(HasRead);
  }
}

void StateFeed::onHosts(const HostsMessage &Message) {
  if (Message.m_listedAt && *Message.m_listedAt <= m_hostsStoreTime)
    return;
  const std::vector<HostInfo> NewHosts =
      m_hosts.addHosts(Message.m_hosts, BootClock::now());
  if (Message.m_listedAt) {
    m_hostsStoreTime = *Message.m_listedAt;
    m_network->sendToFollowers(Message);
  } else if (!NewHosts.empty()) {
    m_network->sendToFollowers(HostsMessage{std::nullopt, NewHosts});
  }
}

bool StateFeed::markLeaving(const LeavingMessage &Message) {
  const bool IsNew = m_directory.markLeaving(
      Message.m_server, Message.m_startMs, BootClock::now());
  if (IsNew)
    applyServers({{}, {}, {Message.m_server}, {}}, false);
  return IsNew;
}

void StateFeed::onHeartbeat(const Heartbeat &Beat) {
  const TimePoint Now = BootClock::now();
  applyServers(
      m_directory.endLocalOutageGrace(Millis(Beat.m_storeAvailableMs), Now),
      false);
  if (hasState())
    return;
  // A process that has just started announces itself to its new peers.
  if (!m_hosts.addHosts(Beat.m_initialPeers, Now).empty())
    m_network->sendDueHeartbeats();
  updateSource();
}

} // namespace tamarackdrum::gateway
