/// \file
/// Keeps the view of this process current, renews its lease with the other
/// members, and commits changes of the view to the table.
///
/// Lock order: ViewKeeper::m_leaseMutex before the mutexes of Router.

#ifndef TAMARACKDRUM_VIEW_KEEPER_H
#define TAMARACKDRUM_VIEW_KEEPER_H

#include "tamarackdrum/declaration.h"
#include "tamarackdrum/failure-detector.h"
#include "tamarackdrum/host-list.h"
#include "tamarackdrum/http.h"
#include "tamarackdrum/life-cycle.h"
#include "tamarackdrum/peer-faults.h"
#include "tamarackdrum/routing.h"
#include "tamarackdrum/rpc.h"
#include "tamarackdrum/settings.h"
#include "tamarackdrum/table.h"

namespace tamarackdrum {

/// State of the lease at one instant.
struct LeaseStatus {
  bool m_hasLease = false;
  ProcessState m_state = ProcessState::Starting;
  Generation m_settled = 0;
  Generation m_drained = 0;
  ViewPtr m_view;
};

/// Returns the servers that this process suspects to have failed.
using SuspectSource = std::function<std::vector<std::string>()>;

/// Derives the next view, or says why it cannot. It is called again after
/// each conflict, with the base made from the newer view.
using ViewChange = std::function<Result<View>(View Next)>;

/// The keeper. All dependencies outlive it. Thread-safe.
class ViewKeeper {
public:
  ViewKeeper(const Settings &Config, std::uint64_t Incarnation,
             boost::asio::io_context &Workers, TableStore &Table,
             HostList &Hosts, HttpClient &PeerClient, Router &Routes,
             SuspectSource Suspects);

  void start();

  /// Notes that this process was asked to stop.
  void noteStop() { noteEvent(ProcessEvent::StopAsked); }

  /// Leaves the group and ends all activities; returns at once. Call it when
  /// nothing is in flight any more.
  void beginLeave();

  /// Returns whether this process has left the group, or had to give up.
  bool hasLeft() const { return m_hasLeft; }

  /// Answers a member's renewal.
  RenewReply onRenew(const RenewRequest &Request);

  /// Adopts \p Next if it is newer than the current view.
  void adopt(ViewPtr Next, ViewSource Source);

  /// Fault switches, for tests.
  PeerFaults &faults() { return m_faults; }

  LeaseStatus status() const;

  /// Returns whether this process plans for the group now.
  bool isPlanner() const;
  ViewPtr view() const;

  /// Reads the newest view from the table; an error if it cannot be read.
  boost::asio::awaitable<std::error_code> refresh() { return readTable(); }

  /// Commits a change, retrying on conflicts. Errors are of ChangeErrc.
  boost::asio::awaitable<Result<ViewPtr>> commitChange(ViewChange Apply,
                                                       std::string Operation);

  /// Waits until a majority has promised \p Wanted, so that no lease on an
  /// older view can be renewed.
  boost::asio::awaitable<std::error_code> awaitInForce(Generation Wanted);

private:
  boost::asio::awaitable<void> leaseLoop();
  boost::asio::awaitable<void> renewWith(Member Peer, bool WantsView);
  boost::asio::awaitable<void> exchangeView(Member Peer, Generation Theirs);
  boost::asio::awaitable<void> pushView(Member Peer, ViewPtr Next);
  boost::asio::awaitable<void> tableLoop();
  boost::asio::awaitable<std::error_code> readTable();
  boost::asio::awaitable<void> bootstrap();
  boost::asio::awaitable<Result<CommitResult>> commitView(const View &Next);
  boost::asio::awaitable<void> joinGroup();
  boost::asio::awaitable<void> leaveGroup();
  boost::asio::awaitable<void> planLoop();
  boost::asio::awaitable<void> plan();
  boost::asio::awaitable<void> watchHosts();
  std::optional<std::string> findLostMember(const View &Current,
                                            TimePoint Now) const;
  boost::asio::awaitable<void> commitPlan(const char *Step, ViewChange Apply);
  bool isPlannerLocked(const View &Current, TimePoint Now) const;
  void publishLease(TimePoint Now);
  void noteEvent(ProcessEvent Event);
  void noteEventLocked(ProcessEvent Event);
  void announce(const std::vector<Member> &Members);
  Member self() const;
  std::string makeOperation(const char *Step);
  RpcClient peerClient(const std::string &Address);

  const Settings &m_settings;
  const std::uint64_t m_incarnation;
  boost::asio::io_context &m_workers;
  TableStore &m_table;
  HostList &m_hosts;
  HttpClient &m_peerClient;
  Router &m_router;
  const SuspectSource m_suspects;
  PeerFaults m_faults;
  mutable std::mutex m_leaseMutex;
  ViewLease m_lease;
  FailureDetector m_detector;   ///< Guarded by m_leaseMutex.
  MemberWatch m_memberWatch;    ///< Guarded by m_leaseMutex.
  ProcessLifeCycle m_lifeCycle; ///< Guarded by m_leaseMutex.
  /// Generation pushed last to each member. Guarded by m_leaseMutex.
  std::map<std::string, Generation> m_pushed;
  std::atomic<bool> m_isFetching{false};
  std::atomic<std::uint64_t> m_operations{0};
  std::atomic<bool> m_leaving{false};
  std::atomic<bool> m_hasLeft{false};
};

} // namespace tamarackdrum

#endif // TAMARACKDRUM_VIEW_KEEPER_H
