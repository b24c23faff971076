/// \file
/// Guards once-only classes: a claim before the request is handled, and the
/// first run's answer for every re-sent id.

#ifndef TAMARACKDRUM_ONCE_ONLY_H
#define TAMARACKDRUM_ONCE_ONLY_H

#include "tamarackdrum/claim-store.h"
#include "tamarackdrum/http.h"
#include "tamarackdrum/routing.h"

namespace tamarackdrum {

/// Returns whether \p Id may be used as a request id: 1 to MaxRequestId
/// printable ASCII characters without spaces.
bool isRequestId(std::string_view Id) noexcept;

/// Stands before the handler of the caller address. Requests of other classes
/// pass through. Thread-safe; all dependencies outlive it.
class OnceOnlyGate {
public:
  /// \p Next says in its `Tamarack-Outcome` header how the request ended.
  OnceOnlyGate(const Router &Routes, ClaimStore &Claims, HttpHandler Next)
      : m_router(Routes), m_claims(Claims), m_next(std::move(Next)) {}

  boost::asio::awaitable<HttpResponse> onCall(const HttpRequest &Call);

private:
  boost::asio::awaitable<HttpResponse> run(const HttpRequest &Call,
                                           ClaimAttempt Claim);

  const Router &m_router;
  ClaimStore &m_claims;
  const HttpHandler m_next;
};

} // namespace tamarackdrum

#endif // TAMARACKDRUM_ONCE_ONLY_H
