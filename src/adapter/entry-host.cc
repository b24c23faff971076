#include "tamarackdrum/entry-host.h"

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <random>

namespace asio = boost::asio;

namespace tamarackdrum {
namespace {

/// Shorter losses of the lease may be missing in the time line.
constexpr Millis SampleInterval{50};

std::uint64_t makeIncarnation() {
  std::random_device Device;
  constexpr int HalfBits = 32;
  return (static_cast<std::uint64_t>(Device()) << HalfBits) | Device();
}

/// Returns the first segment of "/class/key/...".
std::string_view classOf(std::string_view Target) {
  Target = Target.substr(0, Target.find('?'));
  if (!Target.empty() && Target.front() == '/')
    Target.remove_prefix(1);
  return Target.substr(0, Target.find('/'));
}

CallOutcome outcomeOf(const HttpResponse &Answer) {
  const auto Text = Answer["Tamarack-Outcome"];
  for (const CallOutcome Kind : {CallOutcome::Answered, CallOutcome::NotRun})
    if (Text == toText(Kind))
      return Kind;
  return CallOutcome::Unknown;
}

} // namespace

EntryHost::EntryHost(Settings Config, asio::io_context &Workers,
                     TableStore &Table, HostList &Hosts, HttpClient &PeerClient,
                     HttpClient &ServerClient)
    : m_settings(std::move(Config)), m_workers(Workers),
      m_metrics(m_settings.m_name, unixMillis()),
      m_keeper(m_settings, makeIncarnation(), Workers, Table, Hosts, PeerClient,
               m_router,
               [this] { return m_health.suspects(BootClock::now()); }),
      m_poison(Workers, PoisonPolicy(),
               {PeerClient, [this] { return m_keeper.view(); },
                m_settings.m_name, m_settings.m_sharedKey}),
      m_proxy(m_router, ServerClient, m_health, m_poison),
      m_prober(
          Workers, ServerClient, [this] { return m_keeper.view(); },
          m_settings.m_name, m_health),
      m_claims(m_settings.m_claims, m_settings.m_name, makeIncarnation(),
               Workers, Table),
      m_onceOnly(
          m_router, m_claims,
          [this](const HttpRequest &Call) { return m_proxy.onCall(Call); }),
      m_control(m_settings, Workers, m_keeper, m_router, m_proxy, m_poison,
                m_metrics),
      m_callerServer(
          Workers, parseEndpoint(m_settings.m_callerAddress).value(),
          HttpLimits{},
          [this](const HttpRequest &Call) { return answerCaller(Call); }),
      m_controlServer(Workers,
                      parseEndpoint(m_settings.m_controlAddress).value(),
                      HttpLimits{}, [this](const HttpRequest &Call) {
                        return m_control.onControl(Call);
                      }) {}

void EntryHost::start() {
  m_callerServer.start();
  m_controlServer.start();
  m_keeper.start();
  m_prober.start();
  m_claims.startSweep();
  m_poison.start();
  asio::co_spawn(asio::make_strand(m_workers), sampleLoop(), asio::detached);
}

void EntryHost::beginStop() {
  m_stopping = true;
  m_keeper.noteStop();
  m_prober.beginStop();
  m_poison.beginStop();
  m_callerServer.stop();
}

/// Answers a call and records what the caller was told.
asio::awaitable<HttpResponse> EntryHost::answerCaller(const HttpRequest &Call) {
  const TimePoint Start = BootClock::now();
  HttpResponse Answer = co_await m_onceOnly.onCall(Call);
  const std::string_view Target(Call.target().data(), Call.target().size());
  const std::string_view Reason(Answer["Tamarack-Reason"].data(),
                                Answer["Tamarack-Reason"].size());
  m_metrics.record({classOf(Target), outcomeOf(Answer), Reason,
                    BootClock::now() - Start, unixMillis()});
  co_return Answer;
}

asio::awaitable<void> EntryHost::sampleLoop() {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  while (!m_stopping) {
    const LeaseStatus Status = m_keeper.status();
    const std::int64_t Now = unixMillis();
    m_metrics.recordView(Status.m_view, Now);
    if (Status.m_view)
      m_metrics.recordLease(Status.m_hasLease, Now);
    sampleDispatches(Now);
    Timer.expires_after(SampleInterval);
    boost::system::error_code Ignored;
    co_await Timer.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  }
}

void EntryHost::sampleDispatches(std::int64_t Now) {
  const RoutingTablePtr Table = m_router.table();
  if (!Table)
    return;
  std::map<std::string, std::uint64_t> Counts;
  for (const auto &Entry : Table->m_classes)
    for (const std::vector<std::shared_ptr<SliceTerm>> *Terms :
         {&Entry.second.m_servers, &Entry.second.m_slices})
      for (const std::shared_ptr<SliceTerm> &Term : *Terms)
        if (Term->m_server)
          Counts[Term->m_server->m_record.m_name] =
              Term->m_server->m_load->m_dispatched.load();
  for (const std::pair<const std::string, std::uint64_t> &Count : Counts)
    m_metrics.recordDispatches(Count.first, Count.second, Now);
}

bool EntryHost::isIdle() const {
  return m_callerServer.openConnections() == 0 && m_router.inFlight() == 0 &&
         m_claims.unsettled() == 0;
}

} // namespace tamarackdrum
