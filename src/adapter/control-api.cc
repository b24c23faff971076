#include "tamarackdrum/control-api.h"

#include "tamarackdrum/declaration-check.h"
#include "tamarackdrum/error.h"
#include "tamarackdrum/group-change.h"
#include "tamarackdrum/planner.h"
#include "tamarackdrum/rebalance-json.h"
#include "tamarackdrum/report-json.h"
#include "tamarackdrum/view-diff.h"
#include "tamarackdrum/view-json.h"

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <future>

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace tamarackdrum {
namespace {

constexpr std::size_t OperatorThreads = 4;

} // namespace

ControlApi::ControlApi(const Settings &Config, asio::io_context &Workers,
                       ViewKeeper &Keeper, Router &Routes,
                       const RequestProxy &Proxy, PoisonGuard &Poison,
                       const Metrics &Recorded)
    : m_settings(Config), m_workers(Workers), m_keeper(Keeper),
      m_router(Routes), m_proxy(Proxy), m_poison(Poison), m_metrics(Recorded),
      m_operatorPool(OperatorThreads) {
  addMethods();
}

void ControlApi::addMethods() {
  m_peerRpc.addMethod("renew", [this](const Json::Value &Parameters) {
    return rpcRenew(Parameters);
  });
  m_peerRpc.addMethod("install", [this](const Json::Value &Parameters) {
    return rpcInstall(Parameters);
  });
  m_peerRpc.addMethod("loads", [this](const Json::Value &Parameters) {
    return rpcLoads(Parameters);
  });
  m_peerRpc.addMethod(
      "evidence", [this](const Json::Value &Parameters) -> Result<Json::Value> {
        const std::error_code Error = m_poison.receive(Parameters);
        if (Error)
          return Error;
        return Json::Value(Json::objectValue);
      });
  m_operatorRpc.addMethod("change", [this](const Json::Value &Parameters) {
    return rpcChange(Parameters);
  });
  m_operatorRpc.addMethod("classes", [this](const Json::Value &Parameters) {
    return rpcClasses(Parameters);
  });
  m_operatorRpc.addMethod("remove_members",
                          [this](const Json::Value &Parameters) {
                            return rpcRemoveMembers(Parameters);
                          });
  m_operatorRpc.addMethod("status", [this](const Json::Value &Parameters) {
    return rpcStatus(Parameters);
  });
  m_operatorRpc.addMethod("report", [this](const Json::Value &Parameters) {
    return rpcReport(Parameters);
  });
  m_operatorRpc.addMethod("fault", [this](const Json::Value &Parameters) {
    return rpcFault(Parameters);
  });
}

asio::awaitable<HttpResponse> ControlApi::onControl(const HttpRequest &Call) {
  if (Call.method() == http::verb::get && Call.target() == "/metrics")
    co_return exposeMetrics();
  const std::error_code Refused =
      checkControlCall(Call, m_settings.m_sharedKey);
  if (Refused) {
    m_refused.fetch_add(1);
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

Result<Json::Value> ControlApi::rpcRenew(const Json::Value &Parameters) {
  const Result<RenewRequest> Request = renewRequestFromJson(Parameters);
  if (!Request)
    return Request.error();
  if (m_keeper.faults().cutsFrom(Request.value().m_from))
    return std::error_code(ControlErrc::Unreachable);
  return toJson(m_keeper.onRenew(Request.value()));
}

Result<Json::Value> ControlApi::rpcInstall(const Json::Value &Parameters) {
  Result<View> Next = viewFromJson(Parameters["view"]);
  if (!Next)
    return Next.error();
  if (m_keeper.faults().cutsFrom(Parameters.get("from", "").asString()))
    return std::error_code(ControlErrc::Unreachable);
  m_keeper.adopt(std::make_shared<const View>(std::move(Next).value()),
                 ViewSource::Peer);
  return Json::Value(Json::objectValue);
}

Result<Json::Value> ControlApi::rpcLoads(const Json::Value & /*Parameters*/) {
  return toJson(m_router.takeLoads());
}

Result<Json::Value> ControlApi::rpcChange(const Json::Value &Parameters) {
  const Result<ServerChange> Change = changeFromJson(Parameters);
  if (!Change)
    return std::error_code(ChangeErrc::Malformed);
  SettingsFaults Faults;
  if (Change.value().m_action == ServerAction::Join)
    readServers(Parameters["servers"], "$.servers", Faults);
  if (!Faults.empty())
    return std::error_code(ChangeErrc::Malformed);
  return runChange(
      [&](View Next) {
        return applyServerChange(std::move(Next), Change.value());
      },
      Change.value().m_operation);
}

Result<Json::Value> ControlApi::rpcClasses(const Json::Value &Parameters) {
  SettingsFaults Faults;
  const std::vector<ClassTarget> Classes =
      readClasses(Parameters["classes"], "$.classes",
                  m_settings.m_lease.m_maxDispatch, Faults);
  if (!Faults.empty())
    return std::error_code(ChangeErrc::Malformed);
  return runChange(
      [&](View Next) { return applyClasses(std::move(Next), Classes); },
      Parameters["operation"].asString());
}

/// Removes members whose processes an operator declares to have ended.
Result<Json::Value>
ControlApi::rpcRemoveMembers(const Json::Value &Parameters) {
  std::vector<std::string> Names;
  for (const Json::Value &Name : Parameters["names"])
    Names.push_back(Name.asString());
  const std::string Operation = Parameters["operation"].asString();
  return runChange(
      [&](View Next) -> Result<View> {
        Result<View> Changed = removeLostMembers(std::move(Next), Names);
        if (!Changed)
          return Changed;
        return recordOperation(std::move(Changed).value(), Operation);
      },
      Operation);
}

Result<Json::Value> ControlApi::rpcStatus(const Json::Value & /*Parameters*/) {
  Json::Value Out;
  Out["process"] = m_settings.m_name;
  Out["max_dispatch_ms"] =
      Json::Int64(m_settings.m_lease.m_maxDispatch.count());
  const LeaseStatus Status = m_keeper.status();
  Out["has_lease"] = Status.m_hasLease;
  Out["state"] = toText(Status.m_state);
  Out["settled"] = Json::UInt64(Status.m_settled);
  Out["drained"] = Json::UInt64(Status.m_drained);
  const RequestCounters &Counters = m_proxy.counters();
  Out["answered"] = Json::UInt64(Counters.m_answered.load());
  Out["not_run"] = Json::UInt64(Counters.m_notRun.load());
  Out["unknown"] = Json::UInt64(Counters.m_unknown.load());
  Out["poisoned"] = Json::UInt64(m_poison.countRefused());
  if (Status.m_view)
    Out["view"] = toJson(*Status.m_view);
  return Out;
}

Result<Json::Value> ControlApi::rpcReport(const Json::Value &Parameters) {
  const Json::Value &Since = Parameters["since_unix_ms"];
  if (!Since.isInt64())
    return std::error_code(ControlErrc::Malformed);
  return toJson(m_metrics.window(Since.asInt64()));
}

HttpResponse ControlApi::exposeMetrics() const {
  const LeaseStatus Status = m_keeper.status();
  const ProcessGauges Gauges{
      Status.m_hasLease, Status.m_view ? Status.m_view->m_generation : 0,
      Status.m_settled, m_router.inFlight(), m_refused.load()};
  return makeResponse(200,
                      toPrometheusText(m_metrics, m_settings.m_name, Gauges),
                      "text/plain; version=0.0.4");
}

/// Returns the committed view if \p Apply would not change what it declares,
/// null if it would.
asio::awaitable<Result<ViewPtr>> ControlApi::findStanding(ViewChange Apply) {
  if (co_await m_keeper.refresh())
    co_return std::error_code(ChangeErrc::TableUnavailable);
  const ViewPtr Current = m_keeper.view();
  if (!Current)
    co_return std::error_code(ChangeErrc::TableUnavailable);
  const Result<View> Changed =
      Apply(nextGeneration(*Current, m_settings.m_name, ""));
  const bool IsStanding = Changed && declaresSame(*Current, Changed.value());
  co_return IsStanding ? Current : ViewPtr();
}

Result<Json::Value> ControlApi::rpcFault(const Json::Value &Parameters) {
  if (!m_settings.m_allowFaults)
    return std::error_code(ControlErrc::Unauthorized);
  std::set<std::string> CutTo;
  for (const Json::Value &Name : Parameters["cut_to"])
    CutTo.insert(Name.asString());
  std::set<std::string> CutFrom;
  for (const Json::Value &Name : Parameters["cut_from"])
    CutFrom.insert(Name.asString());
  m_keeper.faults().set(std::move(CutTo), std::move(CutFrom));
  return Json::Value(Json::objectValue);
}

Result<Json::Value> ControlApi::runChange(ViewChange Apply,
                                          const std::string &Operation) {
  if (Operation.empty())
    return std::error_code(ChangeErrc::Malformed);
  std::promise<Result<Json::Value>> Promise;
  std::future<Result<Json::Value>> Done = Promise.get_future();
  asio::co_spawn(
      asio::make_strand(m_workers),
      [&]() -> asio::awaitable<void> {
        Result<ViewPtr> Committed = co_await findStanding(Apply);
        const bool IsChange = !Committed || !Committed.value();
        if (IsChange)
          Committed = co_await m_keeper.commitChange(Apply, Operation);
        if (!Committed) {
          Promise.set_value(Committed.error());
          co_return;
        }
        const std::error_code Error =
            co_await m_keeper.awaitInForce(Committed.value()->m_generation);
        Json::Value Out;
        Out["generation"] = Json::UInt64(Committed.value()->m_generation);
        Out["changed"] = IsChange;
        Promise.set_value(Error ? Result<Json::Value>(Error)
                                : Result<Json::Value>(Out));
      },
      asio::detached);
  return Done.get();
}

} // namespace tamarackdrum
