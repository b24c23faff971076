/// \file
/// What clients have sent and got, and what servers have run.

#ifndef TAMARACKDRUM_REVIEW_REQUEST_HISTORY_H
#define TAMARACKDRUM_REVIEW_REQUEST_HISTORY_H

#include "tamarackdrum/core.h"

#include <map>
#include <ostream>
#include <spdlog/fmt/fmt.h>
#include <string>
#include <vector>

namespace tamarackdrum::review {

/// Counts over all requests of a run. All of them are unsafe.
struct Verdict {
  std::size_t m_sent = 0;
  std::size_t m_served = 0;
  std::size_t m_otherwise = 0;
  std::size_t m_unanswered = 0;
  std::size_t m_refusedThoughRun = 0; ///< Answered 408, 421, 429 or 503.
  std::size_t m_runTwice = 0;

  bool operator==(const Verdict &) const = default;
};

/// Records the events of each request in the order in which they happen.
class RequestHistory {
public:
  void sent(const std::string &Id) { note(Id, "sent"); }
  /// \p Status is 0 if the connection ended without an answer.
  void answered(const std::string &Id, unsigned Status) {
    m_requests[Id].m_status = Status;
    m_requests[Id].m_isAnswered = true;
    note(Id, fmt::format("answered {}", Status));
  }
  void run(const std::string &Id, const std::string &Server,
           std::uint64_t Link) {
    ++m_requests[Id].m_runs;
    note(Id, fmt::format("run by {} on connection {}", Server, Link));
  }
  void refused(const std::string &Id, unsigned Status,
               const std::string &Server, std::uint64_t Link) {
    ++m_refusals;
    note(Id, fmt::format("rejected {} by {} on connection {}", Status, Server,
                         Link));
  }
  void note(const std::string &Id, const std::string &What) {
    m_requests[Id].m_events.push_back({bootMillis() - m_start, What});
  }

  Verdict judge() const {
    Verdict Out;
    for (const auto &[Id, Item] : m_requests) {
      ++Out.m_sent;
      Out.m_served += Item.m_status == 200 ? 1 : 0;
      Out.m_unanswered += Item.m_status == 0 ? 1 : 0;
      Out.m_otherwise += Item.m_status != 200 && Item.m_status != 0 ? 1 : 0;
      Out.m_refusedThoughRun += isRefusedThoughRun(Item) ? 1 : 0;
      Out.m_runTwice += Item.m_runs > 1 ? 1 : 0;
    }
    return Out;
  }

  /// Writes the broken requests with all of their events, then one line for
  /// each request.
  void write(std::ostream &Out) const {
    for (const auto &[Id, Item] : m_requests) {
      if (!isRefusedThoughRun(Item) && Item.m_runs < 2)
        continue;
      Out << fmt::format("\nbroken: request {}\n", Id);
      for (const Event &Each : Item.m_events)
        Out << fmt::format("  {:7} ms  {}\n", Each.m_atMs, Each.m_text);
    }
    Out << "\nsent ms, id, answer (0: none), runs\n";
    for (const auto &[Id, Item] : m_requests)
      Out << fmt::format("{:7} {} {} {}\n", Item.m_events.front().m_atMs, Id,
                         Item.m_status, Item.m_runs);
  }

  std::size_t m_refusals = 0; ///< Of servers.
  std::size_t m_copies = 0;   ///< Second answers that repeat a refusal.

private:
  struct Event {
    std::int64_t m_atMs = 0;
    std::string m_text;
  };
  struct Request {
    unsigned m_status = 0;
    bool m_isAnswered = false;
    unsigned m_runs = 0;
    std::vector<Event> m_events;
  };

  static bool isRefusedThoughRun(const Request &Item) {
    const bool IsPromise = Item.m_status == 408 || Item.m_status == 421 ||
                           Item.m_status == 429 || Item.m_status == 503;
    return IsPromise && Item.m_runs > 0;
  }

  const std::int64_t m_start = bootMillis();
  std::map<std::string, Request> m_requests;
};

} // namespace tamarackdrum::review

#endif // TAMARACKDRUM_REVIEW_REQUEST_HISTORY_H
