/// \file
/// Random failures of a small fake network against the lease protocol, on a
/// virtual clock: ownership stays exclusive and accepted changes stay in force.

#include "tamarackdrum/declaration.h"
#include "tamarackdrum/planner.h"
#include "tamarackdrum/routing.h"
#include "tamarackdrum/view-lease.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <functional>
#include <queue>
#include <random>

namespace tamarackdrum {
namespace {

constexpr std::size_t Slices = 4;
constexpr std::size_t Keys = 6;
constexpr std::size_t Servers = 3;
constexpr unsigned ServerSlots = 64;
constexpr unsigned ServerConnections = 640;
constexpr Millis TablePoll{250};
constexpr Millis DispatchInterval{25};
constexpr Millis LivenessLimit{3000};

/// One step of a scenario. Which of the numbers count depends on the kind.
struct Step {
  unsigned m_kind = 0;
  unsigned m_first = 0;
  unsigned m_second = 0;
  unsigned m_waitMs = 0;
};

void showValue(const Step &Value, std::ostream &Out) {
  Out << "{" << Value.m_kind << "," << Value.m_first << "," << Value.m_second
      << "," << Value.m_waitMs << "}";
}

rc::Gen<std::vector<Step>> genSteps() {
  using rc::gen::inRange;
  return rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(
      rc::gen::set(&Step::m_kind, inRange(0U, 14U)),
      rc::gen::set(&Step::m_first, inRange(0U, 60U)),
      rc::gen::set(&Step::m_second, inRange(0U, 60U)),
      rc::gen::set(&Step::m_waitMs,
                   rc::gen::oneOf(inRange(0U, 60U), inRange(0U, 700U)))));
}

/// One process of the fake network.
struct FakeProcess {
  std::string m_name;
  double m_rate = 1;
  std::uint64_t m_incarnation = 0;
  bool m_isFrozen = false;
  bool m_isTableCut = false;
  std::unique_ptr<ViewLease> m_lease;
  std::shared_ptr<Router> m_router;
  Generation m_seen = 0;
  Generation m_settled = 0;
  std::vector<std::function<void()>> m_inbox; ///< Kept while frozen.
};

/// One run of a request at a server, in true time.
struct KeyRun {
  std::size_t m_key;
  std::string m_server;
  TimePoint m_start;
  TimePoint m_end;
};

/// The network, the table and all processes. `m_fault` names the first
/// invariant that was broken.
class FakeNetwork {
public:
  FakeNetwork(std::size_t Count, std::uint32_t Seed) : m_random(Seed) {
    m_table.push_back(std::make_shared<const View>(firstView(Count)));
    for (std::size_t I = 0; I < Count; ++I) {
      FakeProcess &Added = m_processes.emplace_back();
      Added.m_name = "entry-" + std::to_string(I);
      Added.m_rate = 1 + (I % 2 == 0 ? 1 : -1) * m_timing.m_driftPerMille / 1e3;
    }
    m_cut.assign(Count, std::vector<bool>(Count, false));
    for (std::size_t I = 0; I < Count; ++I)
      restart(I);
  }

  void apply(const Step &Next) {
    const std::size_t First = Next.m_first % m_processes.size();
    const std::size_t Second = Next.m_second % m_processes.size();
    switch (Next.m_kind) {
    case 0:
      m_processes[First].m_isFrozen = true;
      break;
    case 1:
      thaw(First);
      break;
    case 2:
    case 3:
      restart(First);
      break;
    case 4:
      m_cut[First][Second] = true;
      break;
    case 5:
      split(Next.m_second);
      break;
    case 6:
      m_processes[First].m_isTableCut = true;
      break;
    case 7:
      for (std::size_t I = 0; I < m_processes.size(); ++I)
        m_processes[I].m_isTableCut = I != First;
      break;
    case 8:
      healNetwork();
      break;
    case 9:
      healTable();
      break;
    default:
      change(First, Next.m_second % Servers,
             Next.m_kind % 2 == 0 ? ServerAction::Recall
                                  : ServerAction::Restore);
    }
    runUntil(m_now + Millis(Next.m_waitMs));
  }

  /// Ends all faults, restores all servers and checks that every process
  /// serves every key again.
  void recover() {
    m_isLossy = false;
    healNetwork();
    healTable();
    for (std::size_t I = 0; I < m_processes.size(); ++I)
      thaw(I);
    for (std::size_t Server = 0; Server < Servers; ++Server)
      change(0, Server, ServerAction::Restore);
    runUntil(m_now + LivenessLimit);
    for (std::size_t I = 0; I < m_processes.size(); ++I)
      for (std::size_t Key = 0; Key < Keys; ++Key)
        if (!dispatch(I, Key))
          fail("a key is not served");
  }

  void checkOverlap() {
    std::sort(m_runs.begin(), m_runs.end(),
              [](const KeyRun &Left, const KeyRun &Right) {
                return std::tie(Left.m_key, Left.m_start) <
                       std::tie(Right.m_key, Right.m_start);
              });
    for (auto A = m_runs.begin(); A != m_runs.end(); ++A)
      for (auto B = A + 1;
           B != m_runs.end() && B->m_key == A->m_key && B->m_start < A->m_end;
           ++B)
        if (A->m_server != B->m_server)
          fail("two servers run one key at once");
  }

  std::string m_fault;
  std::size_t m_dispatches = 0;

private:
  struct Event {
    TimePoint m_at;
    std::uint64_t m_order;
    std::function<void()> m_run;
    bool operator>(const Event &Other) const {
      return std::tie(m_at, m_order) > std::tie(Other.m_at, Other.m_order);
    }
  };

  static View firstView(std::size_t Count) {
    View First;
    First.m_generation = 1;
    for (std::size_t I = 0; I < Count; ++I)
      First.m_members.push_back({"entry-" + std::to_string(I), "", ""});
    ClassTarget Target;
    Target.m_name = "stock";
    Target.m_keyed = true;
    Target.m_deadline = LeaseTiming{}.m_maxDispatch;
    First.m_classes.push_back(Target);
    for (std::size_t I = 0; I < Servers; ++I)
      // Room for every key at once: limits are not the subject.
      First.m_servers.push_back({"stock-" + std::to_string(I), "stock", "a",
                                 ServerSlots, ServerConnections});
    First.m_assignments.push_back(
        {"stock", std::vector<SliceRecord>(Slices), {}});
    return assignSlices(First);
  }

  void fail(const std::string &What) {
    if (m_fault.empty())
      m_fault = What;
  }

  std::int64_t below(std::int64_t Bound) {
    return std::uniform_int_distribution<std::int64_t>(0, Bound - 1)(m_random);
  }

  TimePoint local(const FakeProcess &At) const {
    return TimePoint(std::chrono::duration_cast<TimePoint::duration>(
        m_now.time_since_epoch() * At.m_rate));
  }

  void schedule(Millis After, std::function<void()> Run) {
    m_events.push({m_now + After, ++m_order, std::move(Run)});
  }

  void runUntil(TimePoint End) {
    while (!m_events.empty() && m_events.top().m_at <= End) {
      const Event Next = m_events.top();
      m_events.pop();
      m_now = Next.m_at;
      Next.m_run();
    }
    m_now = End;
  }

  /// Runs \p Work at \p Index now or at its thaw, unless it restarts before.
  void deliver(std::size_t Index, std::uint64_t Incarnation,
               std::function<void()> Work) {
    FakeProcess &At = m_processes[Index];
    if (Incarnation != 0 && At.m_incarnation != Incarnation)
      return;
    if (At.m_isFrozen)
      At.m_inbox.push_back(std::move(Work));
    else
      Work();
  }

  /// Carries a message; an \p Incarnation of 0 is any.
  void send(std::size_t From, std::size_t To, std::uint64_t Incarnation,
            std::function<void()> Work) {
    if (m_isLossy && below(10) == 0)
      return;
    const bool IsSlow = m_isLossy && below(20) == 0;
    schedule(Millis(1 + below(IsSlow ? 1500 : 30)),
             [this, From, To, Incarnation, Work = std::move(Work)] {
               if (!m_cut[From][To])
                 deliver(To, Incarnation, Work);
             });
  }

  void restart(std::size_t Index) {
    FakeProcess &At = m_processes[Index];
    ++At.m_incarnation;
    At.m_isFrozen = false;
    At.m_inbox.clear();
    At.m_lease = std::make_unique<ViewLease>(At.m_name, At.m_incarnation,
                                             m_timing, local(At));
    At.m_router = std::make_shared<Router>();
    At.m_seen = At.m_settled = 0;
    every(Index, m_timing.m_renewInterval, [this, Index] { renewAll(Index); });
    every(Index, TablePoll, [this, Index] { readTable(Index); });
    every(Index, DispatchInterval, [this, Index] {
      (void)dispatch(Index, static_cast<std::size_t>(below(Keys)));
    });
  }

  void every(std::size_t Index, Millis Interval, std::function<void()> Work) {
    const std::uint64_t Incarnation = m_processes[Index].m_incarnation;
    schedule(Interval, [this, Index, Interval, Incarnation, Work] {
      if (m_processes[Index].m_incarnation != Incarnation)
        return;
      if (!m_processes[Index].m_isFrozen)
        Work();
      every(Index, Interval, Work);
    });
  }

  void thaw(std::size_t Index) {
    FakeProcess &At = m_processes[Index];
    if (!std::exchange(At.m_isFrozen, false))
      return;
    (void)dispatch(Index, static_cast<std::size_t>(below(Keys)));
    const std::vector<std::function<void()>> Waiting = std::move(At.m_inbox);
    At.m_inbox.clear();
    for (const std::function<void()> &Work : Waiting)
      Work();
  }

  /// Cuts the processes in \p Mask from the others, both ways.
  void split(unsigned Mask) {
    for (std::size_t I = 0; I < m_processes.size(); ++I)
      for (std::size_t J = 0; J < m_processes.size(); ++J)
        if ((((Mask >> I) ^ (Mask >> J)) & 1U) != 0)
          m_cut[I][J] = true;
  }

  void healNetwork() {
    for (std::vector<bool> &Row : m_cut)
      Row.assign(Row.size(), false);
  }

  void healTable() {
    for (FakeProcess &Each : m_processes)
      Each.m_isTableCut = false;
  }

  /// As ViewKeeper does after each event of the lease; then checks what a
  /// process may never do.
  void publish(FakeProcess &At) {
    const ViewPtr Current = At.m_lease->view();
    if (!Current)
      return;
    At.m_router->install(*Current);
    At.m_router->releaseExpired(local(At), m_timing.m_clockSkew);
    At.m_lease->setDrained(At.m_router->drainedGeneration(), local(At));
    At.m_router->setLease(At.m_lease->leaseUntil(), At.m_lease->settled());
    if (Current->m_generation < At.m_seen ||
        At.m_lease->settled() < At.m_settled)
      fail("a process went back");
    At.m_seen = Current->m_generation;
    At.m_settled = At.m_lease->settled();
    if (At.m_lease->isPromisedByMajority(At.m_seen, local(At)))
      m_inForce.emplace(At.m_seen, m_now);
  }

  void renewAll(std::size_t From) {
    FakeProcess &At = m_processes[From];
    At.m_lease->tick(local(At));
    publish(At);
    for (std::size_t To = 0; To < m_processes.size(); ++To)
      if (To != From)
        renew(From, To);
  }

  void renew(std::size_t From, std::size_t To) {
    FakeProcess &Asking = m_processes[From];
    const RenewRequest Request = Asking.m_lease->makeRenew();
    const TimePoint SentAt = local(Asking);
    const std::uint64_t Incarnation = Asking.m_incarnation;
    send(From, To, 0, [this, From, To, Request, SentAt, Incarnation] {
      FakeProcess &Asked = m_processes[To];
      const RenewReply Reply = Asked.m_lease->onRenew(Request, local(Asked));
      send(To, From, Incarnation, [this, From, To, Reply, Request, SentAt] {
        FakeProcess &At = m_processes[From];
        At.m_lease->onRenewReply(Reply, Request.m_generation, SentAt,
                                 local(At));
        publish(At);
        const ViewPtr Own = At.m_lease->view();
        if (Own && Own->m_generation > Reply.m_generation)
          send(From, To, 0,
               [this, To, Own] { install(To, Own, ViewSource::Peer); });
      });
    });
  }

  void install(std::size_t Index, const ViewPtr &Next, ViewSource Source) {
    FakeProcess &At = m_processes[Index];
    At.m_lease->install(Next, Source, local(At));
    publish(At);
  }

  void readTable(std::size_t Index) {
    const FakeProcess &At = m_processes[Index];
    if (At.m_isTableCut)
      return;
    schedule(Millis(1 + below(100)), [this, Index,
                                      Incarnation = At.m_incarnation,
                                      Read = m_table.back()] {
      deliver(Index, Incarnation,
              [this, Index, Read] { install(Index, Read, ViewSource::Table); });
    });
  }

  /// Commits through \p Index, or the next process that reaches the table.
  void change(std::size_t Index, std::size_t Server, ServerAction Action) {
    std::size_t Tries = 0;
    while (m_processes[Index].m_isTableCut || m_processes[Index].m_isFrozen) {
      if (++Tries > m_processes.size())
        return;
      Index = (Index + 1) % m_processes.size();
    }
    const FakeProcess &At = m_processes[Index];
    ServerChange Change;
    Change.m_action = Action;
    Change.m_servers.push_back({"stock-" + std::to_string(Server)});
    Change.m_operation = std::to_string(m_table.size());
    Change.m_allowEmptyClass = below(2) == 0;
    Result<View> Changed = applyServerChange(
        nextGeneration(*m_table.back(), At.m_name, Change.m_operation), Change);
    if (!Changed)
      return;
    m_table.push_back(
        std::make_shared<const View>(assignSlices(std::move(Changed).value())));
    if (!m_isLossy || below(4) != 0) // Otherwise the reply is lost.
      readTable(Index);
  }

  /// Tries to dispatch and checks the right to do so.
  bool dispatch(std::size_t Index, std::size_t Key) {
    FakeProcess &At = m_processes[Index];
    const std::string Name = "key-" + std::to_string(Key);
    const TimePoint Now = local(At);
    Result<Dispatch> Granted = At.m_router->decide({"stock", Name, {}}, Now);
    if (!Granted)
      return false;
    ++m_dispatches;
    for (const auto &[Number, Since] : m_inForce)
      if (Number > At.m_seen && m_now > Since + leaseLapse(m_timing))
        fail("a dispatch under a view older than one in force");
    const Millis Limit = std::chrono::duration_cast<Millis>(
        (Granted.value().deadline() - Now) / At.m_rate);
    const Millis Start(below(Limit.count() + m_timing.m_clockSkew.count()));
    const Millis End =
        Start +
        Millis(1 + below((Limit + m_timing.m_clockSkew - Start).count()));
    m_runs.push_back(
        {Key, Granted.value().server().m_name, m_now + Start, m_now + End});
    finishLater(Index, End, std::move(Granted).value());
    return true;
  }

  /// Half of the answers arrive; the other dispatches are abandoned.
  void finishLater(std::size_t Index, Millis End, Dispatch Granted) {
    if (below(2) == 0)
      return;
    const FakeProcess &At = m_processes[Index];
    using Held = std::pair<std::shared_ptr<Router>, Dispatch>;
    const std::shared_ptr<Held> Open =
        std::make_shared<Held>(At.m_router, std::move(Granted));
    schedule(End, [this, Index, Open, Incarnation = At.m_incarnation] {
      deliver(Index, Incarnation, [Open] { Open->second.complete(); });
    });
  }

  const LeaseTiming m_timing;
  std::mt19937 m_random;
  TimePoint m_now{Millis(1000000)};
  bool m_isLossy = true;
  std::uint64_t m_order = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::vector<ViewPtr> m_table;
  std::vector<FakeProcess> m_processes;
  std::vector<std::vector<bool>> m_cut;
  std::map<Generation, TimePoint> m_inForce;
  std::vector<KeyRun> m_runs;
};

RC_GTEST_PROP(LeaseSafety, RandomFailures_NeverBreakOwnership, ()) {
  const std::size_t Count = *rc::gen::inRange<std::size_t>(3, 6);
  const std::uint32_t Seed = *rc::gen::arbitrary<std::uint32_t>();
  const std::vector<Step> Steps = *genSteps();
  FakeNetwork Network(Count, Seed);
  Network.apply({10, 0, 0, 2500}); // Let the first leases be granted.
  for (const Step &Next : Steps)
    Network.apply(Next);
  Network.recover();
  Network.checkOverlap();
  if (!Network.m_fault.empty())
    RC_FAIL(Network.m_fault);
  RC_ASSERT(Network.m_dispatches > 0U);
}

} // namespace
} // namespace tamarackdrum
