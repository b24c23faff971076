/// \file
/// What a dispatcher concludes from the load that a server reports.

#ifndef TAMARACKDRUM_GATEWAY_SERVER_LOAD_H
#define TAMARACKDRUM_GATEWAY_SERVER_LOAD_H

#include "tamarackdrum/gateway/answer-report.h"

namespace tamarackdrum::gateway {

/// The last load that one server has reported.
///
/// Load pattern: servers that share machines with others become several times
/// as slow for some 400 ms. A report tells that earlier than service times do,
/// and tells a slow moment from a slow server.
class ServerLoad {
public:
  void note(const ReportedLoad &Reported, TimePoint Now);

  /// Returns how long work takes at present, relative to the usual: more than 1
  /// only if a fresh report says that the server is slow.
  double slowness(TimePoint Now) const;

  /// Returns whether a fresh report names more waiting requests than the
  /// \p Waiting ones of the dispatcher.
  bool isOverfilled(std::size_t Waiting, TimePoint Now) const;

private:
  bool isFresh(TimePoint Now) const;

  std::optional<ReportedLoad> m_last;
  TimePoint m_reportedAt{};
};

/// Returns the time that a request would usually have taken that took
/// \p ServiceMs at the load that its answer reports.
double usualServiceMs(double ServiceMs,
                      const std::optional<ReportedLoad> &Reported);

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_SERVER_LOAD_H
