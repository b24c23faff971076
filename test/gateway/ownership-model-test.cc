/// \file
/// Simulates granters, servers and the store on a virtual clock with random
/// faults. Invariants: no key has two holders, and the fencing token of a key
/// grows with each change of its holder.

#include "tamarackdrum/gateway/ports.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>
#include <rapidcheck/gtest.h>
#include <sstream>

namespace tamarackdrum::gateway {
namespace {

constexpr int Hosts = 3;
constexpr int Servers = 4;
constexpr int SampledKeys = 16;
constexpr Millis StepTime{25};
constexpr Millis HistoryTime{40000};
/// Factor by which a hold lasts longer on a server with a slow clock.
constexpr double ClockDriftFactor = 1.02;

Key sampledKey(int Index) {
  return static_cast<Key>(Index * (KeyCount / SampledKeys) + 100);
}

std::string nameOf(char Kind, int Index) {
  return {Kind, static_cast<char>('0' + Index)};
}

/// The store with one row per era, as the platform adapter writes them.
struct ModelStore {
  struct Row {
    OwnershipRecord m_record;
    std::uint64_t m_version = 0;
  };
  std::map<std::uint64_t, Row> m_rows;
  std::uint64_t m_era = 1;

  /// Returns the row of this era or else of the latest era before it.
  VersionedOwnership read() const {
    if (m_rows.empty())
      return {{}, {m_era, 0}, 0};
    const auto &[Era, Last] = *m_rows.rbegin();
    return {Last.m_record, {m_era, Era == m_era ? Last.m_version : 0}, 0};
  }
};

struct ModelServer {
  struct Hold {
    TimePoint m_until{};
    std::uint64_t m_fence = 0;
  };
  std::int64_t m_startMs = 1;
  bool m_isUp = true;
  bool m_isDraining = false;
  std::vector<Hold> m_holds = std::vector<Hold>(SampledKeys);
};

/// A connection, which ends with the instance of its server.
struct ModelConnection {
  TimePoint m_openedAt{};
  std::int64_t m_serverStartMs = 0;
};

/// A scheduled action.
struct Event {
  TimePoint m_at;
  std::function<void()> m_run;
};

/// How long the registry goes on to list the earlier instance of a server that
/// starts again. The new instance then takes the calls meant for it.
enum class RestartListing { AtOnce, Late };

class Model {
public:
  Model(std::uint32_t Seed, RestartListing Listing)
      : m_random(Seed), m_restartListing(Listing) {
    for (int I = 0; I < Hosts; ++I)
      restart(I);
  }

  /// Returns a log of the run so far.
  std::string trace() const { return m_trace.str(); }

  /// Runs until HistoryTime is over or an invariant is violated. Returns the
  /// violation, or an empty string.
  std::string run() {
    const TimePoint End = m_now + HistoryTime;
    while (m_now < End && m_violation.empty()) {
      m_now += StepTime;
      runEvents();
      injectFaults();
      for (int I = 0; I < Hosts; ++I)
        if (m_now >= m_hosts[I].m_frozenUntil)
          stepHost(I);
    }
    return m_violation;
  }

private:
  struct Host {
    std::unique_ptr<KeyGranter> m_granter;
    std::int64_t m_processStartMs = 0;
    RowVersion m_version;
    bool m_isFirstStart = true; ///< Started with the site.
    TimePoint m_frozenUntil{};
    TimePoint m_validatedAt{};
    TimePoint m_storeCutUntil{}; ///< No store access before this time.
    bool m_isWriting = false;
    KeyLoad m_load;
    /// Open connections, by server.
    std::map<int, ModelConnection> m_connections;
  };

  /// Returns the store time. Its clock differs from the clocks of the hosts.
  std::int64_t storeMs() const {
    return std::chrono::duration_cast<Millis>(m_now.time_since_epoch())
               .count() -
           123456;
  }

  std::ostream &traceLine() {
    return m_trace << std::chrono::duration_cast<Millis>(
                          m_now.time_since_epoch())
                          .count()
                   << " ";
  }

  bool chance(double Share) {
    return std::uniform_real_distribution<>(0, 1)(m_random) < Share;
  }
  Millis delay(int Least, int Most) {
    return Millis(std::uniform_int_distribution<>(Least, Most)(m_random));
  }
  int pick(int Count) {
    return std::uniform_int_distribution<>(0, Count - 1)(m_random);
  }

  void schedule(Millis Time, std::function<void()> Run) {
    m_events.push_back({m_now + Time, std::move(Run)});
  }

  void runEvents() {
    std::vector<Event> Due;
    for (std::size_t I = 0; I < m_events.size();) {
      if (m_events[I].m_at > m_now) {
        ++I;
        continue;
      }
      Due.push_back(std::move(m_events[I]));
      m_events.erase(m_events.begin() + static_cast<std::ptrdiff_t>(I));
    }
    for (Event &Item : Due)
      Item.m_run();
  }

  void restart(int Index) {
    Host &Item = m_hosts[Index];
    Item.m_processStartMs = ++m_lastProcessStartMs;
    Item.m_granter = std::make_unique<KeyGranter>(
        GrantPolicy{}, nameOf('h', Index), Item.m_processStartMs);
    Item.m_isWriting = false;
    Item.m_connections.clear();
    Item.m_isFirstStart = Item.m_processStartMs <= Hosts;
  }

  std::vector<ServerEntry> entries() const {
    std::vector<ServerEntry> Out;
    for (int I = 0; I < Servers; ++I) {
      // A crashed server stays listed for up to 3 s.
      if (!m_listed[I])
        continue;
      ServerEntry Entry;
      Entry.m_id = nameOf('s', I);
      Entry.m_service = "stock";
      Entry.m_address = Entry.m_id;
      Entry.m_startMs = m_listedStartMs[I];
      Entry.m_isDraining = m_servers[I].m_isDraining;
      Out.push_back(Entry);
    }
    return Out;
  }

  void listInstance(int Index) {
    m_listed[Index] = true;
    m_listedStartMs[Index] = m_servers[Index].m_startMs;
  }

  void injectFaults() {
    const int Index = pick(Servers);
    ModelServer &Server = m_servers[Index];
    if (chance(0.004)) {
      Server.m_isUp = false;
      schedule(delay(200, 3000), [this, Index] {
        if (!m_servers[Index].m_isUp)
          m_listed[Index] = false;
      });
    }
    if (!Server.m_isUp && chance(0.02)) {
      Server = ModelServer{};
      Server.m_startMs = ++m_lastServerStartMs;
      listInstance(Index);
    }
    if (m_restartListing == RestartListing::Late && chance(0.004)) {
      Server = ModelServer{};
      Server.m_startMs = ++m_lastServerStartMs;
      schedule(delay(0, 2500), [this, Index, StartMs = Server.m_startMs] {
        if (m_servers[Index].m_startMs == StartMs)
          listInstance(Index);
      });
    }
    if (chance(0.004))
      Server.m_isDraining = !Server.m_isDraining;
    if (chance(0.003))
      m_listed[Index] = !m_listed[Index] && Server.m_isUp;
    const int HostIndex = pick(Hosts);
    if (chance(0.002))
      restart(HostIndex);
    if (chance(0.002))
      m_hosts[HostIndex].m_frozenUntil = m_now + delay(500, 6000);
    if (chance(0.002))
      m_hosts[HostIndex].m_storeCutUntil = m_now + delay(500, 9000);
    if (chance(0.001))
      for (Host &Item : m_hosts)
        Item.m_storeCutUntil = m_now + delay(500, 9000);
    if (m_now - m_copiedAt > Millis(400)) {
      m_copiedAt = m_now;
      m_copies.push_back(m_store);
      if (m_copies.size() > 20)
        m_copies.pop_front();
    }
    if (chance(0.0006)) {
      const std::uint64_t Era = m_store.m_era + 1;
      m_store = m_copies[static_cast<std::size_t>(
          pick(static_cast<int>(m_copies.size())))];
      m_store.m_era = Era;
      traceLine() << "store restored from a copy, era " << Era << '\n';
    }
  }

  /// Returns the state of \p Old as host \p Viewer sees it. A frozen granter
  /// has not learned of a newer term yet, and one that has restated its record
  /// has a newer term itself.
  EarlierGranterState stateOf(const EarlierGranter &Old, int Viewer) const {
    const int Index = Old.m_host.back() - '0';
    const Host &Item = m_hosts[Index];
    if (Item.m_processStartMs > Old.m_processStartMs)
      return EarlierGranterState::ProcessEnded;
    const bool Grants = Index != Viewer && Item.m_granter->isGranter();
    return Grants ? EarlierGranterState::MayGrant
                  : EarlierGranterState::SteppedDown;
  }

  void stepHost(int Index) {
    Host &Item = m_hosts[Index];
    KeyGranter &Granter = *Item.m_granter;
    const bool HasStore = m_now >= Item.m_storeCutUntil;
    if (!Granter.isGranter()) {
      if (HasStore && chance(m_store.m_rows.empty() ? 0.2 : 0.01)) {
        const VersionedOwnership Read = m_store.read();
        Item.m_version = Read.m_version;
        const bool IsNewSite = Read.m_record.m_term == 0 &&
                               Item.m_isFirstStart && m_store.m_era == 1;
        const bool IsOld =
            isOfEarlierEra(Read.m_record, Read.m_version.m_era) && !IsNewSite;
        Granter.takeOver(
            Read.m_record,
            [this, Index](const EarlierGranter &Old) {
              return stateOf(Old, Index);
            },
            {storeMs(), false, Read.m_version.m_era, IsOld}, m_now);
        traceLine() << "h" << Index << " takes over from "
                    << Read.m_record.m_granter << " term " << Granter.term()
                    << (IsOld ? " of an earlier era" : "") << '\n';
        Granter.setServers(entries(), m_now);
      }
      return;
    }
    for (int I = 0; I < SampledKeys; ++I)
      if (chance(I < 3 ? 0.3 : 0.02))
        Item.m_load.countArrival(sampledKey(I), m_now);
    Granter.updateEarlierGranters(
        [this, Index](const EarlierGranter &Old) {
          return stateOf(Old, Index);
        },
        m_now);
    Granter.setServers(entries(), m_now);
    Granter.plan([&] { return Item.m_load.rates(m_now); },
                 [](const std::string &) { return 8.0; }, m_now);
    GrantActions Made = Granter.step(m_now);
    for (const GrantCall &Call : Made.m_calls)
      send(Index, Call);
    if (Made.m_write)
      write(Index, *Made.m_write);
    const bool IsDue =
        m_now - Item.m_validatedAt > Millis(1500) || Granter.needsValidation();
    if (HasStore && IsDue && !Item.m_isWriting)
      validate(Index);
  }

  void validate(int Index) {
    Host &Item = m_hosts[Index];
    KeyGranter &Granter = *Item.m_granter;
    const VersionedOwnership Read = m_store.read();
    const OwnershipRecord &Found = Read.m_record;
    Item.m_validatedAt = m_now;
    if (isOfEarlierEra(Found, Read.m_version.m_era) &&
        (Granter.isInForce() || Granter.isRestating())) {
      if (Item.m_isWriting)
        return;
      Item.m_version = Read.m_version;
      if (!Granter.restate(Read.m_version.m_era, m_now))
        Granter.stepDown();
      traceLine() << "h" << Index << " restates, term " << Granter.term()
                  << '\n';
      return;
    }
    if (Found.m_term < Granter.term() || Found.m_term > Granter.term() ||
        isOfEarlierEra(Found, Read.m_version.m_era) ||
        Found.m_granterStartMs != Item.m_processStartMs) {
      Granter.stepDown();
      return;
    }
    Item.m_version = Read.m_version;
    Granter.onValidated(m_now);
  }

  bool applyWrite(const OwnershipRecord &Record, const RowVersion &Version) {
    const auto Row = m_store.m_rows.find(Version.m_era);
    const std::uint64_t Current =
        Row == m_store.m_rows.end() ? 0 : Row->second.m_version;
    if (Current != Version.m_number)
      return false;
    m_store.m_rows[Version.m_era] = {Record, Current + 1};
    traceLine() << Record.m_granter << " has written version " << Current + 1
                << " of era " << Version.m_era;
    for (const RangeRecord &Item : Record.m_ranges)
      m_trace << " [" << Item.m_from << ".." << Item.m_to << " "
              << Item.m_owner.m_id << " " << Item.m_fence << " "
              << Item.m_previousOwner.m_id << "]";
    m_trace << '\n';
    return true;
  }

  void write(int Index, const OwnershipRecord &Record) {
    Host &Item = m_hosts[Index];
    Item.m_isWriting = true;
    const RowVersion Version = Item.m_version;
    const std::int64_t ProcessStartMs = Item.m_processStartMs;
    const TimePoint AskedAt = m_now;
    const bool IsCut = m_now < Item.m_storeCutUntil;
    const bool IsLost = chance(0.1);
    if (IsLost && !IsCut)
      schedule(chance(0.5) ? delay(1000, 6000) : Millis(0),
               [this, Record, Version] { applyWrite(Record, Version); });
    schedule(delay(5, 200), [=, this] {
      const bool IsDone = !IsCut && !IsLost && applyWrite(Record, Version) &&
                          m_store.m_era == Version.m_era;
      schedule(delay(1, 50), [=, this] {
        Host &Writer = m_hosts[Index];
        if (Writer.m_processStartMs != ProcessStartMs)
          return;
        Writer.m_isWriting = false;
        KeyGranter &Granter = *Writer.m_granter;
        if (!Granter.isGranter() || Granter.term() != Record.m_term)
          return;
        if (IsDone) {
          Writer.m_version = {Version.m_era, Version.m_number + 1};
          Granter.onWritten(AskedAt, m_now);
          return;
        }
        if (m_now >= Writer.m_storeCutUntil)
          validate(Index);
        if (Granter.isGranter())
          Granter.onWriteFailed();
      });
    });
  }

  void send(int Index, const GrantCall &Call) {
    traceLine() << "h" << Index << (Call.m_isRelease ? " release " : " grant ")
                << Call.m_server.m_id << " " << Call.m_from << ".." << Call.m_to
                << " fence " << Call.m_fence << " call " << Call.m_number
                << '\n';
    const std::int64_t ProcessStartMs = m_hosts[Index].m_processStartMs;
    const auto Report = [=, this](GrantResult Outcome, Millis Later,
                                  TimePoint WrittenAt) {
      schedule(Later, [=, this] {
        traceLine() << "h" << Index << " call " << Call.m_number << " result "
                    << static_cast<int>(Outcome) << '\n';
        if (m_hosts[Index].m_processStartMs == ProcessStartMs)
          m_hosts[Index].m_granter->onCallResult(Call.m_number, Outcome, "x",
                                                 m_now, WrittenAt);
      });
    };
    const int Server = Call.m_server.m_id.back() - '0';
    if (chance(0.05)) {
      Report(GrantResult::NotSent, delay(1, 300), TimePoint{});
      return;
    }
    std::map<int, ModelConnection> &Open = m_hosts[Index].m_connections;
    if (chance(0.02))
      Open.erase(Server);
    const auto Known = Open.find(Server);
    const bool HasOld =
        Known != Open.end() && Known->second.m_openedAt <= Call.m_connectedBy;
    if (Call.m_connectedBy != TimePoint{} && !HasOld) {
      Report(GrantResult::Unproven, Millis(0), TimePoint{});
      return;
    }
    // A call that needs no old connection uses a new one, to the instance that
    // is there when it arrives.
    const std::int64_t BoundTo =
        Call.m_connectedBy == TimePoint{} ? 0 : Known->second.m_serverStartMs;
    const TimePoint SentAt = m_now;
    const Millis Delay = chance(0.05) ? delay(100, 500) : delay(1, 20);
    const bool IsLate = chance(0.05);
    schedule(Delay, [=, this] {
      const TimePoint ArrivedAt = m_now;
      const std::int64_t StartMs = m_servers[Server].m_startMs;
      const bool IsConnected = BoundTo == 0 || BoundTo == StartMs;
      if (!m_servers[Server].m_isUp || !IsConnected) {
        if (m_hosts[Index].m_processStartMs == ProcessStartMs)
          m_hosts[Index].m_connections.erase(Server);
        Report(GrantResult::NoAnswer, Millis(100), SentAt);
        return;
      }
      const TimePoint WrittenAt = BoundTo == 0 ? ArrivedAt : SentAt;
      if (BoundTo == 0 && m_hosts[Index].m_processStartMs == ProcessStartMs)
        m_hosts[Index].m_connections[Server] = {ArrivedAt, StartMs};
      if (IsLate) {
        // A call that waits in a server ends with its instance.
        schedule(delay(200, 4000), [=, this] {
          if (m_servers[Server].m_startMs == StartMs)
            processCall(Call, Server, ArrivedAt);
        });
        Report(GrantResult::NoAnswer, Millis(100), WrittenAt);
        return;
      }
      const GrantResult Outcome = processCall(Call, Server, ArrivedAt);
      Report(Outcome, Call.m_isRelease ? delay(1, 900) : delay(1, 50),
             WrittenAt);
    });
  }

  GrantResult processCall(const GrantCall &Call, int Index,
                          TimePoint ArrivedAt) {
    ModelServer &Server = m_servers[Index];
    if (!Server.m_isUp || (Server.m_startMs != Call.m_server.m_startMs &&
                           m_restartListing == RestartListing::AtOnce))
      return GrantResult::NoAnswer;
    const auto IsInRange = [&Call](int I) {
      return sampledKey(I) >= Call.m_from && sampledKey(I) <= Call.m_to;
    };
    for (int I = 0; I < SampledKeys && !Call.m_isRelease; ++I)
      if (IsInRange(I) && Server.m_holds[I].m_fence > Call.m_fence)
        return GrantResult::HigherFence;
    const Millis Hold(static_cast<std::int64_t>(
        static_cast<double>(Call.m_hold.count()) * ClockDriftFactor));
    for (int I = 0; I < SampledKeys; ++I) {
      if (!IsInRange(I))
        continue;
      if (Call.m_isRelease) {
        Server.m_holds[I].m_until = {};
        continue;
      }
      const TimePoint Until = ArrivedAt + Hold;
      // A grant that is processed after the end of its hold has no effect.
      if (Until <= m_now)
        continue;
      // A grant that is processed late may overlap until its hold ends.
      if (ArrivedAt == m_now)
        checkGrant(I, Index, Call);
      Server.m_holds[I] = {Until, Call.m_fence};
    }
    return GrantResult::Done;
  }

  void checkGrant(int I, int Index, const GrantCall &Call) {
    for (int Other = 0; Other < Servers; ++Other) {
      if (Other == Index || !m_servers[Other].m_isUp)
        continue;
      const ModelServer::Hold &Held = m_servers[Other].m_holds[I];
      std::ostringstream Out;
      if (Held.m_until > m_now)
        Out << "key " << I << " held by s" << Other << " with fence "
            << Held.m_fence << " was granted to s" << Index << " with fence "
            << Call.m_fence;
      else if (Held.m_fence >= Call.m_fence)
        Out << "fence of key " << I << " did not grow: s" << Other << " had "
            << Held.m_fence << ", s" << Index << " got " << Call.m_fence;
      if (!Out.str().empty())
        m_violation = Out.str();
    }
  }

  std::mt19937 m_random;
  const RestartListing m_restartListing;
  TimePoint m_now{std::chrono::seconds(1000)};
  std::int64_t m_lastProcessStartMs = 0;
  std::int64_t m_lastServerStartMs = 1;
  ModelStore m_store;
  std::deque<ModelStore> m_copies; ///< Of the last 8 s or more.
  TimePoint m_copiedAt{};
  std::vector<ModelServer> m_servers = std::vector<ModelServer>(Servers);
  std::vector<bool> m_listed = std::vector<bool>(Servers, true);
  std::vector<std::int64_t> m_listedStartMs =
      std::vector<std::int64_t>(Servers, 1);
  std::array<Host, Hosts> m_hosts;
  std::vector<Event> m_events;
  std::string m_violation;
  std::ostringstream m_trace; ///< Printed if an invariant is violated.
};

/// Runs the history of \p Seed. Returns the violation and the trace, or an
/// empty string.
std::string runHistory(std::uint32_t Seed,
                       RestartListing Listing = RestartListing::AtOnce) {
  Model Subject(Seed, Listing);
  const std::string Violation = Subject.run();
  if (Violation.empty())
    return Violation;
  std::ostringstream Out;
  Out << "seed " << Seed << ": " << Violation << '\n' << Subject.trace();
  return Out.str();
}

// Faults that these seeds have found:
// 31676: the second-to-last granter still sends grants.
// 15838: an inherited range moves again while its owner holds it.
// 525716: a late answer to an earlier release counts for a later release.
// 74335: a grant of a granter that has stepped down arrives late.
// 265817260: for merged ranges, the hold that ends first is used.
// 71301: a granter claims its keys again although another one took over in the
// time whose records the store has lost.
TEST(OwnershipModelTest, History_SeedsThatFailed_KeepsInvariants) {
  for (std::uint32_t Seed :
       {31676U, 15838U, 525716U, 74335U, 265817260U, 71301U})
    EXPECT_EQ(runHistory(Seed), "");
}

RC_GTEST_PROP(OwnershipModelTest, RandomHistory_AnyFaults_KeepsInvariants,
              (std::uint32_t Seed)) {
  for (std::uint32_t I = 0; I < 10; ++I) {
    const std::string Violation = runHistory(Seed + I * 7919);
    if (!Violation.empty())
      RC_FAIL(Violation);
  }
}

// Found with these seeds: a restarted owner, whose new instance has taken
// renewals meant for the earlier one or has been sent one that is still under
// way, counts as an owner without keys.
TEST(OwnershipModelTest, RestartsListedLate_SeedsThatFailed_KeepsInvariants) {
  for (std::uint32_t Seed : {183U, 185U, 193U, 209U, 343U, 71273U})
    EXPECT_EQ(runHistory(Seed, RestartListing::Late), "");
}

RC_GTEST_PROP(OwnershipModelTest,
              RandomHistory_RestartsListedLate_KeepsInvariants,
              (std::uint32_t Seed)) {
  for (std::uint32_t I = 0; I < 10; ++I) {
    const std::string Violation =
        runHistory(Seed + I * 7919, RestartListing::Late);
    if (!Violation.empty())
      RC_FAIL(Violation);
  }
}

} // namespace
} // namespace tamarackdrum::gateway
