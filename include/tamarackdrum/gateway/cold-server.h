/// \file
/// Whether a backend server is cold, and the permits to send it requests while
/// it is.

#ifndef TAMARACKDRUM_GATEWAY_COLD_SERVER_H
#define TAMARACKDRUM_GATEWAY_COLD_SERVER_H

#include "tamarackdrum/gateway/rate-limit.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace tamarackdrum::gateway {

/// The operator's settings for the cold servers of a service.
struct ColdPolicy {
  double m_perSecond = 0; ///< Requests a cold server tolerates; 0: no limit.
  Millis m_coldTime{0};   ///< Time for which a server is cold.

  bool operator==(const ColdPolicy &) const = default;
};

/// Bound on the requests that a cold server gets in any second, from all hosts
/// together: ColdPolicy::m_perSecond multiplied by the factor, plus the slack.
struct ColdBound {
  double m_factor = 1.5;
  double m_slack = 8;

  bool operator==(const ColdBound &) const = default;
};

/// Returns the permits a second that all dispatchers together may issue, as a
/// part of ColdPolicy::m_perSecond. A dispatcher that decides for all hosts has
/// this part, and the hosts that decide by themselves share FallbackColdShare
/// of it.
double coldRateFactor(const ColdBound &Bound);
inline constexpr double FallbackColdShare = 0.25;

/// Returns how permits for cold servers are kept. \p Bound gives the burst.
PermitPolicy coldPermits(const ColdBound &Bound);

/// What one dispatcher knows about the coldness of one instance of a server.
///
/// Load pattern: the servers of a zone come back together. A cold server
/// crashes well above a low rate of requests, the registry reports up to 2.5 s
/// late that it is cold, and the load of the others waits for it.
///
/// Events after which the server may have become cold make its state unknown.
/// It then counts as cold until an answer to a request that was sent after the
/// event says otherwise, the registry shows a report that was made after the
/// event, or the configured cold time has passed.
class ColdState {
public:
  /// Records a report in the registry. The same report may be seen again; its
  /// time left counts from the first time.
  void noteReport(std::uint64_t Number, Millis Left, TimePoint Now);

  /// Records the time left that the answer to a request that was sent at
  /// \p SentAt says. Returns whether that changes the state.
  bool noteAnswer(Millis Left, TimePoint SentAt, TimePoint Now);

  /// Records an event after which the server may be cold for \p ColdTime.
  /// \p IsShared: the observation is that of all hosts.
  void noteEvent(Millis ColdTime, bool IsShared, TimePoint Now);

  /// Records that another host expects the server to be cold for \p Left.
  void adopt(Millis Left, TimePoint Now) { noteEvent(Left, true, Now); }

  bool isCold(TimePoint Now) const { return timeLeft(Now) > Millis(0); }
  /// Returns whether the server counts as cold only because nothing is known
  /// since the last event.
  bool isUnknown(TimePoint Now) const {
    return Now < m_unknownUntil && m_reportedUntil <= Now;
  }
  /// Returns the time until the server counts as warm, or 0.
  Millis timeLeft(TimePoint Now) const;
  /// Returns the part of it that a new coordinator cannot read from the
  /// registry, or 0.
  Millis sharedTimeLeft(TimePoint Now) const;

private:
  TimePoint m_reportedUntil{};
  std::uint64_t m_reportNumber = 0;
  Millis m_reportedLeft{0};
  TimePoint m_eventAt{};
  TimePoint m_unknownUntil{};
  bool m_isShared = false;
  /// Number of the first report seen after the event; 0 if none was seen.
  std::uint64_t m_firstAfterEvent = 0;
};

/// Decides when the servers of one dispatcher whose state is unknown are asked
/// whether they are cold.
///
/// Load pattern: all servers of a site are listed again after an outage of the
/// store. Healthy ones would be used at the rate of cold ones for seconds.
class ColdProbeSchedule {
public:
  /// Returns those of \p Unknown that are to be probed at \p Now, and counts
  /// them as in flight. Servers that were probed longest ago come first.
  std::vector<std::string> take(std::vector<std::string> Unknown,
                                TimePoint Now);

  /// Records the end of the probe of \p Server.
  void end(const std::string &Server);

private:
  struct Probe {
    TimePoint m_sentAt{};
    bool m_isInFlight = false;
  };

  std::map<std::string, Probe> m_probes; ///< Last probe of each server.
  std::deque<TimePoint> m_sentTimes;     ///< Within the last second.
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_COLD_SERVER_H
