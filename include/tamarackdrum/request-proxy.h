/// \file
/// Serves callers: routes a request, sends it to its server and tells the
/// caller the outcome. docs/OUTCOMES.md describes the headers.

#ifndef TAMARACKDRUM_REQUEST_PROXY_H
#define TAMARACKDRUM_REQUEST_PROXY_H

#include "tamarackdrum/http.h"
#include "tamarackdrum/outcome.h"
#include "tamarackdrum/poison-guard.h"
#include "tamarackdrum/routing.h"
#include "tamarackdrum/server-health.h"

namespace tamarackdrum {

/// Counters of requests by outcome.
struct RequestCounters {
  std::atomic<std::uint64_t> m_answered{0};
  std::atomic<std::uint64_t> m_notRun{0};
  std::atomic<std::uint64_t> m_unknown{0};
  std::atomic<std::uint64_t> m_retries{0};
};

/// A call that was admitted, with what is known about it.
struct AdmittedCall {
  const HttpRequest &m_request;
  std::shared_ptr<const ClassRoutes> m_routes;
  RouteQuery m_query;
  Fingerprint m_fingerprint = 0;
};

/// What one attempt, or all attempts of a call, came to.
struct Exchange {
  Verdict m_verdict;
  HttpResponse m_reply;    ///< The server's answer if the outcome is answered.
  std::string m_server;    ///< The server of the last dispatch; empty if none.
  bool m_hasToken = false; ///< The next dispatch is paid for already.
};

/// Makes the answer that tells the caller \p Final.
HttpResponse toResponse(const Verdict &Final);

/// Handler of the caller address. Thread-safe.
class RequestProxy {
public:
  RequestProxy(Router &Routes, HttpClient &Client, ServerHealth &Health,
               PoisonGuard &Poison)
      : m_router(Routes), m_client(Client), m_health(Health), m_poison(Poison) {
  }

  /// Answers one request, whatever happens to it.
  boost::asio::awaitable<HttpResponse> onCall(const HttpRequest &Call);

  /// Lets no call be dispatched, waited for or sent again beyond \p End, and
  /// refuses those that may not be repeated and might not end by then.
  void limitTo(TimePoint End) { m_end = End; }

  const RequestCounters &counters() const { return m_counters; }

private:
  Result<AdmittedCall> admit(const HttpRequest &Call, TimePoint Now) const;
  boost::asio::awaitable<Exchange> runAttempts(AdmittedCall Call);
  boost::asio::awaitable<Exchange> attempt(const AdmittedCall &Call);
  boost::asio::awaitable<Result<Dispatch>> obtain(const AdmittedCall &Call);
  boost::asio::awaitable<Exchange> forward(const AdmittedCall &Call,
                                           Dispatch Granted);
  bool mayRepeat(const AdmittedCall &Call, const Exchange &Last) const;
  boost::asio::awaitable<void> noteBroken(const AdmittedCall &Call,
                                          std::string Server, Endpoint Address);
  void noteHealth(const Exchange &Done, const ClassTarget &Target,
                  Millis TimeGiven);
  void count(Outcome Value);

  Router &m_router;
  HttpClient &m_client;
  ServerHealth &m_health;
  PoisonGuard &m_poison;
  RequestCounters m_counters;
  std::atomic<TimePoint> m_end{TimePoint::max()};
};

} // namespace tamarackdrum

#endif // TAMARACKDRUM_REQUEST_PROXY_H
