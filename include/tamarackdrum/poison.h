/// \file
/// Requests that crash servers: evidence of crashes by request fingerprint,
/// shared between processes, and the verdict on a fingerprint.

#ifndef TAMARACKDRUM_POISON_H
#define TAMARACKDRUM_POISON_H

#include "tamarackdrum/core.h"

#include <json/value.h>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace tamarackdrum {

/// Hash of what a server gets of a request.
using Fingerprint = std::uint64_t;

/// Returns the fingerprint of a request, e.g.
/// `fingerprintOf("POST", "/pages/render", Body)`. The target holds the class.
Fingerprint fingerprintOf(std::string_view Method, std::string_view Target,
                          std::string_view Body) noexcept;

/// A request was in flight at a server when the server crashed.
struct CrashMark {
  std::string m_server;
  std::int64_t m_atMs = 0; ///< On the clock of the registry's callers.
  /// The request has been answered since, and all processes are told so.
  bool m_isVoid = false;

  bool operator==(const CrashMark &) const = default;
};

/// What is known of one suspected fingerprint.
struct PoisonEvidence {
  Fingerprint m_fingerprint = 0;
  std::vector<CrashMark> m_crashes; ///< Sorted.
  /// Last answer that is known; crashes up to it are void.
  std::optional<std::int64_t> m_answeredAtMs;

  bool operator==(const PoisonEvidence &) const = default;
};

Json::Value toJson(const std::vector<PoisonEvidence> &Evidence);
/// Errors are of ControlErrc.
Result<std::vector<PoisonEvidence>> evidenceFromJson(const Json::Value &Value);

/// When a fingerprint is refused.
struct PoisonPolicy {
  unsigned m_crashesToRefuse = 2;
  /// For a fingerprint that has been answered within the time to live: one
  /// that many callers send is often beside the one that crashes servers.
  unsigned m_crashesIfAnswered = 4;
  /// Crashes not told to be void at which an answer makes them so; 0: never.
  /// An answer after a single crash, the usual case, need not be told.
  unsigned m_crashesToVoid = 0;
  Millis m_sameCrash{2000}; ///< Marks of a server this close are one crash.
  /// Time without a crash after which a single refused request is sent, to find
  /// out whether it crashes servers; 0: never.
  Millis m_trialDelay{0};
  Millis m_timeToLive{600000};
  std::size_t m_maxEntries = 4096;
  std::size_t m_answeredSlots = 16384; ///< Answers remembered at most.

  bool operator==(const PoisonPolicy &) const = default;
};

/// Returns the times of the crashes of \p Evidence that count at \p NowMs.
std::vector<std::int64_t> crashTimes(const PoisonEvidence &Evidence,
                                     std::int64_t NowMs,
                                     const PoisonPolicy &Policy);

/// Returns their number.
unsigned countCrashes(const PoisonEvidence &Evidence, std::int64_t NowMs,
                      const PoisonPolicy &Policy);

/// What the evidence of a fingerprint amounts to.
struct PoisonVerdict {
  unsigned m_crashes = 0;     ///< That count.
  unsigned m_limit = 0;       ///< Crashes at which requests are refused.
  bool m_wasAnswered = false; ///< Within the time to live.

  bool isRefused() const { return m_crashes >= m_limit; }
  bool operator==(const PoisonVerdict &) const = default;
};

/// Returns what \p Evidence amounts to at \p NowMs.
PoisonVerdict judge(const PoisonEvidence &Evidence, std::int64_t NowMs,
                    const PoisonPolicy &Policy);

/// Evidence of one process and of its peers. Thread-safe. Merging is
/// commutative and idempotent, so evidence may arrive late, twice and in any
/// order.
class PoisonRegistry {
public:
  explicit PoisonRegistry(PoisonPolicy Policy)
      : m_policy(Policy), m_answered(Policy.m_answeredSlots) {}

  PoisonVerdict verdict(Fingerprint Request, std::int64_t NowMs) const;

  /// Returns whether requests with this fingerprint are refused.
  bool isPoisoned(Fingerprint Request, std::int64_t NowMs) const {
    return verdict(Request, NowMs).isRefused();
  }

  /// Returns the number of fingerprints that are refused.
  std::size_t countPoisoned(std::int64_t NowMs) const;

  /// Notes that \p Request was in flight when \p Server crashed.
  void noteCrash(Fingerprint Request, const std::string &Server,
                 std::int64_t NowMs);

  /// Notes that \p Request was answered; crashes before are void. Returns the
  /// servers whose crashes the other processes must be told to be void.
  std::vector<std::string> noteAnswered(Fingerprint Request,
                                        std::int64_t NowMs);

  /// Notes that another process has found the crash of \p Server, reported yet
  /// or not, to be void.
  void voidCrash(Fingerprint Request, const std::string &Server,
                 std::int64_t NowMs);

  /// Returns whether a refused request may be sent as a trial: there was
  /// neither a crash nor a trial for \p Wait, which is at least m_trialDelay,
  /// and no trial has crashed a server yet.
  bool isTrialDue(Fingerprint Request, std::int64_t NowMs, Millis Wait) const;
  void noteTrial(Fingerprint Request, std::int64_t NowMs);

  /// Returns whether \p Request is known to have been answered after \p
  /// SinceMs.
  bool wasAnsweredAfter(Fingerprint Request, std::int64_t SinceMs) const;

  std::vector<PoisonEvidence> snapshot() const;
  void merge(const std::vector<PoisonEvidence> &Evidence, std::int64_t NowMs);

  /// Grows with each change of the evidence.
  std::uint64_t revision() const;

private:
  void add(const PoisonEvidence &Evidence, std::int64_t NowMs);
  void dropExpired(std::int64_t NowMs);

  struct Answered {
    Fingerprint m_request = 0;
    std::optional<std::int64_t> m_atMs;
  };
  std::size_t slotOf(Fingerprint Request) const {
    return Request % m_answered.size();
  }
  /// Returns the time of the last answer, if it is remembered.
  std::optional<std::int64_t> lastAnswer(Fingerprint Request) const {
    const Answered &Slot = m_answered[slotOf(Request)];
    return Slot.m_request == Request ? Slot.m_atMs : std::nullopt;
  }

  const PoisonPolicy m_policy;
  mutable std::mutex m_mutex;
  std::map<Fingerprint, PoisonEvidence> m_entries;
  std::map<Fingerprint, std::int64_t> m_trials; ///< Times of the last ones.
  std::vector<Answered> m_answered;             ///< Last answers, by hash.
  std::uint64_t m_revision = 0;
};

} // namespace tamarackdrum

#endif // TAMARACKDRUM_POISON_H
