#include "tamarackdrum/metrics-sampler.h"

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>

namespace asio = boost::asio;

namespace tamarackdrum {
namespace {

/// Shorter losses of the lease may be missing in the time line.
constexpr Millis SampleInterval{50};

/// Returns the first segment of "/class/key/...".
std::string_view classOf(std::string_view Target) {
  Target = Target.substr(0, Target.find('?'));
  if (!Target.empty() && Target.front() == '/')
    Target.remove_prefix(1);
  return Target.substr(0, Target.find('/'));
}

CallOutcome outcomeOf(const HttpResponse &Answer) {
  const std::string_view Text(Answer["Tamarack-Outcome"].data(),
                              Answer["Tamarack-Outcome"].size());
  for (const CallOutcome Kind : {CallOutcome::Answered, CallOutcome::NotRun})
    if (Text == toText(Kind))
      return Kind;
  return CallOutcome::Unknown;
}

} // namespace

asio::awaitable<HttpResponse> MetricsSampler::onCall(const HttpRequest &Call) {
  const TimePoint Start = BootClock::now();
  HttpResponse Answer = co_await m_handler(Call);
  const std::string_view Target(Call.target().data(), Call.target().size());
  const std::string_view Reason(Answer["Tamarack-Reason"].data(),
                                Answer["Tamarack-Reason"].size());
  m_metrics.record({classOf(Target), outcomeOf(Answer), Reason,
                    BootClock::now() - Start, unixMillis()});
  co_return Answer;
}

asio::awaitable<void> MetricsSampler::run() {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  for (;;) {
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

void MetricsSampler::sampleDispatches(std::int64_t Now) {
  const RoutingTablePtr Table = m_router.table();
  if (!Table)
    return;
  std::map<std::string, std::uint64_t> Counts;
  for (const ClassRouteMap::value_type &Entry : Table->m_classes)
    for (const std::vector<std::shared_ptr<SliceTerm>> *Terms :
         {&Entry.second.m_servers, &Entry.second.m_slices})
      for (const std::shared_ptr<SliceTerm> &Term : *Terms)
        if (Term->m_server)
          Counts[Term->m_server->m_record.m_name] =
              Term->m_server->m_load->m_dispatched.load();
  for (const std::pair<const std::string, std::uint64_t> &Count : Counts)
    m_metrics.recordDispatches(Count.first, Count.second, Now);
}

} // namespace tamarackdrum
