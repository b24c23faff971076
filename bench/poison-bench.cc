/// \file
/// Servers lost and innocents refused over a generated mix with fixed seed,
/// for several rules, against doing nothing. Virtual time; no network.

#include "tamarackdrum/poison.h"

#include <algorithm>
#include <cstdio>
#include <memory>
#include <random>
#include <vector>

namespace tamarackdrum {
namespace {

constexpr std::uint64_t FirstSeed = 20261203;
constexpr int SeedCount = 200;
constexpr std::int64_t StepMs = 1;
constexpr std::int64_t StartMs = 1000000000;
constexpr std::int64_t RunMs = 60000;
constexpr int ServerCount = 40;
constexpr int Slots = 4;
constexpr int ProcessCount = 12;
constexpr std::int64_t ShareDelayMs = 50;
constexpr std::int64_t RestartMs = 5000;
constexpr int MaxAttempts = 3;
constexpr int PopularCount = 200;
constexpr int PoisonCount = 5;
constexpr std::int64_t PoisonRepeatMs = 2000;
constexpr std::int64_t OrdinaryCrashMeanMs = 5000;
constexpr double RequestsPerStep = 1.0;

struct Running {
  Fingerprint m_request = 0;
  int m_process = 0;
  int m_attempt = 0;
  std::int64_t m_endMs = 0;
};

struct Server {
  std::vector<Running> m_running;
  std::int64_t m_upAtMs = 0;
};

struct Totals {
  long m_sent = 0;
  long m_served = 0;
  long m_busy = 0;
  long m_innocentsRefused = 0;
  long m_innocentsFailed = 0;
  long m_poisonRefused = 0;
  long m_crashesByPoison = 0;
  long m_crashesOrdinary = 0;

  void add(const Totals &Other) {
    m_sent += Other.m_sent;
    m_served += Other.m_served;
    m_busy += Other.m_busy;
    m_innocentsRefused += Other.m_innocentsRefused;
    m_innocentsFailed += Other.m_innocentsFailed;
    m_poisonRefused += Other.m_poisonRefused;
    m_crashesByPoison += Other.m_crashesByPoison;
    m_crashesOrdinary += Other.m_crashesOrdinary;
  }
};

bool isPoison(Fingerprint Request) { return Request <= PoisonCount; }

/// The mix, run once under one rule.
class Mix {
public:
  /// No rule: \p CrashesToRefuse is 0.
  Mix(unsigned CrashesToRefuse, unsigned CrashesIfAnswered, std::uint64_t Seed)
      : m_isOn(CrashesToRefuse > 0), m_random(Seed) {
    PoisonPolicy Policy;
    Policy.m_crashesToRefuse = std::max(CrashesToRefuse, 1U);
    Policy.m_crashesIfAnswered = CrashesIfAnswered;
    for (int I = 0; I < ProcessCount; ++I)
      m_processes.push_back(std::make_unique<PoisonRegistry>(Policy));
    m_servers.resize(ServerCount);
  }

  Totals run() {
    for (m_nowMs = StartMs; m_nowMs < StartMs + RunMs; m_nowMs += StepMs) {
      endRuns();
      std::poisson_distribution<int> Arrivals(RequestsPerStep);
      const int Count = Arrivals(m_random);
      for (int I = 0; I < Count; ++I)
        send({drawInnocent(), drawProcess(), 1});
      if (m_nowMs % PoisonRepeatMs == 0)
        for (Fingerprint Request = 1; Request <= PoisonCount; ++Request)
          send({Request, drawProcess(), 1});
      if (m_random() % OrdinaryCrashMeanMs == 0) {
        ++m_totals.m_crashesOrdinary;
        crash(m_random() % ServerCount);
      }
      if (m_nowMs % ShareDelayMs == 0)
        share();
    }
    return m_totals;
  }

private:
  int drawProcess() { return static_cast<int>(m_random() % ProcessCount); }

  /// Half of the innocents are popular, the others come once.
  Fingerprint drawInnocent() {
    if (m_random() % 2 == 0)
      return PoisonCount + 1 + m_random() % PopularCount;
    return PoisonCount + PopularCount + 1 + m_nextRare++;
  }

  void send(Running Request) {
    m_totals.m_sent += Request.m_attempt == 1 ? 1 : 0;
    PoisonRegistry &Registry =
        *m_processes[static_cast<std::size_t>(Request.m_process)];
    if (m_isOn && Registry.isPoisoned(Request.m_request, m_nowMs)) {
      ++(isPoison(Request.m_request) ? m_totals.m_poisonRefused
                                     : m_totals.m_innocentsRefused);
      return;
    }
    const std::size_t Index = pickServer();
    if (Index == ServerCount) {
      ++m_totals.m_busy;
      return;
    }
    constexpr std::int64_t MeanWorkMs = 40;
    Request.m_endMs =
        m_nowMs + 1 + static_cast<std::int64_t>(m_random() % (2 * MeanWorkMs));
    m_servers[Index].m_running.push_back(Request);
    if (isPoison(Request.m_request)) {
      ++m_totals.m_crashesByPoison;
      crash(Index);
    }
  }

  std::size_t pickServer() {
    for (int Try = 0; Try < ServerCount; ++Try) {
      const std::size_t Index = m_random() % ServerCount;
      const Server &Candidate = m_servers[Index];
      if (Candidate.m_upAtMs <= m_nowMs && Candidate.m_running.size() < Slots)
        return Index;
    }
    return ServerCount;
  }

  void crash(std::size_t Index) {
    Server &Lost = m_servers[Index];
    if (Lost.m_upAtMs > m_nowMs)
      return;
    Lost.m_upAtMs = m_nowMs + RestartMs;
    const std::vector<Running> Torn = std::move(Lost.m_running);
    Lost.m_running.clear();
    for (Running Request : Torn) {
      m_processes[static_cast<std::size_t>(Request.m_process)]->noteCrash(
          Request.m_request, "s" + std::to_string(Index), m_nowMs);
      ++Request.m_attempt;
      if (Request.m_attempt <= MaxAttempts)
        send(Request);
      else if (!isPoison(Request.m_request))
        ++m_totals.m_innocentsFailed;
    }
  }

  void endRuns() {
    for (Server &Each : m_servers)
      std::erase_if(Each.m_running, [&](const Running &Request) {
        if (Request.m_endMs > m_nowMs)
          return false;
        ++m_totals.m_served;
        m_processes[static_cast<std::size_t>(Request.m_process)]->noteAnswered(
            Request.m_request, m_nowMs);
        return true;
      });
  }

  void share() {
    std::uint64_t Sum = 0;
    for (const std::unique_ptr<PoisonRegistry> &Each : m_processes)
      Sum += Each->revision();
    if (!m_isOn || Sum == m_sharedAt)
      return;
    for (const std::unique_ptr<PoisonRegistry> &From : m_processes) {
      const std::vector<PoisonEvidence> Evidence = From->snapshot();
      for (const std::unique_ptr<PoisonRegistry> &To : m_processes)
        To->merge(Evidence, m_nowMs);
    }
    m_sharedAt = 0;
    for (const std::unique_ptr<PoisonRegistry> &Each : m_processes)
      m_sharedAt += Each->revision();
  }

  const bool m_isOn;
  std::mt19937_64 m_random;
  std::vector<std::unique_ptr<PoisonRegistry>> m_processes;
  std::vector<Server> m_servers;
  std::int64_t m_nowMs = 0;
  Fingerprint m_nextRare = 0;
  std::uint64_t m_sharedAt = 0;
  Totals m_totals;
};

} // namespace
} // namespace tamarackdrum

int main() {
  const std::pair<unsigned, unsigned> Rules[] = {{0, 0}, {2, 2}, {2, 4},
                                                 {3, 3}, {3, 6}, {4, 4}};
  std::printf("%d seeds from %lu, %ld s each; rule: crashes to refuse / if "
              "answered before\n",
              tamarackdrum::SeedCount, tamarackdrum::FirstSeed,
              tamarackdrum::RunMs / 1000);
  std::printf("rule sent served busy lost-to-poison lost-otherwise "
              "innocents-refused most-in-a-seed innocents-failed "
              "poison-refused\n");
  for (const std::pair<unsigned, unsigned> &Rule : Rules) {
    tamarackdrum::Totals Sum;
    long Most = 0;
    for (int I = 0; I < tamarackdrum::SeedCount; ++I) {
      const std::uint64_t Seed =
          tamarackdrum::FirstSeed + static_cast<std::uint64_t>(I);
      const tamarackdrum::Totals One =
          tamarackdrum::Mix(Rule.first, Rule.second, Seed).run();
      Sum.add(One);
      Most = std::max(Most, One.m_innocentsRefused);
    }
    std::printf("%u/%u %ld %ld %ld %ld %ld %ld %ld %ld %ld\n", Rule.first,
                Rule.second, Sum.m_sent, Sum.m_served, Sum.m_busy,
                Sum.m_crashesByPoison, Sum.m_crashesOrdinary,
                Sum.m_innocentsRefused, Most, Sum.m_innocentsFailed,
                Sum.m_poisonRefused);
  }
  return 0;
}
