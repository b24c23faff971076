#include "dispatch-replay.h"

#include "tamarackdrum/gateway/edge-server.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>

namespace tamarackdrum::replay {
namespace {

using namespace gateway;

constexpr double TickMs = 40;        ///< As in the gateway.
constexpr double GranterStepMs = 50; ///< As in the gateway.
constexpr double LeadMs = 5000;      ///< From the start to the first request.
constexpr double WriteMs = 8;        ///< A write of the store, there and back.
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
  std::optional<Key> m_key;
};

struct ServerState {
  const SimulatedServer *m_server = nullptr;
  std::size_t m_index = 0;
  unsigned m_running = 0;
  std::deque<Job> m_queue;
  std::vector<KeyRange> m_held;            ///< Granted and not released.
  std::multimap<double, Key> m_keysAtWork; ///< By the end of the work.
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
        m_dispatcher(Policy.m_dispatch),
        m_granter(Policy.m_grants, "granter", 1),
        m_requests(Load.m_arrivals.size()) {
    for (std::size_t I = 0; I < Load.m_servers.size(); ++I) {
      ServerState &State = m_servers[Load.m_servers[I].m_entry.m_id];
      State.m_server = &Load.m_servers[I];
      State.m_index = I;
    }
    for (const Arrival &Item : Load.m_arrivals)
      m_zones.insert(Item.m_zone);
    const double Last =
        Load.m_arrivals.empty() ? 0 : toMs(Load.m_arrivals.back().m_at);
    m_result.m_windows.resize(static_cast<std::size_t>(Last / 1000) + 1);
    m_asked.resize(m_result.m_windows.size());
  }

  ReplayResult play() {
    std::vector<ServerEntry> Entries;
    for (const SimulatedServer &Item : m_load.m_servers)
      Entries.push_back(Item.m_entry);
    DispatchDecisions Made;
    m_dispatcher.setServers(Entries, time(0), Made);
    if (m_load.m_isKeyed)
      dealKeys(Entries);
    for (std::size_t I = 0; I < m_load.m_arrivals.size(); ++I)
      at(static_cast<double>(m_load.m_arrivals[I].m_at.count()),
         [this, I] { arrive(I, 0); });
    const double End =
        m_load.m_arrivals.empty()
            ? 0
            : toMs(m_load.m_arrivals.back().m_at) + 2 * toMs(m_load.m_deadline);
    for (double Tick = TickMs; Tick < End; Tick += TickMs)
      at(Tick, [this] { tick(); });
    for (double Step = 0; Step < End && m_load.m_isKeyed; Step += GranterStepMs)
      at(Step, [this] { stepGranter(); });
    runEventsUpTo(std::numeric_limits<double>::infinity());
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

  void runEventsUpTo(double Until) {
    while (!m_events.empty() && m_events.top().m_at <= Until) {
      const Event Next = m_events.top();
      m_events.pop();
      m_now = Next.m_at;
      Next.m_action();
    }
  }

  /// Deals the keys out before the first request.
  void dealKeys(const std::vector<ServerEntry> &Servers) {
    m_granter.takeOver(
        {},
        [](const EarlierGranter &) {
          return EarlierGranterState::ProcessEnded;
        },
        TakeOverContext{}, time(-LeadMs));
    m_granter.setServers(Servers, time(-LeadMs));
    for (m_now = -LeadMs; m_now < 0; m_now += GranterStepMs) {
      runEventsUpTo(m_now);
      stepGranter();
    }
  }

  /// One step of the granter, whose records are always written.
  void stepGranter() {
    m_granter.onValidated(now());
    if (m_now < 0 || !m_policy.m_isPlacementFixed)
      m_granter.plan([this] { return m_dispatcher.keyDemand(now()); },
                     [this](const std::string &Server) {
                       return m_dispatcher.capacityOf(Server);
                     },
                     now());
    GrantActions Wanted = m_granter.step(now());
    if (Wanted.m_write) {
      ++m_result.m_writes;
      at(m_now + WriteMs,
         [this, AskedAt = now()] { m_granter.onWritten(AskedAt, now()); });
    }
    for (const GrantCall &Call : Wanted.m_calls)
      at(m_now + m_policy.m_crossZoneMs, [this, Call] { carryOut(Call); });
    DispatchDecisions Made;
    m_dispatcher.setKeyMap(m_granter.keyMap(now()), now(), Made);
    deliver(Made);
  }

  void carryOut(const GrantCall &Call) {
    ServerState &State = m_servers.at(Call.m_server.m_id);
    if (faultAt(State, Fault::Down)) {
      m_granter.onCallResult(Call.m_number, GrantResult::NotSent, "", now());
      return;
    }
    std::vector<KeyRange> Held;
    for (const KeyRange &Item : State.m_held) {
      const bool IsApart = Item.m_to < Call.m_from || Call.m_to < Item.m_from;
      if (IsApart || Item.m_from < Call.m_from)
        Held.push_back({Item.m_from,
                        IsApart ? Item.m_to : static_cast<Key>(Call.m_from - 1),
                        Item.m_server});
      if (!IsApart && Item.m_to > Call.m_to)
        Held.push_back(
            {static_cast<Key>(Call.m_to + 1), Item.m_to, Item.m_server});
    }
    State.m_held = std::move(Held);
    double AnsweredAt = m_now;
    if (Call.m_isRelease) {
      ++m_result.m_moves;
      m_result.m_keysMoved +=
          (Call.m_to - Call.m_from + 1.0) / static_cast<double>(KeyCount);
      for (const auto &[End, Value] : State.m_keysAtWork)
        if (Value >= Call.m_from && Value <= Call.m_to)
          AnsweredAt = std::max(AnsweredAt, End);
    } else {
      State.m_held.push_back({Call.m_from, Call.m_to, Call.m_server.m_id});
    }
    at(AnsweredAt + m_policy.m_crossZoneMs, [this, Call] {
      m_granter.onCallResult(Call.m_number, GrantResult::Done, "handover",
                             now());
    });
  }

  static bool holds(const ServerState &State, Key Value) {
    return std::any_of(State.m_held.begin(), State.m_held.end(),
                       [Value](const KeyRange &Item) {
                         return Item.m_from <= Value && Value <= Item.m_to;
                       });
  }

  static TimePoint time(double Ms) {
    // An hour after the start of the clock: no time is taken for "never".
    return TimePoint(std::chrono::hours(1)) +
           std::chrono::nanoseconds(static_cast<std::int64_t>(Ms * 1e6));
  }
  TimePoint now() const { return time(m_now); }
  static double toMs(Millis Value) {
    return static_cast<double>(Value.count());
  }
  static Millis millis(double Ms) {
    return Millis(static_cast<std::int64_t>(Ms));
  }

  void at(double When, std::function<void()> Action) {
    m_events.push({When, ++m_order, std::move(Action)});
  }

  double deadlineOf(std::size_t Request) const {
    const Arrival &Item = m_load.m_arrivals[Request];
    double Out = toMs(Item.m_at) + toMs(m_load.m_deadline);
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
        std::min(deadlineOf(Request), m_now + toMs(m_load.m_timeout));
    m_tries.push_back(Item);
    m_result.m_returns += Number > 0 ? 1 : 0;
    if (Number == 0 && m_load.m_isKeyed)
      noteDemand(m_load.m_arrivals[Request]);
    at(Item.m_endsAt + 1, [this, Id] { expire(Id); });
    ask(Id);
  }

  /// Adds the work of a request to the demand on the holder of its key.
  void noteDemand(const Arrival &From) {
    const std::string &Holder =
        m_dispatcher.keyMap().holderOf(From.m_key.value_or(0));
    const auto Found = m_servers.find(Holder);
    if (Found == m_servers.end())
      return;
    const SimulatedServer &Target = *Found->second.m_server;
    constexpr double MsPerWindow = 1000;
    m_asked[From.m_at.count() / 1000][Holder] +=
        From.m_workMs / (Target.m_speed * Target.m_entry.m_slots * MsPerWindow);
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
    DispatchRequest Ask;
    Item.m_ticket = ++m_tickets;
    m_byTicket[Item.m_ticket] = Id;
    Ask.m_id = {0, Item.m_ticket};
    Ask.m_zone = From.m_zone;
    Ask.m_route = From.m_route;
    Ask.m_key = From.m_key;
    Ask.m_priority = m_policy.m_isPriorityIgnored ? 0 : From.m_priority;
    Ask.m_isRetry = Item.m_dispatches > 0;
    Ask.m_objectiveLeft = millis(std::max(
        0.0, toMs(From.m_at) + toMs(m_load.objectiveOf(From)) - m_now));
    Ask.m_timeLeft = millis(Item.m_endsAt - m_now);
    Ask.m_triedServers = Item.m_tried;
    DispatchDecisions Made;
    m_dispatcher.submit(Ask, now(), Made);
    deliver(Made);
  }

  void deliver(const DispatchDecisions &Made) {
    for (const DispatchDecision &Item : Made) {
      const auto Found = m_byTicket.find(Item.m_id.m_number);
      if (Found == m_byTicket.end())
        continue;
      const std::size_t Id = Found->second;
      const std::string &Zone = m_load.m_arrivals[m_tries[Id].m_request].m_zone;
      const double Way = wayMs(Zone, *m_zones.begin());
      if (!Item.m_server.empty())
        m_tries[Id].m_isRunning = true;
      at(m_now + Way, [this, Id, Item] {
        if (Item.m_server.empty())
          refuse(Id, toMs(Item.m_retryAfter));
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
    ++m_local[{Host, Best->m_entry.m_id}];
    send(Id, Best->m_entry.m_id);
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
      if (Item.m_fault == Kind && m_now >= toMs(Item.m_from) &&
          m_now < toMs(Item.m_to) &&
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
    const std::optional<Key> Wanted = m_load.m_arrivals[Item.m_request].m_key;
    if (Wanted && !holds(State, *Wanted)) {
      ++m_result.m_notHeld;
      answer(Id, DispatchResult::NotHeld);
      return;
    }
    double Work =
        m_load.m_arrivals[Item.m_request].m_workMs / State.m_server->m_speed;
    Work *= faultAt(State, Fault::Slow).value_or(1);
    if (happens(faultAt(State, Fault::Mute)))
      Work = 1e9;
    if (State.m_running < State.m_server->m_entry.m_slots) {
      start(State, {Id, Work, Item.m_endsAt, Wanted});
    } else if (State.m_queue.size() < State.m_server->m_queue) {
      State.m_queue.push_back({Id, Work, Item.m_endsAt, Wanted});
    } else {
      answer(Id, State.m_server->m_resetsWhenFull
                     ? DispatchResult::ConnectionLost
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
    if (Work.m_key)
      State.m_keysAtWork.emplace(End, *Work.m_key);
    at(End, [this, Work, Done, Server, IsWhole] {
      ServerState &Ended = m_servers.at(Server);
      --Ended.m_running;
      Ended.m_keysAtWork.erase(Ended.m_keysAtWork.begin(),
                               Ended.m_keysAtWork.upper_bound(m_now));
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
                          Outcome == DispatchResult::NotHeld ||
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
        mayRetry(m_load.m_kind, Outcome, Item.m_wasRun, Item.m_dispatches,
                 m_load.m_attempts)) {
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
        m_now - toMs(From.m_at) <= toMs(m_load.objectiveOf(From));
    note(From, {0, IsInTime ? 1U : 0U, IsInTime ? 0U : 1U});
  }

  /// Adds to all figures that \p From belongs to.
  void note(const Arrival &From, const ReplayPart &Added) {
    static_cast<ReplayPart &>(m_result) += Added;
    m_result.m_windows[From.m_at.count() / 1000] += Added;
    m_result.m_byPriority[From.m_priority] += Added;
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
    ++m_result.m_refusals;
    m_result.m_returnsRefused += Item.m_number > 0 ? 1 : 0;
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
    for (const auto &ByServer : m_asked) {
      double &Busiest = m_result.m_busiest.emplace_back(0);
      for (const auto &[Server, Work] : ByServer)
        Busiest = std::max(Busiest, Work);
    }
    for (std::size_t I = 0; I < m_requests.size(); ++I) {
      const Arrival &From = m_load.m_arrivals[I];
      if (From.m_leavesAfter && !m_requests[I].m_isServed)
        continue;
      note(From, {1, 0, 0});
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
  KeyGranter m_granter;
  std::set<std::string> m_zones;
  std::map<std::string, ServerState> m_servers;
  std::deque<Try> m_tries;
  std::vector<RequestState> m_requests;
  /// By second: share of the time of a server that its requests ask for.
  std::vector<std::map<std::string, double>> m_asked;
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

double ReplayResult::inTimeShare() const {
  return m_owed == 0 ? 1 : static_cast<double>(m_inTime) / m_owed;
}

double ReplayResult::servedShare() const {
  return m_owed == 0 ? 1 : static_cast<double>(m_inTime + m_late) / m_owed;
}

double ReplayPart::credit(double LateWorth) const {
  return m_owed == 0 ? 1 : (m_inTime + LateWorth * m_late) / m_owed;
}

ReplayPart &ReplayPart::operator+=(const ReplayPart &Other) {
  m_owed += Other.m_owed;
  m_inTime += Other.m_inTime;
  m_late += Other.m_late;
  return *this;
}

double ReplayResult::firstCredit(double LateWorth) const {
  return m_byPriority.empty() ? 1
                              : m_byPriority.begin()->second.credit(LateWorth);
}

double ReplayResult::worstCredit(double LateWorth) const {
  constexpr std::size_t Span = static_cast<std::size_t>(WorstSpanMs / 1000);
  double Worst = 1;
  for (std::size_t I = 0; I + Span <= m_windows.size(); ++I) {
    ReplayPart Part;
    for (std::size_t J = I; J < I + Span; ++J)
      Part += m_windows[J];
    Worst = std::min(Worst, Part.credit(LateWorth));
  }
  return Worst;
}

ReplayResult &ReplayResult::operator+=(const ReplayResult &Other) {
  ReplayPart::operator+=(Other);
  m_refused += Other.m_refused;
  m_refusedAgain += Other.m_refusedAgain;
  m_failed += Other.m_failed;
  m_refusals += Other.m_refusals;
  m_returns += Other.m_returns;
  m_returnsRefused += Other.m_returnsRefused;
  m_moves += Other.m_moves;
  m_dispatches += Other.m_dispatches;
  m_otherZone += Other.m_otherZone;
  m_messages += Other.m_messages;
  m_busyMs += Other.m_busyMs;
  m_wastedMs += Other.m_wastedMs;
  m_notHeld += Other.m_notHeld;
  m_keysMoved += Other.m_keysMoved;
  m_writes += Other.m_writes;
  m_windows.resize(std::max(m_windows.size(), Other.m_windows.size()));
  for (std::size_t I = 0; I < Other.m_windows.size(); ++I)
    m_windows[I] += Other.m_windows[I];
  m_busiest.resize(std::max(m_busiest.size(), Other.m_busiest.size()));
  for (std::size_t I = 0; I < Other.m_busiest.size(); ++I)
    m_busiest[I] = std::max(m_busiest[I], Other.m_busiest[I]);
  for (const auto &[Priority, Part] : Other.m_byPriority)
    m_byPriority[Priority] += Part;
  return *this;
}

double ReplayResult::otherZoneShare() const {
  return m_dispatches == 0 ? 0
                           : static_cast<double>(m_otherZone) / m_dispatches;
}

ReplayResult replay(const Trace &Load, const ReplayPolicy &Policy) {
  return Player(Load, Policy).play();
}

} // namespace tamarackdrum::replay
