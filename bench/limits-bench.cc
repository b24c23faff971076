/// \file
/// Compares limit policies in virtual time with a fixed seed. One class of
/// unkeyed work, servers that refuse what exceeds their slots, and processes
/// that let a few requests wait for a slot and refuse the rest.

#include "tamarackdrum/retry-budget.h"
#include "tamarackdrum/server-limiter.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <vector>

namespace tamarackdrum {
namespace {

constexpr int Servers = 11;
constexpr int Slots = 2;
constexpr double WorkMs = 10;
constexpr double OneWayMs = 0.3;
constexpr double MaxWaitMs = 60;
constexpr double PollMs = 2;
constexpr double EndMs = 60000;
constexpr int MaxAttempts = 3;
constexpr std::size_t MinWaiting = 6;
constexpr unsigned Seed = 20261203;

/// What is wrong with server 0; or all calls come to a third of the processes.
enum class Trouble { None, Cold, Slow, Shedding, Skewed };

/// One run's parameters.
struct Setup {
  LimitPolicy m_policy;
  int m_processes;
  double m_load; ///< Offered work over capacity.
  Trouble m_trouble;
};

/// One run's figures.
struct Figures {
  int m_offered = 0;
  int m_refused = 0;
  int m_dispatches = 0;
  int m_sheds = 0;
  std::vector<double> m_latencies;
  std::vector<double> m_busyMs = std::vector<double>(Servers);
};

/// A request on its way.
struct Call {
  double m_arrived;
  std::size_t m_process;
  int m_attempts = 0;
  int m_exclude = -1;
  bool m_hasToken = false; ///< Its next dispatch is paid for.
};

/// One process of the simulation.
struct Process {
  std::vector<ServerUse> m_use = std::vector<ServerUse>(Servers);
  std::deque<Call> m_waiting;
  bool m_hasPoll = false;
  RetryBudget m_budget;
};

/// The event loop and the state of everything.
class Simulation {
public:
  explicit Simulation(const Setup &Parameters)
      : m_setup(Parameters),
        m_processes(static_cast<std::size_t>(Parameters.m_processes)),
        m_maxWaiting(std::max<std::size_t>(
            MinWaiting, static_cast<std::size_t>(2 * Servers * Slots /
                                                 Parameters.m_processes))) {}

  Figures run() {
    at(0, [this] { arrive(); });
    while (!m_events.empty() && m_events.top().m_time < EndMs) {
      const Event Next = m_events.top();
      m_events.pop();
      m_now = Next.m_time;
      Next.m_run();
    }
    return m_figures;
  }

private:
  struct Event {
    double m_time;
    std::uint64_t m_order;
    std::function<void()> m_run;

    bool operator<(const Event &Other) const {
      return std::pair(m_time, m_order) >
             std::pair(Other.m_time, Other.m_order);
    }
  };

  void at(double Delay, std::function<void()> Run) {
    m_events.push({m_now + Delay, m_order++, std::move(Run)});
  }

  TimePoint now() const {
    constexpr double NanosPerMilli = 1e6;
    return TimePoint(std::chrono::nanoseconds(
        static_cast<std::int64_t>((m_now + 1000) * NanosPerMilli)));
  }

  double exponential(double Mean) {
    return std::exponential_distribution<double>(1 / Mean)(m_random);
  }

  int below(int Bound) {
    return std::uniform_int_distribution<int>(0, Bound - 1)(m_random);
  }

  ServerLimit limitOf(int Server, std::size_t Process) const {
    if (m_setup.m_policy < LimitPolicy::FixedShares)
      return {m_setup.m_policy, Slots};
    constexpr std::size_t AllSlots = std::size_t{Servers} * Slots;
    const std::size_t FirstSlot = static_cast<std::size_t>(Server) * Slots;
    return {m_setup.m_policy,
            shareOf(FirstSlot, Slots, {AllSlots, Process, m_processes.size()})};
  }

  void arrive() {
    at(exponential(WorkMs / (Servers * Slots * m_setup.m_load)),
       [this] { arrive(); });
    ++m_figures.m_offered;
    const int Callees = m_setup.m_trouble == Trouble::Skewed
                            ? m_setup.m_processes / 3
                            : m_setup.m_processes;
    Call One{m_now, static_cast<std::size_t>(below(Callees))};
    m_processes[One.m_process].m_budget.noteRequest();
    if (!tryDispatch(One))
      wait(One);
  }

  void wait(const Call &One) {
    Process &Home = m_processes[One.m_process];
    if (Home.m_waiting.size() >= m_maxWaiting) {
      ++m_figures.m_refused;
      return;
    }
    Home.m_waiting.push_back(One);
    poll(One.m_process);
  }

  void poll(std::size_t Index) {
    Process &Home = m_processes[Index];
    if (Home.m_hasPoll)
      return;
    Home.m_hasPoll = true;
    at(PollMs, [this, Index] {
      m_processes[Index].m_hasPoll = false;
      serveWaiting(Index);
    });
  }

  void serveWaiting(std::size_t Index) {
    Process &Home = m_processes[Index];
    while (!Home.m_waiting.empty()) {
      Call One = Home.m_waiting.front();
      if (m_now - One.m_arrived > MaxWaitMs)
        ++m_figures.m_refused;
      else if (!tryDispatch(One))
        break;
      Home.m_waiting.pop_front();
    }
    if (!Home.m_waiting.empty())
      poll(Index);
  }

  /// Of the servers with room, takes the less used of two at random.
  std::optional<int> choose(const Call &One, bool IsBorrowed) {
    const Process &Home = m_processes[One.m_process];
    const auto LimitOf = [&](int Server) {
      return IsBorrowed ? ServerLimit{LimitPolicy::RestAfterRefusal, Slots}
                        : limitOf(Server, One.m_process);
    };
    std::vector<int> Room;
    for (int I = 0; I < Servers; ++I)
      if (I != One.m_exclude &&
          hasRoom(Home.m_use[static_cast<std::size_t>(I)], LimitOf(I), now()))
        Room.push_back(I);
    if (Room.empty())
      return std::nullopt;
    const auto Busy = [&](int Server) {
      return knownBusy(Home.m_use[static_cast<std::size_t>(Server)],
                       LimitOf(Server), now());
    };
    const int First =
        Room[static_cast<std::size_t>(below(static_cast<int>(Room.size())))];
    const int Second =
        Room[static_cast<std::size_t>(below(static_cast<int>(Room.size())))];
    return Busy(First) <= Busy(Second) ? First : Second;
  }

  bool tryDispatch(Call One) {
    std::optional<int> Server = choose(One, false);
    RetryBudget &Budget = m_processes[One.m_process].m_budget;
    if (!Server && m_setup.m_policy == LimitPolicy::LentShares &&
        !One.m_hasToken && Budget.take()) {
      Server = choose(One, true);
      One.m_hasToken = Server.has_value();
      if (!Server)
        Budget.giveBack();
    } else if (Server) {
      One.m_hasToken = false;
    }
    if (!Server)
      return false;
    ++m_processes[One.m_process]
          .m_use[static_cast<std::size_t>(*Server)]
          .m_inFlight;
    ++m_figures.m_dispatches;
    ++One.m_attempts;
    at(OneWayMs, [this, One, Server] { atServer(One, *Server); });
    return true;
  }

  void atServer(const Call &One, int Server) {
    int &Busy = m_busy[static_cast<std::size_t>(Server)];
    const bool IsTroubled = Server == 0;
    if (Busy >= Slots ||
        (IsTroubled && m_setup.m_trouble == Trouble::Shedding)) {
      ++m_figures.m_sheds;
      at(OneWayMs, [this, One, Server] { onRefusal(One, Server); });
      return;
    }
    ++Busy;
    double Time = exponential(WorkMs);
    constexpr double Slower = 4;
    constexpr double ColdMs = 5000;
    if (IsTroubled && (m_setup.m_trouble == Trouble::Slow ||
                       (m_setup.m_trouble == Trouble::Cold && m_now < ColdMs)))
      Time *= Slower;
    m_figures.m_busyMs[static_cast<std::size_t>(Server)] += Time;
    at(Time, [this, One, Server] {
      const int Left = --m_busy[static_cast<std::size_t>(Server)];
      at(OneWayMs, [this, One, Server, Left] { onAnswer(One, Server, Left); });
    });
  }

  ServerUse &endDispatch(const Call &One, int Server) {
    ServerUse &Use =
        m_processes[One.m_process].m_use[static_cast<std::size_t>(Server)];
    --Use.m_inFlight;
    return Use;
  }

  void onAnswer(const Call &One, int Server, int Left) {
    noteOccupancy(endDispatch(One, Server), Left, now());
    if (One.m_hasToken)
      m_processes[One.m_process].m_budget.giveBack();
    m_figures.m_latencies.push_back(m_now - One.m_arrived);
    serveWaiting(One.m_process);
  }

  void onRefusal(Call One, int Server) {
    noteRefusal(endDispatch(One, Server), now());
    One.m_exclude = Server;
    if (One.m_attempts < MaxAttempts &&
        (One.m_hasToken || m_processes[One.m_process].m_budget.take())) {
      One.m_hasToken = true;
      if (!tryDispatch(One))
        wait(One);
      return;
    }
    ++m_figures.m_refused;
  }

  const Setup m_setup;
  std::vector<Process> m_processes;
  const std::size_t m_maxWaiting;
  std::vector<int> m_busy = std::vector<int>(Servers);
  std::mt19937_64 m_random{Seed};
  std::priority_queue<Event> m_events;
  std::uint64_t m_order = 0;
  double m_now = 0;
  Figures m_figures;
};

double percentile(std::vector<double> Sorted, double Share) {
  if (Sorted.empty())
    return 0;
  std::sort(Sorted.begin(), Sorted.end());
  const double Rank = Share * static_cast<double>(Sorted.size() - 1);
  return Sorted[static_cast<std::size_t>(Rank)];
}

const char *toText(LimitPolicy Policy) {
  switch (Policy) {
  case LimitPolicy::LocalCounts:
    return "local";
  case LimitPolicy::RestAfterRefusal:
    return "rest";
  case LimitPolicy::ReportedOccupancy:
    return "reported";
  case LimitPolicy::FixedShares:
    return "shares";
  case LimitPolicy::LentShares:
    break;
  }
  return "lent";
}

const char *toText(Trouble Kind) {
  constexpr const char *Names[] = {"none", "cold", "slow", "shedding",
                                   "skewed"};
  return Names[static_cast<int>(Kind)];
}

void print(const Setup &One, const Figures &Got) {
  constexpr double MillisPerSecond = 1000;
  constexpr double Percent = 100;
  const double Most =
      *std::max_element(Got.m_busyMs.begin(), Got.m_busyMs.end());
  double Sum = 0;
  for (const double Busy : Got.m_busyMs)
    Sum += Busy;
  const double Offered = Got.m_offered;
  std::printf("%-8s %-9s %3d %4.0f%% %8.1f %7.1f %7.1f %6.2f %7.2f%% %6.3f\n",
              toText(One.m_trouble), toText(One.m_policy), One.m_processes,
              One.m_load * Percent,
              static_cast<double>(Got.m_latencies.size()) /
                  (EndMs / MillisPerSecond),
              percentile(Got.m_latencies, 0.5),
              percentile(Got.m_latencies, 0.99), Most * Servers / Sum,
              Got.m_refused * Percent / Offered, Got.m_dispatches / Offered);
}

void runAll() {
  std::printf("trouble  policy    proc load  goodput  p50_ms  p99_ms  imbal "
              "refused  dispatches/request\n");
  for (const Trouble Kind : {Trouble::None, Trouble::Cold, Trouble::Slow,
                             Trouble::Shedding, Trouble::Skewed})
    for (const int Processes : {3, 12})
      for (const double Load : {0.5, 0.9, 1.0, 1.5})
        for (const LimitPolicy Policy :
             {LimitPolicy::LocalCounts, LimitPolicy::RestAfterRefusal,
              LimitPolicy::ReportedOccupancy, LimitPolicy::FixedShares,
              LimitPolicy::LentShares}) {
          const Setup One{Policy, Processes, Load, Kind};
          print(One, Simulation(One).run());
        }
}

} // namespace
} // namespace tamarackdrum

int main() { tamarackdrum::runAll(); }
