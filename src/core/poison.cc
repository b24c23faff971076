#include "tamarackdrum/poison.h"

#include "tamarackdrum/error.h"

#include <algorithm>
#include <cstdlib>
#include <tuple>

namespace tamarackdrum {
namespace {

constexpr std::size_t MaxMarks = 16;
/// Stands for "never" in messages, whose times are Unix times.
constexpr std::int64_t NeverAnswered = 0;

bool isExpired(const PoisonEvidence &Evidence, std::int64_t NowMs,
               const PoisonPolicy &Policy) {
  const std::int64_t Oldest = NowMs - Policy.m_timeToLive.count();
  return std::all_of(
      Evidence.m_crashes.begin(), Evidence.m_crashes.end(),
      [&](const CrashMark &Mark) { return Mark.m_atMs <= Oldest; });
}

/// Returns whether \p Mark or another mark of the same crash is void.
bool isVoid(const CrashMark &Mark, const PoisonEvidence &Evidence,
            const PoisonPolicy &Policy) {
  return std::any_of(Evidence.m_crashes.begin(), Evidence.m_crashes.end(),
                     [&](const CrashMark &Other) {
                       return Other.m_isVoid &&
                              Other.m_server == Mark.m_server &&
                              std::abs(Other.m_atMs - Mark.m_atMs) <=
                                  Policy.m_sameCrash.count();
                     });
}

/// Returns whether \p Evidence tells of an answer after \p OldestMs.
bool hasAnswer(const PoisonEvidence &Evidence, std::int64_t OldestMs) {
  if (Evidence.m_answeredAtMs > OldestMs)
    return true;
  return std::any_of(Evidence.m_crashes.begin(), Evidence.m_crashes.end(),
                     [&](const CrashMark &Mark) {
                       return Mark.m_isVoid && Mark.m_atMs > OldestMs;
                     });
}

/// Sorts \p Marks and joins those of one moment; drops the oldest if there are
/// too many.
void normalize(std::vector<CrashMark> &Marks) {
  const auto IsNewer = [](const CrashMark &Left, const CrashMark &Right) {
    return std::tie(Left.m_atMs, Left.m_server, Left.m_isVoid) >
           std::tie(Right.m_atMs, Right.m_server, Right.m_isVoid);
  };
  const auto IsSameMark = [](const CrashMark &Left, const CrashMark &Right) {
    return Left.m_atMs == Right.m_atMs && Left.m_server == Right.m_server;
  };
  std::sort(Marks.begin(), Marks.end(), IsNewer);
  // Of equal marks the void one comes first and stays.
  Marks.erase(std::unique(Marks.begin(), Marks.end(), IsSameMark), Marks.end());
  if (Marks.size() > MaxMarks)
    Marks.resize(MaxMarks);
  std::sort(Marks.begin(), Marks.end(),
            [](const CrashMark &Left, const CrashMark &Right) {
              return std::tie(Left.m_server, Left.m_atMs) <
                     std::tie(Right.m_server, Right.m_atMs);
            });
}

PoisonEvidence oneFromJson(const Json::Value &Value) {
  PoisonEvidence Out;
  Out.m_fingerprint = Value["fingerprint"].asUInt64();
  const std::int64_t AnsweredAtMs = Value["answered_at_ms"].asInt64();
  if (AnsweredAtMs != NeverAnswered)
    Out.m_answeredAtMs = AnsweredAtMs;
  for (const Json::Value &Item : Value["crashes"])
    Out.m_crashes.push_back({Item["server"].asString(), Item["at_ms"].asInt64(),
                             Item.get("void", false).asBool()});
  return Out;
}

} // namespace

Fingerprint fingerprintOf(std::string_view Method, std::string_view Target,
                          std::string_view Body) noexcept {
  constexpr std::uint64_t Multiplier = 0x9E3779B97F4A7C15ULL;
  std::uint64_t Out = hashKey(Method);
  Out = (Out ^ hashKey(Target)) * Multiplier;
  return (Out ^ hashKey(Body)) * Multiplier;
}

Json::Value toJson(const std::vector<PoisonEvidence> &Evidence) {
  Json::Value Out(Json::arrayValue);
  for (const PoisonEvidence &One : Evidence) {
    Json::Value Item;
    Item["fingerprint"] = Json::UInt64(One.m_fingerprint);
    Item["answered_at_ms"] =
        Json::Int64(One.m_answeredAtMs.value_or(NeverAnswered));
    Item["crashes"] = Json::Value(Json::arrayValue);
    for (const CrashMark &Mark : One.m_crashes) {
      Json::Value Crash;
      Crash["server"] = Mark.m_server;
      Crash["at_ms"] = Json::Int64(Mark.m_atMs);
      if (Mark.m_isVoid)
        Crash["void"] = true;
      Item["crashes"].append(Crash);
    }
    Out.append(Item);
  }
  return Out;
}

Result<std::vector<PoisonEvidence>> evidenceFromJson(const Json::Value &Value) {
  std::vector<PoisonEvidence> Out;
  try {
    for (const Json::Value &Item : Value)
      Out.push_back(oneFromJson(Item));
  } catch (const Json::Exception &) {
    return std::error_code(ControlErrc::Malformed);
  }
  return Out;
}

std::vector<std::int64_t> crashTimes(const PoisonEvidence &Evidence,
                                     std::int64_t NowMs,
                                     const PoisonPolicy &Policy) {
  const std::int64_t Oldest = NowMs - Policy.m_timeToLive.count();
  std::vector<std::int64_t> Out;
  const CrashMark *Last = nullptr;
  for (const CrashMark &Mark : Evidence.m_crashes) {
    if (Mark.m_atMs <= Oldest || Mark.m_atMs <= Evidence.m_answeredAtMs ||
        isVoid(Mark, Evidence, Policy))
      continue;
    const bool IsSame =
        Last != nullptr && Last->m_server == Mark.m_server &&
        Mark.m_atMs - Last->m_atMs <= Policy.m_sameCrash.count();
    if (IsSame)
      continue;
    Last = &Mark;
    Out.push_back(Mark.m_atMs);
  }
  return Out;
}

unsigned countCrashes(const PoisonEvidence &Evidence, std::int64_t NowMs,
                      const PoisonPolicy &Policy) {
  return static_cast<unsigned>(crashTimes(Evidence, NowMs, Policy).size());
}

PoisonVerdict judge(const PoisonEvidence &Evidence, std::int64_t NowMs,
                    const PoisonPolicy &Policy) {
  PoisonVerdict Out;
  Out.m_crashes = countCrashes(Evidence, NowMs, Policy);
  Out.m_wasAnswered = hasAnswer(Evidence, NowMs - Policy.m_timeToLive.count());
  Out.m_limit =
      Out.m_wasAnswered ? Policy.m_crashesIfAnswered : Policy.m_crashesToRefuse;
  return Out;
}

PoisonVerdict PoisonRegistry::verdict(Fingerprint Request,
                                      std::int64_t NowMs) const {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  const auto Found = m_entries.find(Request);
  if (Found == m_entries.end())
    return {0, m_policy.m_crashesToRefuse, false};
  return judge(Found->second, NowMs, m_policy);
}

std::size_t PoisonRegistry::countPoisoned(std::int64_t NowMs) const {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  return static_cast<std::size_t>(std::count_if(
      m_entries.begin(), m_entries.end(),
      [&](const std::pair<const Fingerprint, PoisonEvidence> &Entry) {
        return judge(Entry.second, NowMs, m_policy).isRefused();
      }));
}

void PoisonRegistry::noteCrash(Fingerprint Request, const std::string &Server,
                               std::int64_t NowMs) {
  PoisonEvidence Evidence;
  Evidence.m_fingerprint = Request;
  Evidence.m_crashes.push_back({Server, NowMs});
  const std::lock_guard<std::mutex> Lock(m_mutex);
  Evidence.m_answeredAtMs = lastAnswer(Request);
  add(Evidence, NowMs);
}

std::vector<std::string> PoisonRegistry::noteAnswered(Fingerprint Request,
                                                      std::int64_t NowMs) {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  m_answered[slotOf(Request)] = {Request, NowMs};
  const auto Found = m_entries.find(Request);
  if (Found == m_entries.end())
    return {};
  PoisonEvidence &Known = Found->second;
  // What processes count that have not got this answer or an earlier one.
  PoisonEvidence Elsewhere = Known;
  Elsewhere.m_answeredAtMs.reset();
  const unsigned Untold = countCrashes(Elsewhere, NowMs, m_policy);
  if (countCrashes(Known, NowMs, m_policy) > 0) {
    Known.m_answeredAtMs = NowMs;
    ++m_revision;
  }
  if (m_policy.m_crashesToVoid == 0 || Untold < m_policy.m_crashesToVoid)
    return {};
  std::vector<std::string> Out;
  for (CrashMark &Mark : Known.m_crashes) {
    if (isVoid(Mark, Elsewhere, m_policy))
      continue;
    Mark.m_isVoid = true;
    Out.push_back(Mark.m_server);
  }
  ++m_revision;
  return Out;
}

void PoisonRegistry::voidCrash(Fingerprint Request, const std::string &Server,
                               std::int64_t NowMs) {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  PoisonEvidence Evidence;
  Evidence.m_fingerprint = Request;
  const auto Found = m_entries.find(Request);
  if (Found != m_entries.end())
    for (const CrashMark &Mark : Found->second.m_crashes)
      if (Mark.m_server == Server)
        Evidence.m_crashes.push_back({Server, Mark.m_atMs, true});
  if (Evidence.m_crashes.empty())
    Evidence.m_crashes.push_back({Server, NowMs, true});
  add(Evidence, NowMs);
}

bool PoisonRegistry::isTrialDue(Fingerprint Request, std::int64_t NowMs,
                                Millis Wait) const {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  const auto Found = m_entries.find(Request);
  if (m_policy.m_trialDelay == Millis(0) || Found == m_entries.end())
    return false;
  const PoisonVerdict Verdict = judge(Found->second, NowMs, m_policy);
  if (!Verdict.isRefused())
    return false;
  std::vector<std::int64_t> Times = crashTimes(Found->second, NowMs, m_policy);
  std::sort(Times.begin(), Times.end());
  const std::int64_t RefusedSince = Times[Verdict.m_limit - 1];
  // So late a crash is that of a trial.
  if (Times.back() - RefusedSince >= m_policy.m_trialDelay.count())
    return false;
  const auto Trial = m_trials.find(Request);
  const std::int64_t Last = Trial == m_trials.end()
                                ? Times.back()
                                : std::max(Times.back(), Trial->second);
  return NowMs - Last >= Wait.count();
}

void PoisonRegistry::noteTrial(Fingerprint Request, std::int64_t NowMs) {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  std::erase_if(m_trials, [&](const auto &Item) {
    return Item.second <= NowMs - m_policy.m_timeToLive.count();
  });
  m_trials[Request] = NowMs;
}

bool PoisonRegistry::wasAnsweredAfter(Fingerprint Request,
                                      std::int64_t SinceMs) const {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  return lastAnswer(Request) > SinceMs;
}

std::vector<PoisonEvidence> PoisonRegistry::snapshot() const {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  std::vector<PoisonEvidence> Out;
  Out.reserve(m_entries.size());
  for (const std::pair<const Fingerprint, PoisonEvidence> &Entry : m_entries)
    Out.push_back(Entry.second);
  return Out;
}

void PoisonRegistry::merge(const std::vector<PoisonEvidence> &Evidence,
                           std::int64_t NowMs) {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  for (const PoisonEvidence &One : Evidence)
    add(One, NowMs);
}

std::uint64_t PoisonRegistry::revision() const {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  return m_revision;
}

/// Joins \p Evidence with what is known. Requires m_mutex.
void PoisonRegistry::add(const PoisonEvidence &Evidence, std::int64_t NowMs) {
  if (isExpired(Evidence, NowMs, m_policy))
    return;
  if (!m_entries.contains(Evidence.m_fingerprint) &&
      m_entries.size() >= m_policy.m_maxEntries)
    dropExpired(NowMs);
  if (!m_entries.contains(Evidence.m_fingerprint) &&
      m_entries.size() >= m_policy.m_maxEntries)
    return;
  PoisonEvidence &Known = m_entries[Evidence.m_fingerprint];
  PoisonEvidence Joined = Known;
  Joined.m_fingerprint = Evidence.m_fingerprint;
  Joined.m_answeredAtMs =
      std::max(Known.m_answeredAtMs, Evidence.m_answeredAtMs);
  std::vector<CrashMark> &Marks = Joined.m_crashes;
  Marks.insert(Marks.end(), Evidence.m_crashes.begin(),
               Evidence.m_crashes.end());
  std::erase_if(Marks, [&](const CrashMark &Mark) {
    return Mark.m_atMs <= NowMs - m_policy.m_timeToLive.count();
  });
  normalize(Marks);
  if (Joined == Known)
    return;
  Known = std::move(Joined);
  ++m_revision;
}

/// Requires m_mutex.
void PoisonRegistry::dropExpired(std::int64_t NowMs) {
  std::erase_if(m_entries,
                [&](const std::pair<const Fingerprint, PoisonEvidence> &Entry) {
                  return isExpired(Entry.second, NowMs, m_policy);
                });
}

} // namespace tamarackdrum
