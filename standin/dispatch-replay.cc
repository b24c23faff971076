#include "dispatch-replay.h"

#include "tamarackdrum/gateway/edge-server.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>

namespace tamarackdrum::replay {
namespace {

using namespace gateway;

constexpr double TickMs = 40; ///< As in the gateway.
constexpr double WorstSpanMs = 5000;
/// Part of its remaining time that a client waits before it comes back.
constexpr double LongestReturnShare = 1.0 / 3;

/// One try of a client, from its arrival at a host to its end there.
struct Try {
  std::size_t m_request = 0;
  std::size_t m_host = 0;
  unsigned m_number = 0; ///< 0 for the first.
  double m_startedAt = 0;
  double m_endsAt = 0; ///< Deadline or timeout.
  unsigned m_dispatches = 0;
  bool m_wasRun = false;
  bool m_isOver = false;
  bool m_isRunning = false;
  std::vector<std::string> m_tried;
  std::string m_server;
  double m_sentAt = 0;
  std::uint32_t m_ticket = 0;
};

struct Job {
  std::size_t m_try = 0;
  double m_workMs = 0;
  double m_endsAt = 0;
};

struct ServerState {
  const SimulatedServer *m_server = nullptr;
  std::size_t m_index = 0;
  unsigned m_running = 0;
  std::deque<Job> m_queue;
};

struct RequestState {
  bool m_isServed = false;
  bool m_isDone = false;
};

/// Plays one trace. Time is in milliseconds from its start.
class Player {
public:
  Player(const Trace &Load, const ReplayPolicy &Policy)
      : m_load(Load), m_policy(Policy), m_random(7),
        m_dispatcher(Policy.m_dispatch), m_requests(Load.m_arrivals.size()) {
    for (std::size_t I = 0; I < Load.m_servers.size(); ++I)
      m_servers[Load.m_servers[I].m_entry.m_id] = {
          &Load.m_servers[I], I, 0, {}};
    for (const Arrival &Item : Load.m_arrivals)
      m_zones.insert(Item.m_zone);
    const double Last =
        Load.m_arrivals.empty()
            ? 0
            : static_cast<double>(Load.m_arrivals.back().m_at.count());
    m_result.m_windows.resize(static_cast<std::size_t>(Last / 1000) + 1);
  }

  ReplayResult play() {
    std::vector<ServerEntry> Entries;
    for (const SimulatedServer &Item : m_load.m_servers)
      Entries.push_back(Item.m_entry);
    DispatchDecisions Made;
    m_dispatcher.setServers(Entries, time(0), Made);
    if (!m_load.m_keys.holdings().empty())
      m_dispatcher.setKeyMap(m_load.m_keys, time(0), Made);
    for (std::size_t I = 0; I < m_load.m_arrivals.size(); ++I)
      at(static_cast<double>(m_load.m_arrivals[I].m_at.count()),
         [this, I] { arrive(I, 0); });
    const double End = m_load.m_arrivals.empty()
                           ? 0
                           : m_load.m_arrivals.back().m_at.count() +
                                 2.0 * m_load.m_deadline.count();
    for (double Tick = TickMs; Tick < End; Tick += TickMs)
      at(Tick, [this] { tick(); });
    while (!m_events.empty()) {
      const Event Next = m_events.top();
      m_events.pop();
      m_now = Next.m_at;
      Next.m_action();
    }
    finish();
    return m_result;
  }

private:
  struct Event {
    double m_at;
    std::uint64_t m_order;
    std::function<void()> m_action;
    bool operator<(const Event &Other) const {
      return m_at != Other.m_at ? m_at > Other.m_at : m_order > Other.m_order;
    }
  };

  static TimePoint time(double Ms) {
    // An hour after the start of the clock: no time is taken for "never".
    return TimePoint(std::chrono::hours(1)) +
           std::chrono::nanoseconds(static_cast<std::int64_t>(Ms * 1e6));
  }
  TimePoint now() const { return time(m_now); }
  static Millis millis(double Ms) {
    return Millis(static_cast<std::int64_t>(Ms));
  }

  void at(double When, std::function<void()> Action) {
    m_events.push({When, ++m_order, std::move(Action)});
  }

  double deadlineOf(std::size_t Request) const {
    const Arrival &Item = m_load.m_arrivals[Request];
    double Out = static_cast<double>(Item.m_at.count()) +
                 static_cast<double>(m_load.m_deadline.count());
    if (Item.m_leavesAfter)
      Out = std::min(Out, static_cast<double>(Item.m_at.count() +
                                              Item.m_leavesAfter->count()));
    return Out;
  }

  double wayMs(const std::string &A, const std::string &B) const {
    return A == B ? m_policy.m_inZoneMs : m_policy.m_crossZoneMs;
  }

  void arrive(std::size_t Request, unsigned Number) {
    const std::size_t Id = m_tries.size();
    Try Item;
    Item.m_request = Request;
    Item.m_number = Number;
    Item.m_host = m_random() % m_policy.m_hostsPerZone;
    Item.m_startedAt = m_now;
    Item.m_endsAt =
        std::min(deadlineOf(Request),
                 m_now + static_cast<double>(m_load.m_timeout.count()));
    m_tries.push_back(Item);
    at(Item.m_endsAt + 1, [this, Id] { expire(Id); });
    ask(Id);
  }

  /// The client leaves, or the route's time is over.
  void expire(std::size_t Id) {
    Try &Item = m_tries[Id];
    if (Item.m_isOver)
      return;
    Item.m_isOver = true;
    if (m_policy.m_decider == Decider::Dispatcher && !Item.m_isRunning)
      m_dispatcher.withdraw({0, Item.m_ticket});
    for (Waiting &Other : m_firstCome)
      if (Other.m_try == Id)
        Other.m_isGone = true;
  }

  std::string hostName(const Try &Item) const {
    return m_load.m_arrivals[Item.m_request].m_zone + "/" +
           std::to_string(Item.m_host);
  }

  void ask(std::size_t Id) {
    const Try &Item = m_tries[Id];
    switch (m_policy.m_decider) {
    case Decider::Dispatcher: {
      // The dispatcher stands in the first zone.
      const double Way =
          wayMs(m_load.m_arrivals[Item.m_request].m_zone, *m_zones.begin());
      m_result.m_messages += 3; // Ask, decision, report.
      at(m_now + Way, [this, Id] { askDispatcher(Id); });
      return;
    }
    case Decider::FirstCome:
      m_firstCome.push_back({Id, false});
      drainFirstCome();
      return;
    case Decider::RandomTwoLocal:
      sendToBetterOfTwo(Id);
      return;
    }
  }

  void askDispatcher(std::size_t Id) {
    Try &Item = m_tries[Id];
    if (Item.m_isOver)
      return;
    const Arrival &From = m_load.m_arrivals[Item.m_request];
    DispatchAsk Ask;
    Item.m_ticket = ++m_tickets;
    m_byTicket[Item.m_ticket] = Id;
    Ask.m_ticket = {0, Item.m_ticket};
    Ask.m_zone = From.m_zone;
    Ask.m_key = From.m_key;
    Ask.m_isRepeat = Item.m_dispatches > 0;
    Ask.m_objectiveLeft = millis(std::max(
        0.0, From.m_at.count() +
                 static_cast<double>(m_load.m_objective.count()) - m_now));
    Ask.m_timeLeft = millis(Item.m_endsAt - m_now);
    Ask.m_tried = Item.m_tried;
    DispatchDecisions Made;
    m_dispatcher.ask(Ask, now(), Made);
    deliver(Made);
  }

  void deliver(const DispatchDecisions &Made) {
    for (const DispatchDecision &Item : Made) {
      const auto Found = m_byTicket.find(Item.m_ticket.m_number);
      if (Found == m_byTicket.end())
        continue;
      const std::size_t Id = Found->second;
      const std::string &Zone = m_load.m_arrivals[m_tries[Id].m_request].m_zone;
      const double Way = wayMs(Zone, *m_zones.begin());
      if (!Item.m_server.empty())
        m_tries[Id].m_isRunning = true;
      at(m_now + Way, [this, Id, Item] {
        if (Item.m_server.empty())
          refuse(Id, Item.m_retryAfter.count());
        else
          send(Id, Item.m_server);
      });
    }
  }

  void tick() {
    if (m_policy.m_decider != Decider::Dispatcher)
      return;
    DispatchDecisions Made;
    m_dispatcher.tick(now(), Made);
    deliver(Made);
  }

  void sendToBetterOfTwo(std::size_t Id) {
    const Try &Item = m_tries[Id];
    const std::string Host = hostName(Item);
    const SimulatedServer *Best = nullptr;
    for (int I = 0; I < 2; ++I) {
      const SimulatedServer &Other =
          m_load.m_servers[m_random() % m_load.m_servers.size()];
      if (Best == nullptr || m_local[{Host, Other.m_entry.m_id}] <
                                 m_local[{Host, Best->m_entry.m_id}])
        Best = &Other;
    }
    const std::optional<Key> Wanted = m_load.m_arrivals[Item.m_request].m_key;
    const std::string Server =
        Wanted ? m_load.m_keys.holderOf(*Wanted) : Best->m_entry.m_id;
    ++m_local[{Host, Server}];
    send(Id, Server);
  }

  void drainFirstCome() {
    while (!m_firstCome.empty()) {
      if (m_firstCome.front().m_isGone) {
        m_firstCome.pop_front();
        continue;
      }
      const std::size_t Id = m_firstCome.front().m_try;
      std::string Chosen;
      for (const auto &[Name, State] : m_servers)
        if (m_given[Name] < State.m_server->m_entry.m_slots &&
            (Chosen.empty() || m_given[Name] < m_given[Chosen]))
          Chosen = Name;
      if (Chosen.empty())
        return;
      m_firstCome.pop_front();
      ++m_given[Chosen];
      send(Id, Chosen);
    }
  }

  void send(std::size_t Id, const std::string &Server) {
    Try &Item = m_tries[Id];
    Item.m_server = Server;
    Item.m_sentAt = m_now;
    Item.m_isRunning = true;
    if (Item.m_isOver) {
      report(Id, DispatchResult::Withdrawn);
      return;
    }
    ++m_result.m_dispatches;
    const std::string &Zone = m_load.m_arrivals[Item.m_request].m_zone;
    const SimulatedServer &Target = *m_servers.at(Server).m_server;
    if (Zone != Target.m_entry.m_zone)
      ++m_result.m_otherZone;
    at(m_now + wayMs(Zone, Target.m_entry.m_zone),
       [this, Id, Server] { reach(Id, Server); });
  }

  std::optional<double> faultAt(const ServerState &State, Fault Kind) const {
    for (const FaultSpan &Item : m_load.m_faults)
      if (Item.m_fault == Kind && m_now >= Item.m_from.count() &&
          m_now < Item.m_to.count() &&
          std::find(Item.m_servers.begin(), Item.m_servers.end(),
                    State.m_index) != Item.m_servers.end())
        return Item.m_factor;
    return std::nullopt;
  }

  bool happens(std::optional<double> Share) {
    return Share && std::uniform_real_distribution<>()(m_random) < *Share;
  }

  void reach(std::size_t Id, const std::string &Server) {
    ServerState &State = m_servers.at(Server);
    if (faultAt(State, Fault::Down)) {
      answer(Id, DispatchResult::Unreachable);
      return;
    }
    if (happens(faultAt(State, Fault::Shed))) {
      answer(Id, DispatchResult::Refused);
      return;
    }
    const Try &Item = m_tries[Id];
    double Work =
        m_load.m_arrivals[Item.m_request].m_workMs / State.m_server->m_speed;
    Work *= faultAt(State, Fault::Slow).value_or(1);
    if (happens(faultAt(State, Fault::Mute)))
      Work = 1e9;
    if (State.m_running < State.m_server->m_entry.m_slots) {
      start(State, {Id, Work, Item.m_endsAt});
    } else if (State.m_queue.size() < State.m_server->m_queue) {
      State.m_queue.push_back({Id, Work, Item.m_endsAt});
    } else {
      answer(Id, State.m_server->m_resetsWhenFull ? DispatchResult::Broken
                                                  : DispatchResult::Refused);
    }
  }

  void start(ServerState &State, const Job &Work) {
    ++State.m_running;
    const bool IsWhole = m_now + Work.m_workMs <= Work.m_endsAt;
    const double End = IsWhole ? m_now + Work.m_workMs : Work.m_endsAt;
    const double Done = End - m_now;
    m_result.m_busyMs += Done;
    const std::string Server = State.m_server->m_entry.m_id;
    at(End, [this, Work, Done, Server, IsWhole] {
      ServerState &Ended = m_servers.at(Server);
      --Ended.m_running;
      answer(Work.m_try,
             IsWhole ? DispatchResult::Served : DispatchResult::TimedOut);
      if (!IsWhole || m_tries[Work.m_try].m_isOver)
        m_result.m_wastedMs += Done;
      while (!Ended.m_queue.empty()) {
        const Job Next = Ended.m_queue.front();
        Ended.m_queue.pop_front();
        if (m_now < Next.m_endsAt) {
          start(Ended, Next);
          break;
        }
        answer(Next.m_try, DispatchResult::Refused);
      }
    });
  }

  /// An answer leaves the server.
  void answer(std::size_t Id, DispatchResult Outcome) {
    const Try &Item = m_tries[Id];
    const std::string &Zone = m_load.m_arrivals[Item.m_request].m_zone;
    const double Way =
        wayMs(Zone, m_servers.at(Item.m_server).m_server->m_entry.m_zone);
    at(m_now + Way, [this, Id, Outcome] { end(Id, Outcome); });
  }

  void report(std::size_t Id, DispatchResult Outcome) {
    Try &Item = m_tries[Id];
    Item.m_isRunning = false;
    const Millis Took = millis(m_now - Item.m_sentAt);
    const std::string Server = Item.m_server;
    switch (m_policy.m_decider) {
    case Decider::Dispatcher: {
      const double Way =
          wayMs(m_load.m_arrivals[Item.m_request].m_zone, *m_zones.begin());
      const std::uint32_t Ticket = Item.m_ticket;
      at(m_now + Way, [this, Ticket, Outcome, Took] {
        DispatchDecisions Made;
        m_dispatcher.finish({0, Ticket}, Outcome, Took, now(), Made);
        deliver(Made);
      });
      return;
    }
    case Decider::FirstCome:
      --m_given[Server];
      drainFirstCome();
      return;
    case Decider::RandomTwoLocal:
      --m_local[{hostName(Item), Server}];
      return;
    }
  }

  void end(std::size_t Id, DispatchResult Outcome) {
    Try &Item = m_tries[Id];
    if (Outcome != DispatchResult::Unreachable)
      ++Item.m_dispatches;
    const bool IsNotRun = Outcome == DispatchResult::Refused ||
                          Outcome == DispatchResult::Unreachable;
    Item.m_wasRun = Item.m_wasRun || !IsNotRun;
    report(Id, Outcome);
    if (Item.m_isOver)
      return;
    if (Outcome == DispatchResult::Served) {
      Item.m_isOver = true;
      serve(Item);
      return;
    }
    Item.m_tried.push_back(Item.m_server);
    if (m_now < Item.m_endsAt &&
        mayDispatchAgain(m_load.m_kind, Outcome, Item.m_wasRun,
                         Item.m_dispatches, m_load.m_attempts)) {
      ask(Id);
      return;
    }
    constexpr double ServerRetryAfterMs = 200; // As in the gateway.
    if (IsNotRun && !Item.m_wasRun)
      refuse(Id, ServerRetryAfterMs);
    else
      fail(Id);
  }

  void serve(const Try &Item) {
    RequestState &State = m_requests[Item.m_request];
    if (State.m_isDone)
      return;
    State = {true, true};
    const Arrival &From = m_load.m_arrivals[Item.m_request];
    const bool IsInTime =
        m_now - From.m_at.count() <= m_load.m_objective.count();
    (IsInTime ? m_result.m_inTime : m_result.m_late) += 1;
    ReplayWindow &Window = windowOf(From);
    (IsInTime ? Window.m_inTime : Window.m_late) += 1;
  }

  ReplayWindow &windowOf(const Arrival &From) {
    return m_result.m_windows[From.m_at.count() / 1000];
  }

  bool comesBack(const Try &Item) const {
    const Arrival &From = m_load.m_arrivals[Item.m_request];
    const unsigned Most = From.m_isAbusive ? 3 : m_load.m_retries;
    return Item.m_number < Most;
  }

  void refuse(std::size_t Id, double RetryAfterMs) {
    Try &Item = m_tries[Id];
    if (Item.m_isOver)
      return;
    Item.m_isOver = true;
    const Arrival &From = m_load.m_arrivals[Item.m_request];
    const double Left = deadlineOf(Item.m_request) - m_now;
    if (!comesBack(Item)) {
      RequestState &State = m_requests[Item.m_request];
      if (!State.m_isDone && !From.m_leavesAfter) {
        ++m_result.m_refused;
        m_result.m_refusedAgain += Item.m_number > 0 ? 1 : 0;
      }
      State.m_isDone = true;
      return;
    }
    const double Pause =
        From.m_isAbusive ? 1
                         : std::min(RetryAfterMs, Left * LongestReturnShare);
    at(m_now + Pause,
       [this, Request = Item.m_request, Number = Item.m_number + 1] {
         arrive(Request, Number);
       });
  }

  void fail(std::size_t Id) {
    Try &Item = m_tries[Id];
    Item.m_isOver = true;
    if (m_load.m_kind == RequestKind::Safe && comesBack(Item))
      at(m_now + 1, [this, Request = Item.m_request,
                     Number = Item.m_number + 1] { arrive(Request, Number); });
  }

  void finish() {
    for (std::size_t I = 0; I < m_requests.size(); ++I) {
      const Arrival &From = m_load.m_arrivals[I];
      if (From.m_leavesAfter && !m_requests[I].m_isServed)
        continue;
      ++m_result.m_owed;
      ++windowOf(From).m_owed;
    }
    m_result.m_failed = m_result.m_owed - m_result.m_inTime - m_result.m_late -
                        m_result.m_refused;
  }

  struct Waiting {
    std::size_t m_try;
    bool m_isGone;
  };

  const Trace &m_load;
  const ReplayPolicy &m_policy;
  std::mt19937_64 m_random;
  Dispatcher m_dispatcher;
  std::set<std::string> m_zones;
  std::map<std::string, ServerState> m_servers;
  std::deque<Try> m_tries;
  std::vector<RequestState> m_requests;
  std::map<std::uint32_t, std::size_t> m_byTicket;
  std::uint32_t m_tickets = 0;
  std::deque<Waiting> m_firstCome;
  std::map<std::string, unsigned> m_given;
  std::map<std::pair<std::string, std::string>, unsigned> m_local;
  std::priority_queue<Event> m_events;
  std::uint64_t m_order = 0;
  double m_now = 0;
  ReplayResult m_result;
};

std::vector<std::size_t> everyNth(std::size_t Count, std::size_t Step) {
  std::vector<std::size_t> Out;
  for (std::size_t I = 0; I < Count; I += Step)
    Out.push_back(I);
  return Out;
}

/// Adds to the load of a span by repeating what arrives in it.
void multiply(Trace &Load, Millis From, Millis To, double Factor,
              std::mt19937_64 &Random) {
  std::vector<Arrival> Added;
  for (const Arrival &Item : Load.m_arrivals) {
    if (Item.m_at < From || Item.m_at >= To)
      continue;
    double Copies = Factor - 1;
    for (; Copies > 0; Copies -= 1) {
      if (Copies < 1 && std::uniform_real_distribution<>()(Random) > Copies)
        break;
      Arrival Copy = Item;
      Copy.m_at = std::clamp(Item.m_at + Millis(Random() % 100), From, To);
      Added.push_back(Copy);
    }
  }
  Load.m_arrivals.insert(Load.m_arrivals.end(), Added.begin(), Added.end());
  std::stable_sort(
      Load.m_arrivals.begin(), Load.m_arrivals.end(),
      [](const Arrival &A, const Arrival &B) { return A.m_at < B.m_at; });
}

} // namespace

const char *toText(Decider Value) noexcept {
  switch (Value) {
  case Decider::Dispatcher:
    return "dispatcher";
  case Decider::FirstCome:
    return "first-come";
  case Decider::RandomTwoLocal:
    return "random-two-local";
  }
  return "unknown";
}

Trace makeTrace(const TraceOptions &Options) {
  constexpr std::array<double, 4> Speeds{0.6, 1.0, 1.0, 1.4};
  constexpr double WavePeriodMs = 11000;
  std::mt19937_64 Random(Options.m_seed);
  Trace Out;
  Out.m_name = "calm";
  double Capacity = 0; // Requests a second.
  for (const std::string &Zone : Options.m_zones)
    for (std::size_t I = 0; I < Options.m_serversPerZone; ++I) {
      SimulatedServer Server;
      Server.m_entry.m_id = Zone + "-" + std::to_string(I);
      Server.m_entry.m_service = "replayed";
      Server.m_entry.m_zone = Zone;
      Server.m_entry.m_slots = Options.m_slots;
      Server.m_entry.m_bornMs = 1;
      Server.m_speed = Speeds[I % Speeds.size()];
      Capacity += Options.m_slots * Server.m_speed * 1000 / Options.m_workMs;
      Out.m_servers.push_back(std::move(Server));
    }
  const double PerZone =
      Options.m_load * Capacity / static_cast<double>(Options.m_zones.size());
  std::lognormal_distribution<> Work(
      std::log(Options.m_workMs) - Options.m_spread * Options.m_spread / 2,
      Options.m_spread);
  for (std::size_t Z = 0; Z < Options.m_zones.size(); ++Z) {
    double At = 0;
    while (true) {
      const double Phase =
          2 * M_PI *
          (At / WavePeriodMs + static_cast<double>(Z) /
                                   static_cast<double>(Options.m_zones.size()));
      const double Rate =
          PerZone * (1 + Options.m_unevenness * std::sin(Phase));
      At += std::exponential_distribution<>(Rate / 1000)(Random);
      if (At >= static_cast<double>(Options.m_length.count()))
        break;
      Arrival Item;
      Item.m_at = Millis(static_cast<std::int64_t>(At));
      Item.m_zone = Options.m_zones[Z];
      Item.m_workMs = Work(Random);
      Out.m_arrivals.push_back(std::move(Item));
    }
  }
  std::stable_sort(
      Out.m_arrivals.begin(), Out.m_arrivals.end(),
      [](const Arrival &A, const Arrival &B) { return A.m_at < B.m_at; });
  return Out;
}

const std::vector<std::string> &patternNames() {
  static const std::vector<std::string> Names{
      "calm", "burst", "abuse", "leavers", "slow",    "shed",
      "down", "mute",  "shift", "keyed",   "hot-key", "shed-keyed"};
  return Names;
}

Trace makePattern(const std::string &Name, const TraceOptions &Options) {
  Trace Out = makeTrace(Options);
  Out.m_name = Name;
  std::mt19937_64 Random(Options.m_seed + 1);
  const std::size_t Count = Out.m_servers.size();
  const Millis From(Options.m_length / 3);
  const Millis To(Options.m_length * 2 / 3);
  const auto Share = [&Random](double Part) {
    return std::uniform_real_distribution<>()(Random) < Part;
  };
  if (Name == "keyed" || Name == "hot-key" || Name == "shed-keyed") {
    // Keys are dealt out in proportion to speed, as the granter does.
    double Total = 0;
    for (const SimulatedServer &Server : Out.m_servers)
      Total += Server.m_speed;
    std::vector<KeyHolding> Holdings;
    double Sum = 0;
    std::uint32_t First = 0;
    for (const SimulatedServer &Server : Out.m_servers) {
      Sum += Server.m_speed;
      const std::uint32_t End =
          static_cast<std::uint32_t>(std::lround(KeyCount * Sum / Total));
      Holdings.push_back({static_cast<Key>(First), static_cast<Key>(End - 1),
                          Server.m_entry.m_id});
      First = End;
    }
    Out.m_keys = KeyMap(1, std::move(Holdings));
    for (Arrival &Item : Out.m_arrivals) {
      const bool IsHot = Name == "hot-key" && Item.m_at >= From &&
                         Item.m_at < To && Share(0.2);
      Item.m_key = static_cast<Key>(IsHot ? 77 : Random() % KeyCount);
    }
  }
  if (Name == "burst")
    multiply(Out, From, From + (To - From) / 3, 1.7, Random);
  else if (Name == "abuse")
    for (Arrival &Item : Out.m_arrivals)
      Item.m_isAbusive = Item.m_at >= From && Item.m_at < To && Share(0.3);
  else if (Name == "leavers")
    for (Arrival &Item : Out.m_arrivals) {
      if (Item.m_at >= From && Item.m_at < To && Share(0.2))
        Item.m_leavesAfter = Out.m_objective / 2;
    }
  else if (Name == "tight")
    Out.m_timeout = Millis(static_cast<std::int64_t>(2.5 * Options.m_workMs));
  else if (Name == "shift")
    for (Arrival &Item : Out.m_arrivals) {
      const bool IsMoved = Item.m_at >= From && Item.m_at < To &&
                           Item.m_zone == Options.m_zones.front() && Share(0.5);
      if (IsMoved)
        Item.m_zone = Options.m_zones.back();
    }
  else if (Name == "slow")
    Out.m_faults.push_back({Fault::Slow, From, To, 5, everyNth(Count, 6)});
  else if (Name == "shed" || Name == "shed-keyed")
    Out.m_faults.push_back({Fault::Shed, From, To, 0.55, everyNth(Count, 1)});
  else if (Name == "down")
    Out.m_faults.push_back({Fault::Down, From, To, 1, everyNth(Count, 6)});
  else if (Name == "mute")
    Out.m_faults.push_back({Fault::Mute, From, To, 0.45, everyNth(Count, 6)});
  else if (std::find(patternNames().begin(), patternNames().end(), Name) ==
           patternNames().end())
    throw std::invalid_argument(Name);
  return Out;
}

double ReplayResult::inTimeShare() const {
  return m_owed == 0 ? 1 : static_cast<double>(m_inTime) / m_owed;
}

double ReplayResult::servedShare() const {
  return m_owed == 0 ? 1 : static_cast<double>(m_inTime + m_late) / m_owed;
}

double ReplayResult::credit(double LateWorth) const {
  return m_owed == 0 ? 1 : (m_inTime + LateWorth * m_late) / m_owed;
}

double ReplayResult::worstCredit(double LateWorth) const {
  constexpr std::size_t Span = static_cast<std::size_t>(WorstSpanMs / 1000);
  double Worst = 1;
  for (std::size_t I = 0; I + Span <= m_windows.size(); ++I) {
    ReplayResult Part;
    for (std::size_t J = I; J < I + Span; ++J) {
      Part.m_owed += m_windows[J].m_owed;
      Part.m_inTime += m_windows[J].m_inTime;
      Part.m_late += m_windows[J].m_late;
    }
    Worst = std::min(Worst, Part.credit(LateWorth));
  }
  return Worst;
}

double ReplayResult::otherZoneShare() const {
  return m_dispatches == 0 ? 0
                           : static_cast<double>(m_otherZone) / m_dispatches;
}

ReplayResult replay(const Trace &Load, const ReplayPolicy &Policy) {
  return Player(Load, Policy).play();
}

} // namespace tamarackdrum::replay
