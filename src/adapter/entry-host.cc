#include "tamarackdrum/entry-host.h"

#include "tamarackdrum/error.h"
#include "tamarackdrum/planner.h"
#include "tamarackdrum/view-json.h"

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <random>
#include <spdlog/spdlog.h>

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace tamarackdrum {
namespace {

constexpr const char *ViewRow = "view/main";
constexpr Millis InForceTimeout{3000};
constexpr Millis InForcePoll{5};
constexpr int MaxCommitTries = 64;
constexpr Millis SettleRetryDelay{100};
constexpr int MaxSettleTries = 20;
constexpr std::size_t OperatorThreads = 4;

std::uint64_t makeIncarnation() {
  std::random_device Device;
  constexpr int HalfBits = 32;
  return (static_cast<std::uint64_t>(Device()) << HalfBits) | Device();
}

/// Splits "/class/key/..." into its first two segments.
RouteQuery parseTarget(std::string_view Target) {
  RouteQuery Query;
  Target = Target.substr(0, Target.find('?'));
  if (!Target.empty() && Target.front() == '/')
    Target.remove_prefix(1);
  const std::size_t Slash = Target.find('/');
  Query.m_workClass = Target.substr(0, Slash);
  if (Slash == std::string_view::npos)
    return Query;
  Target.remove_prefix(Slash + 1);
  Query.m_key = Target.substr(0, Target.find('/'));
  return Query;
}

unsigned statusOf(const std::error_code &Error) {
  if (Error == RouteErrc::UnknownClass)
    return 404;
  if (Error == RouteErrc::KeyMissing || Error == RouteErrc::IdMissing)
    return 400;
  return 503;
}

HttpResponse refusal(Outcome Kind, const std::error_code &Reason,
                     unsigned Status) {
  HttpResponse Response =
      makeResponse(Status, std::string("{\"outcome\":\"") + toText(Kind) +
                               "\",\"reason\":\"" + Reason.message() + "\"}");
  Response.set("Tamarack-Outcome", toText(Kind));
  Response.set("Tamarack-Reason", Reason.message());
  if (Status == 503)
    Response.set(http::field::retry_after, "1");
  return Response;
}

asio::awaitable<void> sleepFor(Millis Time) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Time);
  boost::system::error_code Ignored;
  co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
}

} // namespace

const char *toText(Outcome Value) noexcept {
  switch (Value) {
  case Outcome::Answered:
    return "answered";
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Unknown:
    break;
  }
  return "unknown";
}

EntryHost::EntryHost(Settings Config, asio::io_context &Workers,
                     TableStore &Table, HttpClient &PeerClient,
                     HttpClient &ServerClient)
    : m_settings(std::move(Config)), m_incarnation(makeIncarnation()),
      m_workers(Workers), m_table(Table), m_peerClient(PeerClient),
      m_serverClient(ServerClient), m_operatorPool(OperatorThreads),
      m_lease(m_settings.m_name, m_incarnation, m_settings.m_lease,
              BootClock::now()) {
  addMethods();
}

void EntryHost::start() {
  const Endpoint Caller = parseEndpoint(m_settings.m_callerAddress).value();
  const Endpoint Control = parseEndpoint(m_settings.m_controlAddress).value();
  m_callerServer = std::make_unique<HttpServer>(
      m_workers, Caller, HttpLimits{},
      [this](const Request &Call) { return onCall(Call); });
  m_controlServer = std::make_unique<HttpServer>(
      m_workers, Control, HttpLimits{},
      [this](const Request &Call) { return onControl(Call); });
  m_callerServer->start();
  m_controlServer->start();
  asio::co_spawn(asio::make_strand(m_workers), tableLoop(), asio::detached);
  asio::co_spawn(asio::make_strand(m_workers), leaseLoop(), asio::detached);
}

void EntryHost::beginStop() {
  m_stopping = true;
  m_callerServer->stop();
}

bool EntryHost::isIdle() const {
  return m_callerServer->openConnections() == 0 && m_router.inFlight() == 0;
}

// Callers.

asio::awaitable<HttpResponse> EntryHost::onCall(const Request &Call) {
  const std::string_view Target(Call.target().data(), Call.target().size());
  const RouteQuery Query = parseTarget(Target);
  Result<Dispatch> Granted = m_router.decide(Query, BootClock::now());
  if (!Granted) {
    m_counters.m_notRun.fetch_add(1);
    co_return refusal(Outcome::NotRun, Granted.error(),
                      statusOf(Granted.error()));
  }
  co_return co_await forward(Call, std::move(Granted).value());
}

asio::awaitable<HttpResponse> EntryHost::forward(const Request &Call,
                                                 Dispatch Granted) {
  Request Outgoing = Call;
  Outgoing.keep_alive(true);
  const TimePoint Now = BootClock::now();
  Outgoing.set(
      "Tamarack-Deadline",
      std::to_string(toUnixMillis(Granted.deadline(), Now, unixMillis())));
  Outgoing.set("Tamarack-Epoch", std::to_string(Granted.epoch()));
  const Result<Endpoint> Server = parseEndpoint(Granted.server().m_address);
  if (!Server) {
    Granted.complete();
    co_return refusal(Outcome::NotRun, RouteErrc::NoServer, 503);
  }
  Result<HttpResponse> Reply = co_await m_serverClient.send(
      Server.value(), std::move(Outgoing), Granted.deadline());
  if (Reply) {
    Granted.complete();
    HttpResponse Answer = std::move(Reply).value();
    Answer.set("Tamarack-Outcome", toText(Outcome::Answered));
    m_counters.m_answered.fetch_add(1);
    co_return Answer;
  }
  const std::error_code Error = Reply.error();
  if (Error == HttpErrc::ConnectFailed || Error == HttpErrc::PoolExhausted) {
    Granted.complete();
    m_counters.m_notRun.fetch_add(1);
    co_return refusal(Outcome::NotRun, Error, 503);
  }
  Granted.abandon();
  m_counters.m_unknown.fetch_add(1);
  co_return refusal(Outcome::Unknown, Error, 502);
}

// Control.

void EntryHost::addMethods() {
  m_peerRpc.addMethod("renew", [this](const Json::Value &Parameters) {
    return rpcRenew(Parameters);
  });
  m_peerRpc.addMethod("install", [this](const Json::Value &Parameters) {
    return rpcInstall(Parameters);
  });
  m_operatorRpc.addMethod("change", [this](const Json::Value &Parameters) {
    return rpcChange(Parameters);
  });
  m_operatorRpc.addMethod("classes", [this](const Json::Value &Parameters) {
    return rpcClasses(Parameters);
  });
  m_operatorRpc.addMethod("status", [this](const Json::Value &Parameters) {
    return rpcStatus(Parameters);
  });
}

asio::awaitable<HttpResponse> EntryHost::onControl(const Request &Call) {
  const std::error_code Refused =
      checkControlCall(Call, m_settings.m_sharedKey);
  if (Refused) {
    m_counters.m_controlRefused.fetch_add(1);
    const unsigned Status = Refused == ControlErrc::WrongVersion ? 426 : 401;
    co_return makeResponse(Status, "{\"error\":\"" + Refused.message() + "\"}");
  }
  if (Call.target() == "/rpc/peer")
    co_return makeResponse(200, m_peerRpc.handle(Call.body()));
  if (Call.target() != "/rpc/operator")
    co_return makeResponse(404, "{}");
  // Operator calls wait for commits, so they run outside the worker pool.
  co_return co_await asio::co_spawn(
      m_operatorPool,
      [this, &Call]() -> asio::awaitable<HttpResponse> {
        co_return makeResponse(200, m_operatorRpc.handle(Call.body()));
      },
      asio::use_awaitable);
}

Result<Json::Value> EntryHost::rpcRenew(const Json::Value &Parameters) {
  const Result<RenewRequest> Request = renewRequestFromJson(Parameters);
  if (!Request)
    return Request.error();
  const std::lock_guard<std::mutex> Lock(m_leaseMutex);
  return toJson(m_lease.onRenew(Request.value(), BootClock::now()));
}

Result<Json::Value> EntryHost::rpcInstall(const Json::Value &Parameters) {
  Result<View> Next = viewFromJson(Parameters["view"]);
  if (!Next)
    return Next.error();
  adopt(std::make_shared<const View>(std::move(Next).value()),
        ViewSource::Peer);
  return Json::Value(Json::objectValue);
}

Result<Json::Value> EntryHost::rpcChange(const Json::Value &Parameters) {
  const Result<ServerChange> Change = changeFromJson(Parameters);
  if (!Change)
    return std::error_code(ChangeErrc::Malformed);
  return runChange(
      [&](View Next) {
        return applyServerChange(std::move(Next), Change.value());
      },
      Change.value().m_operation);
}

Result<Json::Value> EntryHost::rpcClasses(const Json::Value &Parameters) {
  std::vector<ClassTarget> Classes;
  for (const Json::Value &Item : Parameters["classes"]) {
    const Result<ClassTarget> Target = classFromJson(Item);
    if (!Target || Target.value().m_deadline > m_settings.m_lease.m_maxDispatch)
      return std::error_code(ChangeErrc::Malformed);
    Classes.push_back(Target.value());
  }
  return runChange(
      [&](View Next) { return applyClasses(std::move(Next), Classes); },
      Parameters["operation"].asString());
}

Result<Json::Value> EntryHost::rpcStatus(const Json::Value & /*Parameters*/) {
  Json::Value Out;
  Out["process"] = m_settings.m_name;
  const std::lock_guard<std::mutex> Lock(m_leaseMutex);
  const TimePoint Now = BootClock::now();
  Out["has_lease"] = m_lease.mayDispatch(Now);
  Out["settled"] = Json::UInt64(m_lease.settled());
  Out["drained"] = Json::UInt64(m_lease.drained(Now));
  Out["answered"] = Json::UInt64(m_counters.m_answered.load());
  Out["not_run"] = Json::UInt64(m_counters.m_notRun.load());
  Out["unknown"] = Json::UInt64(m_counters.m_unknown.load());
  if (const ViewPtr Current = m_lease.view())
    Out["view"] = toJson(*Current);
  return Out;
}

// View and lease.

ViewPtr EntryHost::currentView() const {
  const std::lock_guard<std::mutex> Lock(m_leaseMutex);
  return m_lease.view();
}

void EntryHost::adopt(ViewPtr Next, ViewSource Source) {
  const std::lock_guard<std::mutex> Lock(m_leaseMutex);
  const TimePoint Now = BootClock::now();
  if (m_lease.install(std::move(Next), Source, Now))
    SPDLOG_INFO("view generation={}", m_lease.view()->m_generation);
  publishLease(Now);
}

/// Hands the lease's state to the router. Requires m_leaseMutex.
void EntryHost::publishLease(TimePoint Now) {
  const ViewPtr Current = m_lease.view();
  if (!Current)
    return;
  m_router.install(*Current);
  m_router.releaseExpired(Now, m_settings.m_lease.m_clockSkew);
  m_lease.setDrained(m_router.drainedGeneration(), Now);
  m_router.setLease(m_lease.leaseUntil(), m_lease.settled());
}

asio::awaitable<void> EntryHost::leaseLoop() {
  while (!m_stopping) {
    const ViewPtr Current = currentView();
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

RpcClient EntryHost::peerClient(const std::string &Address) {
  const Result<Endpoint> Peer = parseEndpoint(Address);
  return RpcClient(m_peerClient, Peer ? Peer.value() : Endpoint(),
                   m_settings.m_sharedKey, "/rpc/peer");
}

asio::awaitable<void> EntryHost::renewWith(Member Peer) {
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

asio::awaitable<void> EntryHost::pushView(Member Peer, ViewPtr Next) {
  Json::Value Parameters;
  Parameters["view"] = toJson(*Next);
  RpcClient Client = peerClient(Peer.m_address);
  (void)co_await Client.call("install", Parameters, m_settings.m_lease.m_lease);
}

asio::awaitable<void> EntryHost::tableLoop() {
  while (!m_stopping) {
    co_await readTable();
    co_await sleepFor(m_settings.m_tablePollInterval);
  }
}

asio::awaitable<void> EntryHost::readTable() {
  const ViewPtr Current = currentView();
  const Generation Known = Current ? Current->m_generation : 0;
  const TableQuery Query{ViewRow, false, Known};
  const Result<std::vector<TableRow>> Rows = co_await m_table.read(Query);
  if (!Rows)
    co_return;
  if (Rows.value().empty() && Known == 0) {
    co_await bootstrap();
    co_return;
  }
  ViewPtr Next;
  if (!Rows.value().empty()) {
    const Result<Json::Value> Parsed = parseJson(Rows.value().front().m_value);
    Result<View> Read =
        Parsed ? viewFromJson(Parsed.value()) : Result<View>(Parsed.error());
    if (!Read)
      co_return;
    Next = std::make_shared<const View>(std::move(Read).value());
  }
  adopt(std::move(Next), ViewSource::Table);
}

asio::awaitable<void> EntryHost::bootstrap() {
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

// Changes.

asio::awaitable<Result<CommitResult>> EntryHost::commitView(const View &Next) {
  TableTransaction Transaction;
  Transaction.m_conditions.push_back({ViewRow, Next.m_generation - 1});
  Transaction.m_writes.push_back({ViewRow, toText(toJson(Next))});
  co_return co_await m_table.commit(std::move(Transaction));
}

/// Reads the table until it tells whether \p Operation stands.
asio::awaitable<bool> EntryHost::isCommitted(std::string Operation) {
  const TableQuery Query{ViewRow, false, 0};
  for (int Try = 0; Try < MaxSettleTries; ++Try) {
    const Result<std::vector<TableRow>> Rows = co_await m_table.read(Query);
    if (Rows) {
      co_await readTable();
      const ViewPtr Current = currentView();
      co_return Current &&hasOperation(*Current, Operation);
    }
    co_await sleepFor(SettleRetryDelay);
  }
  co_return false;
}

asio::awaitable<Result<ViewPtr>>
EntryHost::commitChange(Change Apply, std::string Operation) {
  for (int Try = 0; Try < MaxCommitTries; ++Try) {
    const ViewPtr Current = currentView();
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
    co_await readTable();
  }
  co_return std::error_code(ChangeErrc::TableUnavailable);
}

asio::awaitable<std::error_code> EntryHost::awaitInForce(Generation Wanted) {
  const TimePoint Limit = BootClock::now() + InForceTimeout;
  const ViewPtr Current = currentView();
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

Result<Json::Value> EntryHost::runChange(Change Apply,
                                         const std::string &Operation) {
  if (Operation.empty())
    return std::error_code(ChangeErrc::Malformed);
  std::promise<Result<Json::Value>> Promise;
  std::future<Result<Json::Value>> Done = Promise.get_future();
  asio::co_spawn(
      asio::make_strand(m_workers),
      [&]() -> asio::awaitable<void> {
        const Result<ViewPtr> Committed =
            co_await commitChange(Apply, Operation);
        if (!Committed) {
          Promise.set_value(Committed.error());
          co_return;
        }
        const std::error_code Error =
            co_await awaitInForce(Committed.value()->m_generation);
        Json::Value Out;
        Out["generation"] = Json::UInt64(Committed.value()->m_generation);
        Promise.set_value(Error ? Result<Json::Value>(Error)
                                : Result<Json::Value>(Out));
      },
      asio::detached);
  return Done.get();
}

} // namespace tamarackdrum
