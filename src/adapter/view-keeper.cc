#include "tamarackdrum/view-keeper.h"

#include "tamarackdrum/error.h"
#include "tamarackdrum/group-change.h"
#include "tamarackdrum/planner.h"
#include "tamarackdrum/sleep.h"
#include "tamarackdrum/view-json.h"

#include <boost/asio.hpp>
#include <spdlog/spdlog.h>

namespace asio = boost::asio;

namespace tamarackdrum {
namespace {

constexpr const char *ViewRow = "view/main";
constexpr Millis InForceTimeout{3000};
constexpr Millis InForcePoll{5};
constexpr Millis LeavePoll{20};
constexpr Millis HostListInterval{5000};
/// Time without a reply after which a member that the platform has dropped is
/// removed from the group.
constexpr Millis LostMemberSilence{3000};
/// Renewal intervals without a reply after which a member is not the planner.
constexpr int PlannerSilence = 3;
/// Shorter than the time that tamarackctl waits for an answer.
constexpr Millis CommitTimeout{6000};
constexpr Millis SettleRetryDelay{100};

} // namespace

ViewKeeper::ViewKeeper(const Settings &Config, std::uint64_t Incarnation,
                       asio::io_context &Workers, TableStore &Table,
                       HostList &Hosts, HttpClient &PeerClient, Router &Routes,
                       SuspectSource Suspects)
    : m_settings(Config), m_incarnation(Incarnation), m_workers(Workers),
      m_table(Table), m_hosts(Hosts), m_peerClient(PeerClient),
      m_router(Routes), m_suspects(std::move(Suspects)),
      m_lease(Config.m_name, Incarnation, Config.m_lease, BootClock::now(),
              Config.m_controlAddress),
      m_detector(DetectorLimits{}) {}

void ViewKeeper::start() {
  asio::co_spawn(asio::make_strand(m_workers), tableLoop(), asio::detached);
  asio::co_spawn(asio::make_strand(m_workers), leaseLoop(), asio::detached);
  asio::co_spawn(asio::make_strand(m_workers), planLoop(), asio::detached);
  asio::co_spawn(asio::make_strand(m_workers), watchHosts(), asio::detached);
}

void ViewKeeper::beginLeave() {
  m_leaving = true;
  noteEvent(ProcessEvent::Drained);
  asio::co_spawn(asio::make_strand(m_workers), leaveGroup(), asio::detached);
}

RenewReply ViewKeeper::onRenew(const RenewRequest &Request) {
  const std::lock_guard<std::mutex> Lock(m_leaseMutex);
  const TimePoint Now = BootClock::now();
  m_detector.report(Request.m_from, Request.m_suspects, Now);
  return m_lease.onRenew(Request, Now);
}

Member ViewKeeper::self() const {
  return {m_settings.m_name, m_settings.m_controlAddress, m_settings.m_zone};
}

std::string ViewKeeper::makeOperation(const char *Step) {
  return std::string(Step) + "-" + std::to_string(m_incarnation) + "-" +
         std::to_string(m_operations.fetch_add(1));
}

LeaseStatus ViewKeeper::status() const {
  const std::lock_guard<std::mutex> Lock(m_leaseMutex);
  const TimePoint Now = BootClock::now();
  return {m_lease.mayDispatch(Now), m_lifeCycle.state(), m_lease.settled(),
          m_lease.drained(Now), m_lease.view()};
}

ViewPtr ViewKeeper::view() const {
  const std::lock_guard<std::mutex> Lock(m_leaseMutex);
  return m_lease.view();
}

void ViewKeeper::adopt(ViewPtr Next, ViewSource Source) {
  ViewPtr Adopted;
  {
    const std::lock_guard<std::mutex> Lock(m_leaseMutex);
    const TimePoint Now = BootClock::now();
    if (m_lease.install(std::move(Next), Source, Now)) {
      Adopted = m_lease.view();
      m_detector.noteView(*Adopted, Now);
    }
    publishLease(Now);
  }
  if (!Adopted)
    return;
  SPDLOG_INFO("view generation={} committer={} operation={}",
              Adopted->m_generation, Adopted->m_committer,
              Adopted->m_operation);
  announce(allMembers(*Adopted));
}

/// Renews with every member at once, so that a new view is promised and
/// acknowledged without waiting for the next interval.
void ViewKeeper::announce(const std::vector<Member> &Members) {
  for (const Member &Peer : Members)
    if (Peer.m_name != m_settings.m_name)
      asio::co_spawn(asio::make_strand(m_workers), renewWith(Peer, false),
                     asio::detached);
}

/// Hands the lease's state to the router. Requires m_leaseMutex.
void ViewKeeper::publishLease(TimePoint Now) {
  const ViewPtr Current = m_lease.view();
  if (!Current)
    return;
  m_router.install(*Current);
  m_router.releaseExpired(Now, m_settings.m_lease.m_clockSkew);
  // Nobody waits for a process outside of the group, so that it is drained
  // only when nothing at all is in flight.
  if (m_lease.isSelfMember() || m_router.inFlight() == 0)
    m_lease.setDrained(m_router.drainedGeneration(), Now);
  m_router.setLease(m_lease.leaseUntil(), m_lease.settled());
  noteEventLocked(ProcessEvent::ViewLearnt);
  noteEventLocked(m_lease.mayDispatch(Now) ? ProcessEvent::LeaseGained
                                           : ProcessEvent::LeaseLost);
}

void ViewKeeper::noteEvent(ProcessEvent Event) {
  const std::lock_guard<std::mutex> Lock(m_leaseMutex);
  noteEventLocked(Event);
}

/// Requires m_leaseMutex.
void ViewKeeper::noteEventLocked(ProcessEvent Event) {
  if (m_lifeCycle.handle(Event))
    SPDLOG_INFO("state={}", toText(m_lifeCycle.state()));
}

asio::awaitable<void> ViewKeeper::leaseLoop() {
  while (!m_hasLeft) {
    const std::vector<std::string> Suspects = m_suspects();
    {
      const std::lock_guard<std::mutex> Lock(m_leaseMutex);
      const TimePoint Now = BootClock::now();
      m_detector.report(m_settings.m_name, Suspects, Now);
      m_lease.tick(Now);
      publishLease(Now);
    }
    // Without a view, as after a restart in a table outage, the members that
    // the settings name are asked for theirs.
    const ViewPtr Current = view();
    announce(Current ? allMembers(*Current) : m_settings.m_bootstrapGroup);
    co_await sleepFor(m_settings.m_lease.m_renewInterval);
  }
}

RpcClient ViewKeeper::peerClient(const std::string &Address) {
  const Result<Endpoint> Peer = parseEndpoint(Address);
  return RpcClient(m_peerClient, Peer ? Peer.value() : Endpoint(),
                   m_settings.m_sharedKey, "/rpc/peer");
}

asio::awaitable<void> ViewKeeper::renewWith(Member Peer, bool WantsView) {
  if (m_faults.cutsTo(Peer.m_name))
    co_return;
  RenewRequest Request;
  {
    const std::lock_guard<std::mutex> Lock(m_leaseMutex);
    Request = m_lease.makeRenew();
  }
  Request.m_suspects = m_suspects();
  Request.m_wantsView = WantsView;
  const TimePoint SentAt = BootClock::now();
  RpcClient Client = peerClient(Peer.m_address);
  const std::string Method = "renew";
  const Json::Value Parameters = toJson(Request);
  const Result<Json::Value> Answer =
      co_await Client.call(Method, Parameters, m_settings.m_lease.m_lease);
  if (!Answer)
    co_return;
  const Result<RenewReply> Reply = renewReplyFromJson(Answer.value());
  if (!Reply || Reply.value().m_from != Peer.m_name)
    co_return;
  ViewPtr Adopted;
  {
    const std::lock_guard<std::mutex> Lock(m_leaseMutex);
    const TimePoint Now = BootClock::now();
    const ViewPtr Before = m_lease.view();
    m_lease.onRenewReply(Reply.value(), Request.m_generation, SentAt, Now);
    if (m_lease.view() != Before) {
      Adopted = m_lease.view();
      m_detector.noteView(*Adopted, Now);
    }
    publishLease(Now);
  }
  if (Adopted)
    announce(allMembers(*Adopted));
  co_await exchangeView(Peer, Reply.value().m_generation);
}

/// Brings the views of this process and of \p Peer together. Only the
/// committer of a view pushes it, once to each member, and only one fetch runs
/// at a time, so that a change reaches each process about once.
asio::awaitable<void> ViewKeeper::exchangeView(Member Peer, Generation Theirs) {
  ViewPtr Ahead;
  {
    const std::lock_guard<std::mutex> Lock(m_leaseMutex);
    const ViewPtr Current = m_lease.view();
    const Generation Own = Current ? Current->m_generation : 0;
    if (Own == Theirs)
      co_return;
    if (Own > Theirs) {
      Generation &Pushed = m_pushed[Peer.m_name];
      if (Current->m_committer != m_settings.m_name || Pushed == Own)
        co_return;
      Pushed = Own;
      Ahead = Current;
    }
  }
  if (Ahead) {
    co_await pushView(Peer, Ahead);
    co_return;
  }
  if (m_isFetching.exchange(true))
    co_return;
  co_await renewWith(Peer, true);
  m_isFetching = false;
}

asio::awaitable<void> ViewKeeper::pushView(Member Peer, ViewPtr Next) {
  if (m_faults.cutsTo(Peer.m_name))
    co_return;
  Json::Value Parameters;
  Parameters["from"] = m_settings.m_name;
  Parameters["view"] = toJson(*Next);
  RpcClient Client = peerClient(Peer.m_address);
  const std::string Method = "install";
  (void)co_await Client.call(Method, Parameters, m_settings.m_lease.m_lease);
}

asio::awaitable<void> ViewKeeper::tableLoop() {
  while (!m_hasLeft) {
    (void)co_await readTable();
    co_await joinGroup();
    co_await sleepFor(m_settings.m_tablePollInterval);
  }
}

asio::awaitable<std::error_code> ViewKeeper::readTable() {
  const ViewPtr Current = view();
  const Generation Known = Current ? Current->m_generation : 0;
  const TableQuery Query{ViewRow, false, Known};
  const Result<std::vector<TableRow>> Rows = co_await m_table.read(Query);
  if (!Rows)
    co_return Rows.error();
  if (Rows.value().empty() && Known == 0) {
    co_await bootstrap();
    co_return std::error_code();
  }
  ViewPtr Next;
  if (!Rows.value().empty()) {
    const Result<Json::Value> Parsed = parseJson(Rows.value().front().m_value);
    Result<View> Read =
        Parsed ? viewFromJson(Parsed.value()) : Result<View>(Parsed.error());
    if (!Read)
      co_return Read.error();
    Next = std::make_shared<const View>(std::move(Read).value());
  }
  adopt(std::move(Next), ViewSource::Table);
  co_return std::error_code();
}

asio::awaitable<void> ViewKeeper::bootstrap() {
  View First;
  First.m_generation = 1;
  First.m_groupChangedAt = 1;
  First.m_committer = m_settings.m_name;
  First.m_operation = "bootstrap-" + std::to_string(m_incarnation);
  First.m_members = m_settings.m_bootstrapGroup;
  if (First.m_members.empty())
    First.m_members.push_back(
        {m_settings.m_name, m_settings.m_controlAddress, m_settings.m_zone});
  First.m_servers = m_settings.m_bootstrapServers;
  Result<View> WithClasses =
      applyClasses(std::move(First), m_settings.m_bootstrapClasses);
  if (!WithClasses)
    co_return;
  const View Assigned = assignSlices(std::move(WithClasses).value());
  (void)co_await commitView(Assigned);
}

asio::awaitable<Result<CommitResult>> ViewKeeper::commitView(const View &Next) {
  TableTransaction Transaction;
  Transaction.m_conditions.push_back({ViewRow, Next.m_generation - 1});
  Transaction.m_writes.push_back({ViewRow, toText(toJson(Next))});
  co_return co_await m_table.commit(std::move(Transaction));
}

/// A commit whose reply was lost is settled by trying again: the operation's
/// id is part of the view, and each try is conditional on the generation that
/// it was made from, so that at most one of them stands.
asio::awaitable<Result<ViewPtr>>
ViewKeeper::commitChange(ViewChange Apply, std::string Operation) {
  const TimePoint Limit = BootClock::now() + CommitTimeout;
  bool IsUnsettled = false;
  while (BootClock::now() < Limit) {
    const ViewPtr Current = view();
    if (!Current)
      co_return std::error_code(ChangeErrc::TableUnavailable);
    if (hasOperation(*Current, Operation))
      co_return Current;
    Result<View> Changed =
        Apply(nextGeneration(*Current, m_settings.m_name, Operation));
    if (!Changed)
      co_return Changed.error();
    View Assigned = assignSlices(std::move(Changed).value());
    if (!hasOperation(Assigned, Operation))
      Assigned = recordOperation(std::move(Assigned), Operation);
    const ViewPtr Next = std::make_shared<const View>(std::move(Assigned));
    const Result<CommitResult> Outcome = co_await commitView(*Next);
    if (Outcome && Outcome.value().m_conflicts.empty()) {
      adopt(Next, ViewSource::Table);
      co_return Next;
    }
    if (!Outcome) {
      IsUnsettled = IsUnsettled || Outcome.error() != TableErrc::Unavailable;
      if (!IsUnsettled)
        break;
      co_await sleepFor(SettleRetryDelay);
    }
    (void)co_await readTable();
  }
  co_return std::error_code(IsUnsettled ? ChangeErrc::Unsettled
                                        : ChangeErrc::TableUnavailable);
}

asio::awaitable<std::error_code> ViewKeeper::awaitInForce(Generation Wanted) {
  const TimePoint Limit = BootClock::now() + InForceTimeout;
  while (BootClock::now() < Limit) {
    {
      const std::lock_guard<std::mutex> Lock(m_leaseMutex);
      if (m_lease.isPromisedByMajority(Wanted, BootClock::now()))
        co_return std::error_code();
    }
    co_await sleepFor(InForcePoll);
  }
  co_return ChangeErrc::NotInForce;
}

// Group.

asio::awaitable<void> ViewKeeper::joinGroup() {
  const ViewPtr Current = view();
  if (!Current || m_leaving || isMember(Current->m_members, self()))
    co_return;
  const Member Joining = self();
  const ViewChange Apply = [Joining](View Next) {
    return addMember(std::move(Next), Joining);
  };
  const std::string Operation = makeOperation("join");
  (void)co_await commitChange(Apply, Operation);
}

asio::awaitable<void> ViewKeeper::leaveGroup() {
  const TimePoint Limit = BootClock::now() + m_settings.m_stopTimeout;
  const std::string Name = m_settings.m_name;
  const ViewChange Apply = [Name](View Next) {
    return removeMember(std::move(Next), Name);
  };
  while (BootClock::now() < Limit) {
    const ViewPtr Current = view();
    if (!Current || Current->m_members.size() <= 1)
      break;
    const bool IsOut = !isMember(Current->m_members, self());
    if (IsOut && !isMember(Current->m_outgoing, self()))
      break;
    if (!IsOut && Current->m_outgoing.empty()) {
      const std::string Operation = makeOperation("leave");
      const Result<ViewPtr> Left = co_await commitChange(Apply, Operation);
      if (!Left && Left.error() == ChangeErrc::TableUnavailable)
        break;
    }
    co_await sleepFor(LeavePoll);
  }
  m_hasLeft = true;
  noteEvent(ProcessEvent::Left);
}

// Planner.

/// The planner is the first member, by name, that this process hears. Two
/// planners are harmless: each commit is conditional on the generation.
/// Requires m_leaseMutex.
bool ViewKeeper::isPlannerLocked(const View &Current, TimePoint Now) const {
  if (!m_lease.mayDispatch(Now) || !isMember(Current.m_members, self()))
    return false;
  const TimePoint Since =
      Now - PlannerSilence * m_settings.m_lease.m_renewInterval;
  for (const Member &Item : Current.m_members)
    if (Item.m_name < m_settings.m_name &&
        m_lease.isHeardSince(Item.m_name, Since))
      return false;
  return true;
}

bool ViewKeeper::isPlanner() const {
  const std::lock_guard<std::mutex> Lock(m_leaseMutex);
  const ViewPtr Current = m_lease.view();
  return Current && !m_leaving && isPlannerLocked(*Current, BootClock::now());
}

asio::awaitable<void> ViewKeeper::planLoop() {
  while (!m_hasLeft) {
    co_await plan();
    co_await sleepFor(m_settings.m_lease.m_renewInterval);
  }
}

asio::awaitable<void> ViewKeeper::plan() {
  bool IsGroupSettled = false;
  std::optional<std::string> LostMember;
  SuspensionChange Suspension;
  {
    const std::lock_guard<std::mutex> Lock(m_leaseMutex);
    const ViewPtr Current = m_lease.view();
    const TimePoint Now = BootClock::now();
    if (!Current || m_leaving || !isPlannerLocked(*Current, Now))
      co_return;
    IsGroupSettled = !Current->m_outgoing.empty() &&
                     m_lease.settled() >= Current->m_groupChangedAt;
    Suspension = m_detector.decide(*Current, Now);
    LostMember = findLostMember(*Current, Now);
  }
  if (IsGroupSettled) {
    const ViewChange Finish = [](View Next) -> Result<View> {
      return finishGroupChange(std::move(Next));
    };
    co_await commitPlan("settle", Finish);
  }
  if (LostMember) {
    const std::string Name = *LostMember;
    const ViewChange Remove = [Name](View Next) {
      return removeMember(std::move(Next), Name);
    };
    co_await commitPlan("remove", Remove);
  }
  if (!Suspension.empty()) {
    const ViewChange Apply = [Suspension](View Next) -> Result<View> {
      return applySuspension(std::move(Next), Suspension);
    };
    co_await commitPlan("suspend", Apply);
  }
}

/// Returns a member that the platform has dropped and that is silent. The
/// list may be wrong, so the member stays in the outgoing group and its lease
/// is waited for.
std::optional<std::string> ViewKeeper::findLostMember(const View &Current,
                                                      TimePoint Now) const {
  if (!Current.m_outgoing.empty())
    return std::nullopt;
  for (const std::string &Name : m_memberWatch.droppedMembers(Current))
    if (Name != m_settings.m_name &&
        !m_lease.isHeardSince(Name, Now - LostMemberSilence))
      return Name;
  return std::nullopt;
}

asio::awaitable<void> ViewKeeper::watchHosts() {
  while (!m_hasLeft) {
    Result<std::set<std::string>> Listed = co_await m_hosts.read();
    if (Listed) {
      const std::lock_guard<std::mutex> Lock(m_leaseMutex);
      m_memberWatch.noteList(std::move(Listed).value());
    }
    co_await sleepFor(HostListInterval);
  }
}

asio::awaitable<void> ViewKeeper::commitPlan(const char *Step,
                                             ViewChange Apply) {
  const std::string Operation = makeOperation(Step);
  (void)co_await commitChange(Apply, Operation);
}

} // namespace tamarackdrum
