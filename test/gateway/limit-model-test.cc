// Random histories of many hosts that share limited servers, on a virtual
// clock: coordinators freeze, hosts learn of it at different times and decide
// by themselves meanwhile. The dispatchers are real; the check is the soak's.

#include "limit-check.h"

#include "tamarackdrum/gateway/dispatcher.h"

#include <gtest/gtest.h>
#include <queue>
#include <random>

namespace tamarackdrum::gateway {
namespace {

constexpr Millis LinkDelay{2};
constexpr Millis WorkTime{50};
constexpr Millis AckTimeout{150};    ///< Then the fallback decides.
constexpr Millis MaxViewDelay{1500}; ///< Until a host knows a new coordinator.
constexpr Millis TickInterval{40};
constexpr Millis Objective{600};
constexpr Millis Deadline{2500};
constexpr std::size_t ServerCount = 3;

struct ModelOptions {
  std::size_t m_hosts = 8;
  double m_limit = 2; ///< Of each limited server, a second.
  std::size_t m_limitedServers = 1;
  double m_requestsPerSecond = 100; ///< Of all hosts together.
  std::uint64_t m_seed = 1;
  bool m_freezes = true; ///< The coordinator freezes at times.
  /// Until then, all requests come to the first host.
  Millis m_firstHostUntil{0};
  /// Interval at which another host becomes the coordinator; 0: never.
  Millis m_changeInterval{0};
};

/// A site of hosts with one unkeyed service.
class LimitModel {
public:
  explicit LimitModel(const ModelOptions &Options)
      : m_options(Options), m_random(Options.m_seed) {
    for (std::size_t I = 0; I < Options.m_hosts; ++I)
      m_hosts.push_back(std::make_unique<Host>(Options, I));
    std::vector<ServerEntry> Servers(ServerCount);
    for (std::size_t I = 0; I < ServerCount; ++I) {
      Servers[I].m_id = serverName(I);
      Servers[I].m_slots = 4;
      Servers[I].m_startMs = 1;
    }
    DispatchDecisions Ignored;
    for (const auto &Item : m_hosts) {
      Item->m_shared.setServers(Servers, m_now, Ignored);
      Item->m_fallback.setServers(Servers, m_now, Ignored);
    }
    setView(0, 0);
  }

  void run(Millis Span) {
    const TimePoint End = m_now + Span;
    schedule(Millis(0), [this] { tick(); });
    schedule(Millis(0), [this] { sendRequest(); });
    schedule(Millis(3000), [this] { nameLimits(); });
    if (m_options.m_freezes)
      schedule(Millis(4000), [this] { freezeCoordinator(); });
    if (m_options.m_changeInterval > Millis(0))
      schedule(Millis(4000), [this] { changeCoordinator(); });
    while (!m_events.empty() && m_events.top().m_at < End) {
      const Event Next = m_events.top();
      m_events.pop();
      m_now = Next.m_at;
      Next.m_action();
    }
    m_now = End;
  }

  std::string excesses() const {
    std::string Out;
    const soak::ExcuseCheck IsExcused = [this](std::size_t Host, TimePoint From,
                                               TimePoint To) {
      const Span &Frozen = m_hosts[Host]->m_frozen;
      return Frozen.m_from <= To && From <= Frozen.m_to;
    };
    for (const soak::LimitExcess &Item :
         findLimitExcesses(m_arrivals, m_limits, IsExcused))
      Out += Item.m_server + " " + std::to_string(Item.m_count) + " of " +
             std::to_string(Item.m_allowed) + "; ";
    return Out;
  }

  std::size_t arrivalsAt(std::size_t Server, Millis From) const {
    return static_cast<std::size_t>(std::count_if(
        m_arrivals.begin(), m_arrivals.end(), [&](const auto &Item) {
          return Item.m_arrival.m_server == serverName(Server) &&
                 Item.m_arrival.m_at >= m_start + From;
        }));
  }

private:
  struct Span {
    TimePoint m_from{};
    TimePoint m_to{};
  };
  struct Host {
    Host(const ModelOptions &Options, std::size_t Index)
        : m_shared(policy(Options, Index)), m_fallback(policy(Options, Index)) {
    }
    static DispatchPolicy policy(const ModelOptions &Options,
                                 std::size_t Index) {
      DispatchPolicy Out;
      Out.m_slotShare = 1.0 / static_cast<double>(Options.m_hosts);
      Out.m_rateShare = Out.m_slotShare;
      Out.m_rateSeed = hashKey("host-" + std::to_string(Index));
      return Out;
    }
    Dispatcher m_shared; ///< As coordinator.
    Dispatcher m_fallback;
    std::size_t m_coordinator = 0; ///< As this host believes.
    Span m_frozen;
  };
  struct Event {
    TimePoint m_at;
    std::uint64_t m_order;
    std::function<void()> m_action;
    bool operator<(const Event &Other) const {
      return std::tie(Other.m_at, Other.m_order) < std::tie(m_at, m_order);
    }
  };
  enum class Place { Shared, Fallback };

  static std::string serverName(std::size_t Index) {
    return "s-" + std::to_string(Index);
  }

  void schedule(Millis After, std::function<void()> Action) {
    m_events.push({m_now + After, ++m_lastEvent, std::move(Action)});
  }

  std::int64_t draw(std::int64_t Below) {
    return static_cast<std::int64_t>(m_random() %
                                     static_cast<std::uint64_t>(Below));
  }

  bool isFrozen(std::size_t Index) const {
    return m_now < m_hosts[Index]->m_frozen.m_to;
  }

  void tick() {
    for (std::size_t I = 0; I < m_hosts.size(); ++I) {
      if (isFrozen(I))
        continue;
      DispatchDecisions Made;
      m_hosts[I]->m_shared.tick(m_now, Made);
      apply(I, Place::Shared, Made);
      m_hosts[I]->m_fallback.tick(m_now, Made);
      apply(I, Place::Fallback, Made);
    }
    schedule(TickInterval, [this] { tick(); });
  }

  void nameLimits() {
    for (std::size_t I = 0; I < m_options.m_limitedServers; ++I)
      m_limits.push_back({serverName(I), 1, m_now, m_options.m_limit});
  }

  void sendRequest() {
    const auto IntervalUs =
        static_cast<std::int64_t>(2e6 / m_options.m_requestsPerSecond);
    m_events.push({m_now + std::chrono::microseconds(1 + draw(IntervalUs)),
                   ++m_lastEvent, [this] { sendRequest(); }});
    const std::size_t Host = static_cast<std::size_t>(
        draw(static_cast<std::int64_t>(m_hosts.size())));
    if (isFrozen(Host) ||
        (Host > 0 && m_now < m_start + m_options.m_firstHostUntil))
      return;
    DispatchRequest Ask;
    Ask.m_id = {static_cast<std::uint32_t>(Host + 1), ++m_lastNumber};
    Ask.m_objectiveLeft = Objective;
    Ask.m_timeLeft = Deadline;
    const std::size_t Coordinator = m_hosts[Host]->m_coordinator;
    if (Coordinator == Host)
      return submit(Host, Place::Shared, Ask);
    if (isFrozen(Coordinator))
      return schedule(AckTimeout, [this, Host, Ask] {
        submit(Host, Place::Fallback, Ask);
      });
    schedule(LinkDelay, [this, Coordinator, Ask] {
      submit(Coordinator, Place::Shared, Ask);
    });
  }

  Dispatcher &dispatcher(std::size_t Decider, Place Kind) {
    return Kind == Place::Shared ? m_hosts[Decider]->m_shared
                                 : m_hosts[Decider]->m_fallback;
  }

  void submit(std::size_t Decider, Place Kind, const DispatchRequest &Ask) {
    if (isFrozen(Decider))
      return;
    DispatchDecisions Made;
    dispatcher(Decider, Kind).submit(Ask, m_now, Made);
    apply(Decider, Kind, Made);
  }

  void apply(std::size_t Decider, Place Kind, DispatchDecisions &Made) {
    for (const DispatchDecision &Item : std::exchange(Made, {}))
      if (!Item.m_server.empty())
        schedule(LinkDelay, [this, Decider, Kind, Item] {
          reachServer(Decider, Kind, Item);
        });
  }

  void reachServer(std::size_t Decider, Place Kind,
                   const DispatchDecision &Item) {
    const std::size_t Host = Item.m_id.m_link - 1;
    if (isFrozen(Host))
      return;
    const std::size_t Index = m_arrivals.size();
    m_arrivals.push_back(
        {{"", Item.m_server, 1, m_now, TimePoint{}, std::nullopt}, Host});
    schedule(WorkTime, [this, Decider, Kind, Item, Index] {
      answer(Decider, Kind, Item, Index);
    });
  }

  void answer(std::size_t Decider, Place Kind, const DispatchDecision &Item,
              std::size_t Index) {
    const std::size_t Host = Item.m_id.m_link - 1;
    const TimePoint SentAt = m_arrivals[Index].m_arrival.m_at;
    if (isFrozen(Host))
      return;
    NamedLimit Named;
    for (const soak::LimitRecord &Known : m_limits)
      if (Known.m_server == Item.m_server)
        Named.m_perSecond = Known.m_limit.value_or(0);
    m_arrivals[Index].m_arrival.m_answeredAt = m_now;
    if (!Named.isNone())
      m_arrivals[Index].m_arrival.m_limit = Named.m_perSecond;
    m_hosts[Host]->m_shared.noteLimit(Item.m_server, Named, SentAt, m_now);
    m_hosts[Host]->m_fallback.noteLimit(Item.m_server, Named, SentAt, m_now);
    if (Kind == Place::Fallback)
      return report(Host, Kind, Item.m_id, Named);
    schedule(LinkDelay, [this, Decider, Kind, Item, Named] {
      report(Decider, Kind, Item.m_id, Named);
    });
  }

  void report(std::size_t Decider, Place Kind, const DispatchId &Id,
              const NamedLimit &Named) {
    if (isFrozen(Decider))
      return;
    DispatchDecisions Made;
    Dispatcher &Known = dispatcher(Decider, Kind);
    Known.noteLimit(Id, Named, m_now);
    Known.finish(Id, DispatchResult::Served, WorkTime, m_now, Made);
    apply(Decider, Kind, Made);
  }

  void freezeCoordinator() {
    const std::size_t Old = m_coordinator;
    m_hosts[Old]->m_frozen = {m_now, m_now + Millis(2000 + draw(4000))};
    m_coordinator = (Old + 1) % m_hosts.size();
    for (std::size_t I = 0; I < m_hosts.size(); ++I)
      schedule(Millis(draw(MaxViewDelay.count())),
               [this, I, Next = m_coordinator] { setView(I, Next); });
    schedule(Millis(2500 + draw(4000)), [this] { freezeCoordinator(); });
  }

  void changeCoordinator() {
    m_coordinator = (m_coordinator + 1) % m_hosts.size();
    for (std::size_t I = 0; I < m_hosts.size(); ++I)
      setView(I, m_coordinator);
    schedule(m_options.m_changeInterval, [this] { changeCoordinator(); });
  }

  /// Lets host \p Index follow \p Next, which it tells what it knows.
  void setView(std::size_t Index, std::size_t Next) {
    Host &Item = *m_hosts[Index];
    Item.m_coordinator = Next;
    Item.m_shared.setRateShare(
        Index == Next ? 1 : 1.0 / static_cast<double>(m_hosts.size()), m_now);
    for (const KnownLimit &Known : Item.m_shared.limits(m_now))
      schedule(LinkDelay, [this, Next, Known] {
        m_hosts[Next]->m_shared.adoptLimit(Known.m_server, Known.m_perSecond,
                                           Known.m_age, m_now);
      });
  }

  const ModelOptions m_options;
  std::mt19937_64 m_random;
  const TimePoint m_start{std::chrono::seconds(100)};
  TimePoint m_now = m_start;
  std::vector<std::unique_ptr<Host>> m_hosts;
  std::priority_queue<Event> m_events;
  std::uint64_t m_lastEvent = 0;
  std::uint32_t m_lastNumber = 0;
  std::size_t m_coordinator = 0;
  std::vector<soak::HostArrival> m_arrivals;
  std::vector<soak::LimitRecord> m_limits;
};

TEST(LimitModelTest, Hosts_CoordinatorsFreeze_LimitsAreKept) {
  for (const std::size_t Hosts : {3U, 12U, 80U})
    for (const double Limit : {0.5, 1.4, 5.0, 20.0})
      for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
        ModelOptions Options;
        Options.m_hosts = Hosts;
        Options.m_limit = Limit;
        Options.m_limitedServers = 1 + Seed % ServerCount;
        Options.m_seed = Seed;
        LimitModel Subject(Options);
        Subject.run(Millis(30000));
        EXPECT_EQ(Subject.excesses(), "")
            << Hosts << " hosts, " << Limit << " a second, seed " << Seed;
      }
}

// New coordinators have sent the servers nothing themselves.
TEST(LimitModelTest, Coordinators_ChangeOften_NextOneKnowsTheLimits) {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    ModelOptions Options;
    Options.m_hosts = 12;
    Options.m_limit = 0.5;
    Options.m_limitedServers = ServerCount;
    Options.m_requestsPerSecond = 4000;
    Options.m_freezes = false;
    Options.m_changeInterval = Millis(400);
    Options.m_firstHostUntil = Millis(20000);
    Options.m_seed = Seed;
    LimitModel Subject(Options);
    Subject.run(Millis(20000));
    EXPECT_EQ(Subject.excesses(), "") << Seed;
    for (std::size_t I = 0; I < ServerCount; ++I)
      EXPECT_LE(Subject.arrivalsAt(I, Millis(4000)), 16 * 0.5 + 5) << Seed;
  }
}

TEST(LimitModelTest, Hosts_NoFault_RateIsUsed) {
  for (const double Limit : {0.5, 5.0, 20.0}) {
    ModelOptions Options;
    Options.m_limit = Limit;
    Options.m_limitedServers = ServerCount;
    Options.m_freezes = false;
    LimitModel Subject(Options);
    Subject.run(Millis(30000));
    for (std::size_t I = 0; I < ServerCount; ++I) {
      const std::size_t Count = Subject.arrivalsAt(I, Millis(10000));
      EXPECT_GE(static_cast<double>(Count), 20 * Limit * 0.9 - 1) << Limit;
      EXPECT_LE(static_cast<double>(Count), 20 * Limit + 1) << Limit;
    }
  }
}

} // namespace
} // namespace tamarackdrum::gateway
