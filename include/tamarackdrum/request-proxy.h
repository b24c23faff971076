/// \file
/// Serves callers: routes a request, sends it to its server and tells the
/// caller the outcome.

#ifndef TAMARACKDRUM_REQUEST_PROXY_H
#define TAMARACKDRUM_REQUEST_PROXY_H

#include "tamarackdrum/http.h"
#include "tamarackdrum/routing.h"
#include "tamarackdrum/server-health.h"

namespace tamarackdrum {

/// Outcome of a request as the caller is told.
enum class Outcome { Answered, NotRun, Unknown };

const char *toText(Outcome Value) noexcept;

/// Counters of requests by outcome.
struct RequestCounters {
  std::atomic<std::uint64_t> m_answered{0};
  std::atomic<std::uint64_t> m_notRun{0};
  std::atomic<std::uint64_t> m_unknown{0};
};

/// Handler of the caller address. Thread-safe.
class RequestProxy {
public:
  RequestProxy(Router &Routes, HttpClient &Client, ServerHealth &Health)
      : m_router(Routes), m_client(Client), m_health(Health) {}

  /// Answers one request, whatever happens to it.
  boost::asio::awaitable<HttpResponse> onCall(const HttpRequest &Call);

  const RequestCounters &counters() const { return m_counters; }

private:
  boost::asio::awaitable<HttpResponse> forward(const HttpRequest &Call,
                                               Dispatch Granted);

  Router &m_router;
  HttpClient &m_client;
  ServerHealth &m_health;
  RequestCounters m_counters;
};

} // namespace tamarackdrum

#endif // TAMARACKDRUM_REQUEST_PROXY_H
