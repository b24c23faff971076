/// \file
/// The routing decision of one request: class and key to a server, with the
/// right to dispatch to it.
///
/// Lock order: Router::m_installMutex before Router::m_tableMutex; the
/// lingering queue's mutex is a leaf.

#ifndef TAMARACKDRUM_ROUTING_H
#define TAMARACKDRUM_ROUTING_H

#include "tamarackdrum/load-counter.h"
#include "tamarackdrum/retry-budget.h"
#include "tamarackdrum/view.h"

#include <atomic>
#include <map>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace tamarackdrum {

/// Counters of one server, shared by all tables that list it.
struct ServerLoad {
  std::atomic<int> m_inFlight{0};
  std::atomic<std::uint64_t> m_dispatched{0};
};

/// A server as the dispatch path sees it.
struct RouteServer {
  ServerRecord m_record;
  std::shared_ptr<ServerLoad> m_load;
};

using ServerByName = std::map<std::string, std::shared_ptr<const RouteServer>>;

/// One ownership term of a slice. It is shared by all routing tables in which
/// the slice has the same owner and epoch.
struct SliceTerm {
  std::shared_ptr<const RouteServer> m_server; ///< Null without owner.
  Epoch m_epoch = 0;
  Generation m_since = 0;
  std::atomic<int> m_inFlight{0};
  std::atomic<bool> m_retired{false};
};

/// Routes of one class. Unkeyed classes use `m_servers` only.
struct ClassRoutes {
  ClassTarget m_target;
  std::shared_ptr<RetryBudget> m_budget; ///< Shared by all tables.
  std::shared_ptr<LoadCounter> m_loads;  ///< Shared by all tables.
  std::vector<std::shared_ptr<SliceTerm>> m_slices;
  std::vector<std::pair<std::uint64_t, std::shared_ptr<SliceTerm>>> m_hotKeys;
  /// Terms of unkeyed dispatches, one a server that takes work.
  std::vector<std::shared_ptr<SliceTerm>> m_servers;
};

/// Hash of names that accepts string views without a copy.
struct NameHash {
  using is_transparent = void; // NOLINT: name given by the standard
  std::size_t operator()(std::string_view Name) const noexcept {
    return std::hash<std::string_view>()(Name);
  }
};

/// Immutable routes of one view.
struct RoutingTable {
  Generation m_generation = 0;
  std::unordered_map<std::string, ClassRoutes, NameHash, std::equal_to<>>
      m_classes;
};

using RoutingTablePtr = std::shared_ptr<const RoutingTable>;

class Router;

/// A granted dispatch. It is ended by complete() or abandon(); the destructor
/// abandons it.
class Dispatch {
public:
  Dispatch() = default;
  Dispatch(Router &Owner, std::shared_ptr<SliceTerm> Term, TimePoint Deadline);
  Dispatch(Dispatch &&Other) noexcept;
  Dispatch &operator=(Dispatch &&Other) noexcept;
  Dispatch(const Dispatch &) = delete;
  Dispatch &operator=(const Dispatch &) = delete;
  ~Dispatch();

  const ServerRecord &server() const { return m_term->m_server->m_record; }
  Epoch epoch() const { return m_term->m_epoch; }
  TimePoint deadline() const { return m_deadline; }

  /// The server answered in whole, or provably never got the request.
  void complete();

  /// The server may run the request until the deadline.
  void abandon();

private:
  Router *m_router = nullptr;
  std::shared_ptr<SliceTerm> m_term;
  TimePoint m_deadline;
};

/// What the caller asks for.
struct RouteQuery {
  std::string_view m_workClass;
  std::string_view m_key;           ///< Empty if the request has none.
  std::string_view m_excludeServer; ///< For retries of unkeyed work.
  /// Latest end of the dispatch, if before the class's own.
  TimePoint m_deadline = TimePoint::max();
};

/// Thread-safe routing state of a process.
///
/// \code
/// Router Routes;
/// Routes.install(View);
/// Routes.setLease(LeaseUntil, Settled);
/// Result<Dispatch> Granted = Routes.decide({"stock", "sheet-12"}, Now);
/// \endcode
class Router {
public:
  /// Adopts \p Next if it is newer than the current table.
  void install(const View &Next);

  /// Publishes the lease end and the settled generation.
  void setLease(TimePoint LeaseUntil, Generation Settled) noexcept;

  /// Grants a dispatch or says why not, with an error of RouteErrc.
  Result<Dispatch> decide(const RouteQuery &Query, TimePoint Now);

  /// Releases abandoned dispatches whose deadline plus \p Skew has passed.
  void releaseExpired(TimePoint Now, Millis Skew);

  /// Newest generation below which nothing runs here any more.
  Generation drainedGeneration() const;

  RoutingTablePtr table() const;

  /// Returns the dispatches of keyed classes since the last call.
  ClassLoads takeLoads();

  /// Returns the routes of a class, or null.
  std::shared_ptr<const ClassRoutes> findRoutes(std::string_view Name) const;

  /// Dispatches in flight or abandoned and not yet expired.
  int inFlight() const noexcept { return m_inFlight.load(); }

private:
  friend class Dispatch;

  struct RetiredTerm {
    Generation m_retiredAt;
    std::shared_ptr<SliceTerm> m_term;
  };

  void retireDropped(const RoutingTable &Old, const RoutingTable &Next);
  void release(SliceTerm &Term) noexcept;
  void linger(std::shared_ptr<SliceTerm> Term, TimePoint Deadline);
  /// The term to dispatch under and, for keyed work, where it is counted.
  struct PickedTerm {
    std::shared_ptr<SliceTerm> m_term;
    std::uint64_t m_hash = 0;
    std::size_t m_slice = 0;
    bool m_isIsolated = false;
  };

  Result<PickedTerm> pick(const ClassRoutes &Routes,
                          const RouteQuery &Query) const;

  mutable std::mutex m_installMutex;
  mutable std::mutex m_tableMutex;
  RoutingTablePtr m_table;
  ServerByName m_servers;
  std::vector<RetiredTerm> m_retired;
  std::mutex m_lingerMutex;
  std::vector<std::pair<TimePoint, std::shared_ptr<SliceTerm>>> m_lingering;
  std::atomic<std::int64_t> m_leaseUntilNs{0};
  std::atomic<Generation> m_settled{0};
  std::atomic<int> m_inFlight{0};
};

} // namespace tamarackdrum

#endif // TAMARACKDRUM_ROUTING_H
