/// \file
/// Decides whether a failed attempt to reach a server counts against the
/// server or against the host that reports it.
///
/// Load pattern: a host, or all hosts of a zone, are cut off from all servers
/// while the other hosts serve. Their reports must not take healthy servers out
/// of use for everybody.

#ifndef TAMARACKDRUM_GATEWAY_FAILURE_JUDGE_H
#define TAMARACKDRUM_GATEWAY_FAILURE_JUDGE_H

#include "tamarackdrum/core.h"

#include <map>
#include <string>

namespace tamarackdrum::gateway {

struct FailureJudgePolicy {
  /// A failure counts against its host if another host has reached the server
  /// within this time: several times the service time of a request.
  Millis m_reachedWindow{800};
  /// A server that has just ended was reached within that time, too. It counts
  /// as failed once two hosts that are not to blame have failed and no host has
  /// reached it for this long.
  Millis m_settleTime{150};
  /// Failures and successes are remembered for this long.
  Millis m_memory{3000};
  /// Servers with which a host must have failed, though others reach them,
  /// before its further failures count against itself.
  unsigned m_serversToBlameHost = 2;

  bool operator==(const FailureJudgePolicy &) const = default;
};

/// Attempts of hosts at the servers of one service. A host is identified by the
/// link over which it reports.
class FailureJudge {
public:
  explicit FailureJudge(FailureJudgePolicy Policy = {}) : m_policy(Policy) {}

  /// Records that the host behind \p Link got an answer of \p Server.
  void recordReached(const std::string &Server, std::uint32_t Link,
                     TimePoint Now);
  /// Records that it did not reach \p Server. Returns whether that counts
  /// against the server.
  bool recordFailed(const std::string &Server, std::uint32_t Link,
                    TimePoint Now);

private:
  using TimesByLink = std::map<std::uint32_t, TimePoint>;
  /// Failures with a server since a host last reached it.
  struct Failures {
    TimePoint m_firstAt;
    TimesByLink m_lastAt;
  };

  /// Removes what is older than the memory.
  void forget(TimePoint Now);
  bool isHostBlamed(std::uint32_t Link) const;

  FailureJudgePolicy m_policy;
  std::map<std::string, TimesByLink> m_reachedAt; ///< By server.
  std::map<std::string, Failures> m_failures;     ///< By server.
  /// By host, the servers that it failed to reach while others reached them.
  std::map<std::uint32_t, std::map<std::string, TimePoint>> m_blamedFor;
  TimePoint m_forgotAt{};
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_FAILURE_JUDGE_H
