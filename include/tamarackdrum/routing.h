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
#include "tamarackdrum/server-limiter.h"
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
  std::atomic<std::int64_t> m_restUntilNs{0}; ///< No dispatch before this.
  std::atomic<int> m_ownSlots{0};    ///< This process's share of the slots.
  std::atomic<int> m_maxInFlight{0}; ///< By slots and connections.
};

/// State of a class that all tables share.
struct ClassLoad {
  RetryBudget m_budget;
  std::atomic<int> m_waiting{0}; ///< Requests that wait for a slot.
  LoadCounter m_counter;         ///< Dispatches of keyed work.
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

/// Term of a key that has a slice of its own, by the hash of the key.
using HotKeyTerm = std::pair<std::uint64_t, std::shared_ptr<SliceTerm>>;

/// Routes of one class. Unkeyed classes use `m_servers` only.
struct ClassRoutes {
  ClassTarget m_target;
  std::shared_ptr<ClassLoad> m_load;
  int m_maxWaiting = 0; ///< Most requests that may wait for a slot.
  std::vector<std::shared_ptr<SliceTerm>> m_slices;
  std::vector<HotKeyTerm> m_hotKeys;
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

using ClassRouteMap =
    std::unordered_map<std::string, ClassRoutes, NameHash, std::equal_to<>>;

/// Immutable routes of one view.
struct RoutingTable {
  Generation m_generation = 0;
  ClassRouteMap m_classes;
};

using RoutingTablePtr = std::shared_ptr<const RoutingTable>;

class Router;

/// A granted dispatch. It is ended by complete() or abandon(); the destructor
/// abandons it.
class Dispatch {
public:
  Dispatch() = default;
  Dispatch(Router &Owner, std::shared_ptr<SliceTerm> Term, TimePoint Deadline,
           bool IsBorrowed);
  Dispatch(Dispatch &&Other) noexcept;
  Dispatch &operator=(Dispatch &&Other) noexcept;
  Dispatch(const Dispatch &) = delete;
  Dispatch &operator=(const Dispatch &) = delete;
  ~Dispatch();

  const ServerRecord &server() const { return m_term->m_server->m_record; }
  Epoch epoch() const { return m_term->m_epoch; }
  TimePoint deadline() const { return m_deadline; }

  /// Whether it uses a slot of another process. The class's budget then
  /// lacks a token, which pays for the next dispatch or has to go back.
  bool isBorrowed() const { return m_isBorrowed; }

  /// The server refused it: sends it nothing for a moment.
  void noteRefusal(TimePoint Now);

  /// The server answered in whole, or provably never got the request.
  void complete();

  /// The server may run the request until the deadline. It counts against
  /// the term until then, but no longer against the limits.
  void abandon();

private:
  Router *m_router = nullptr;
  std::shared_ptr<SliceTerm> m_term;
  TimePoint m_deadline;
  bool m_isBorrowed = false;
};

/// What the caller asks for.
struct RouteQuery {
  std::string_view m_workClass;
  std::string_view m_key;           ///< Empty if the request has none.
  std::string_view m_excludeServer; ///< For retries of unkeyed work.
  /// Latest end of the dispatch, if before the class's own.
  TimePoint m_deadline = TimePoint::max();
  /// Whether a slot of another process may be tried for a retry token.
  bool m_mayBorrow = true;
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
  /// \p OwnName is the member whose share of the servers' slots is used; a
  /// name that is no member may use all.
  explicit Router(std::string OwnName = {}) : m_ownName(std::move(OwnName)) {}

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

  struct Picked {
    std::shared_ptr<SliceTerm> m_term;
    bool m_isBorrowed = false;
    std::uint64_t m_hash = 0; ///< Of the key of keyed work.
    std::size_t m_slice = 0;
    bool m_isIsolated = false; ///< The key has a slice of its own.
  };
  struct RetiredTerm {
    Generation m_retiredAt;
    std::shared_ptr<SliceTerm> m_term;
  };

  void retireDropped(const RoutingTable &Old, const RoutingTable &Next);
  void releaseSlot(const SliceTerm &Term) noexcept;
  void releaseTerm(SliceTerm &Term) noexcept;
  void linger(std::shared_ptr<SliceTerm> Term, TimePoint Deadline);
  Result<Picked> pick(const ClassRoutes &Routes, const RouteQuery &Query,
                      TimePoint Now) const;
  Result<Picked> pickKeyed(const ClassRoutes &Routes, const RouteQuery &Query,
                           TimePoint Now) const;
  void dealSlots(ClassRoutes &Routes, const View &Next) const;

  const std::string m_ownName;
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
