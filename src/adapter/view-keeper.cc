#include "tamarackdrum/view-keeper.h"

#include "tamarackdrum/error.h"
#include "tamarackdrum/planner.h"
#include "tamarackdrum/view-json.h"

#include <boost/asio.hpp>
#include <spdlog/spdlog.h>

namespace asio = boost::asio;

namespace tamarackdrum {
namespace {

constexpr const char *ViewRow = "view/main";
constexpr Millis InForceTimeout{3000};
constexpr Millis InForcePoll{5};
constexpr int MaxCommitTries = 64;
constexpr Millis SettleRetryDelay{100};
constexpr int MaxSettleTries = 20;

asio::awaitable<void> sleepFor(Millis Time) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Time);
  boost::system::error_code Ignored;
  co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
}

} // namespace

ViewKeeper::ViewKeeper(const Settings &Config, std::uint64_t Incarnation,
                       asio::io_context &Workers, TableStore &Table,
                       HttpClient &PeerClient, Router &Routes)
    : m_settings(Config), m_incarnation(Incarnation), m_workers(Workers),
      m_table(Table), m_peerClient(PeerClient), m_router(Routes),
      m_lease(Config.m_name, Incarnation, Config.m_lease, BootClock::now()) {}

void ViewKeeper::start() {
  asio::co_spawn(asio::make_strand(m_workers), tableLoop(), asio::detached);
  asio::co_spawn(asio::make_strand(m_workers), leaseLoop(), asio::detached);
}

RenewReply ViewKeeper::onRenew(const RenewRequest &Request) {
  const std::lock_guard<std::mutex> Lock(m_leaseMutex);
  return m_lease.onRenew(Request, BootClock::now());
}

LeaseStatus ViewKeeper::status() const {
  const std::lock_guard<std::mutex> Lock(m_leaseMutex);
  const TimePoint Now = BootClock::now();
  return {m_lease.mayDispatch(Now), m_lease.settled(), m_lease.drained(Now),
          m_lease.view()};
}

ViewPtr ViewKeeper::view() const {
  const std::lock_guard<std::mutex> Lock(m_leaseMutex);
  return m_lease.view();
}

void ViewKeeper::adopt(ViewPtr Next, ViewSource Source) {
  const std::lock_guard<std::mutex> Lock(m_leaseMutex);
  const TimePoint Now = BootClock::now();
  if (m_lease.install(std::move(Next), Source, Now))
    SPDLOG_INFO("view generation={}", m_lease.view()->m_generation);
  publishLease(Now);
}

/// Hands the lease's state to the router. Requires m_leaseMutex.
void ViewKeeper::publishLease(TimePoint Now) {
  const ViewPtr Current = m_lease.view();
  if (!Current)
    return;
  m_router.install(*Current);
  m_router.releaseExpired(Now, m_settings.m_lease.m_clockSkew);
  m_lease.setDrained(m_router.drainedGeneration(), Now);
  m_router.setLease(m_lease.leaseUntil(), m_lease.settled());
}

asio::awaitable<void> ViewKeeper::leaseLoop() {
  while (!m_stopping) {
    const ViewPtr Current = view();
    if (Current) {
      {
        const std::lock_guard<std::mutex> Lock(m_leaseMutex);
        const TimePoint Now = BootClock::now();
        m_lease.tick(Now);
        publishLease(Now);
      }
      for (const Member &Peer : allMembers(*Current))
        if (Peer.m_name != m_settings.m_name)
          asio::co_spawn(asio::make_strand(m_workers), renewWith(Peer),
                         asio::detached);
    }
    co_await sleepFor(m_settings.m_lease.m_renewInterval);
  }
}

RpcClient ViewKeeper::peerClient(const std::string &Address) {
  const Result<Endpoint> Peer = parseEndpoint(Address);
  return RpcClient(m_peerClient, Peer ? Peer.value() : Endpoint(),
                   m_settings.m_sharedKey, "/rpc/peer");
}

asio::awaitable<void> ViewKeeper::renewWith(Member Peer) {
  RenewRequest Request;
  {
    const std::lock_guard<std::mutex> Lock(m_leaseMutex);
    Request = m_lease.makeRenew();
  }
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
  ViewPtr Ahead;
  {
    const std::lock_guard<std::mutex> Lock(m_leaseMutex);
    const TimePoint Now = BootClock::now();
    m_lease.onRenewReply(Reply.value(), Request.m_generation, SentAt, Now);
    publishLease(Now);
    const ViewPtr Current = m_lease.view();
    if (Current && Current->m_generation > Reply.value().m_generation)
      Ahead = Current;
  }
  if (Ahead)
    co_await pushView(Peer, Ahead);
}

asio::awaitable<void> ViewKeeper::pushView(Member Peer, ViewPtr Next) {
  Json::Value Parameters;
  Parameters["view"] = toJson(*Next);
  RpcClient Client = peerClient(Peer.m_address);
  (void)co_await Client.call("install", Parameters, m_settings.m_lease.m_lease);
}

asio::awaitable<void> ViewKeeper::tableLoop() {
  while (!m_stopping) {
    (void)co_await readTable();
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

/// Reads the table until it tells whether \p Operation stands.
asio::awaitable<bool> ViewKeeper::isCommitted(std::string Operation) {
  const TableQuery Query{ViewRow, false, 0};
  for (int Try = 0; Try < MaxSettleTries; ++Try) {
    const Result<std::vector<TableRow>> Rows = co_await m_table.read(Query);
    if (Rows) {
      (void)co_await readTable();
      const ViewPtr Current = view();
      co_return Current &&hasOperation(*Current, Operation);
    }
    co_await sleepFor(SettleRetryDelay);
  }
  co_return false;
}

asio::awaitable<Result<ViewPtr>>
ViewKeeper::commitChange(ViewChange Apply, std::string Operation) {
  for (int Try = 0; Try < MaxCommitTries; ++Try) {
    const ViewPtr Current = view();
    if (!Current)
      co_return std::error_code(ChangeErrc::TableUnavailable);
    if (hasOperation(*Current, Operation))
      co_return Current;
    Result<View> Changed =
        Apply(nextGeneration(*Current, m_settings.m_name, Operation));
    if (!Changed)
      co_return Changed.error();
    const ViewPtr Next =
        std::make_shared<const View>(assignSlices(std::move(Changed).value()));
    const Result<CommitResult> Outcome = co_await commitView(*Next);
    if (Outcome && Outcome.value().m_conflicts.empty()) {
      adopt(Next, ViewSource::Table);
      co_return Next;
    }
    if (!Outcome && Outcome.error() == TableErrc::Unavailable)
      co_return std::error_code(ChangeErrc::TableUnavailable);
    if (!Outcome && !co_await isCommitted(Operation))
      co_return std::error_code(ChangeErrc::TableUnavailable);
    (void)co_await readTable();
  }
  co_return std::error_code(ChangeErrc::TableUnavailable);
}

asio::awaitable<std::error_code> ViewKeeper::awaitInForce(Generation Wanted) {
  const TimePoint Limit = BootClock::now() + InForceTimeout;
  const ViewPtr Current = view();
  for (const Member &Peer : allMembers(*Current))
    if (Peer.m_name != m_settings.m_name)
      asio::co_spawn(
          asio::make_strand(m_workers),
          [this, Peer, Current]() -> asio::awaitable<void> {
            co_await pushView(Peer, Current);
            co_await renewWith(Peer);
          },
          asio::detached);
  while (BootClock::now() < Limit) {
    {
      const std::lock_guard<std::mutex> Lock(m_leaseMutex);
      if (m_lease.isPromisedByMajority(Wanted))
        co_return std::error_code();
    }
    co_await sleepFor(InForcePoll);
  }
  co_return ChangeErrc::NotInForce;
}

} // namespace tamarackdrum
