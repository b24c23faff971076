// The part of StateFeed that takes state from peers and gives it to them.

#include "tamarackdrum/gateway/state-feed.h"

#include "tamarackdrum/error.h"

namespace tamarackdrum::gateway {

void StateFeed::onConfiguration(const ConfigurationMessage &Message,
                                std::string_view Source) {
  applyEvacuations(Message.m_evacuations, Source);
  const Result<DecodedConfiguration> Read =
      m_store.decodeConfiguration(Message.m_text);
  if (Read)
    applyConfiguration(Read.value(), Source);
}

void StateFeed::onState(const std::string &Host, const StateMessage &State) {
  // A peer may know the servers and the evacuations only.
  applyEvacuations(State.m_evacuations, "peer " + Host);
  if (!State.m_configuration.empty())
    onConfiguration({State.m_configuration, State.m_evacuations},
                    "peer " + Host);
  applyServers(m_directory.addFromPeer(State.m_servers), false);
}

void StateFeed::applyEvacuations(const Evacuations &Next,
                                 std::string_view Source) {
  if (!isNewer(Next, m_evacuations))
    return;
  const Evacuations Old = std::exchange(m_evacuations, Next);
  if (Old.m_zones == Next.m_zones)
    return;
  const auto Report = [&](const char *What, const std::set<std::string> &Zones,
                          const std::set<std::string> &Others) {
    for (const std::string &Zone : Zones)
      if (Others.count(Zone) == 0)
        m_log.write(What, {{"zone", Zone},
                           {"version", Next.m_version.m_number},
                           {"source", Source}});
  };
  Report("zone-evacuated", Next.m_zones, Old.m_zones);
  Report("zone-restored", Old.m_zones, Next.m_zones);
  m_network->sendToFollowers(EvacuationsMessage{Next});
  if (m_directory.setEvacuatedZones(Next.m_zones))
    applyServers({}, true);
}

void StateFeed::onFollow(std::uint32_t Link, bool IsFollowing) {
  m_network->setFollower(Link, IsFollowing);
  if (!IsFollowing)
    return;
  m_network->reply(Link, HostsMessage{std::nullopt, m_hosts.allHosts()});
  sendState(Link, StateRequest{});
  m_events.m_onFollower(Link);
}

void StateFeed::sendState(std::uint32_t Link, const StateRequest &Needed) {
  if (Needed.m_needsConfiguration && !m_configurationText.empty())
    m_network->reply(Link,
                     ConfigurationMessage{m_configurationText, m_evacuations});
  if (!Needed.m_needsServers || !m_directory.isLoaded())
    return;
  if (!std::exchange(m_areRowsPublished, true))
    m_listings.update(m_rows);
  ListingMessage Snapshot = m_listings.snapshot();
  setAges(Snapshot);
  m_network->reply(Link, Snapshot);
}

void StateFeed::onStateRequest(std::uint32_t Link, const StateRequest &Needed) {
  if (m_directory.isLoaded()) {
    sendState(Link, Needed);
    return;
  }
  StateMessage Known;
  if (Needed.m_needsConfiguration)
    Known.m_configuration = m_configurationText;
  Known.m_evacuations = m_evacuations;
  if (Needed.m_needsServers)
    for (const auto &[Id, Entry] : m_directory.entries())
      Known.m_servers.push_back(Entry);
  m_network->reply(Link, Known);
}

} // namespace tamarackdrum::gateway
