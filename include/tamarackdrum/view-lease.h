/// \file
/// The view lease: decides when this process may dispatch, and when a slice
/// that changed owner is safe to serve from its new owner.
///
/// A process dispatches only while a majority of the dispatch group has
/// promised, within the lease time, not to follow a view older than its own.
/// A generation is settled once no process can dispatch under an older view:
/// each member has said so after a majority promised that generation, or the
/// lease and the longest dispatch have run out since. Promises are kept in
/// memory only.

#ifndef TAMARACKDRUM_VIEW_LEASE_H
#define TAMARACKDRUM_VIEW_LEASE_H

#include "tamarackdrum/view.h"

#include <map>
#include <optional>
#include <set>

namespace tamarackdrum {

/// Timing of leases. All processes of a scope use the same values.
struct LeaseTiming {
  Millis m_lease{600};
  Millis m_renewInterval{150};
  Millis m_maxDispatch{1000}; ///< No dispatch has a longer deadline.
  Millis m_clockSkew{100};    ///< Bound on wall-clock difference of two hosts.
  int m_driftPerMille = 10;   ///< Bound on the clock rate error of a host.

  bool operator==(const LeaseTiming &) const = default;
};

/// Returns the time after which a lease granted by another process has lapsed.
Millis leaseLapse(const LeaseTiming &Timing) noexcept;

/// Returns the time after which a dispatch under another process's lease has
/// ended at its server.
Millis dispatchLapse(const LeaseTiming &Timing) noexcept;

/// Number of members that make a majority of \p Members.
std::size_t majorityOf(std::size_t Members) noexcept;

/// Number of other members that a restarted process must hear so that at
/// least one of them took part in any majority that it had been part of.
std::size_t recoveryQuorumOf(std::size_t Members) noexcept;

/// Asks a member to renew the sender's lease on its view.
struct RenewRequest {
  std::string m_from;
  std::uint64_t m_incarnation = 0;
  Generation m_generation = 0;
  /// Servers that the sender suspects to have failed.
  std::vector<std::string> m_suspects;
  bool m_wantsView = true; ///< A newer view is to come with the reply.

  bool operator==(const RenewRequest &) const = default;
};

/// Answer of a member to a RenewRequest.
struct RenewReply {
  std::string m_from;
  std::uint64_t m_incarnation = 0;
  bool m_granted = false;
  bool m_recovered = false;    ///< The sender knows the newest promises.
  Generation m_generation = 0; ///< The sender's view.
  Generation m_promised = 0;   ///< No view older than this gets a grant.
  Generation m_drained = 0;    ///< Nothing runs under an older view there.
  Generation m_settled = 0;    ///< Settled as far as the sender knows.
  ViewPtr m_newer; ///< The sender's view, if newer than asked and wanted.
};

/// Where a view was learnt.
enum class ViewSource { Table, Peer };

/// Lease state of one process. Not synchronized: the owner serializes calls.
///
/// \code
/// ViewLease Lease("entry-1", Incarnation, LeaseTiming{}, Now);
/// Lease.install(View, ViewSource::Table, Now);
/// RenewReply Reply = Other.onRenew(Lease.makeRenew(), Now);
/// Lease.onRenewReply(Reply, Asked, SentAt, Now);
/// bool Ok = Lease.mayDispatch(Now);
/// \endcode
class ViewLease {
public:
  /// With an address, a member of the same name counts as this process only
  /// at that address.
  ViewLease(std::string Self, std::uint64_t Incarnation, LeaseTiming Timing,
            TimePoint Start, std::string Address = {});

  /// Adopts \p Next if it is newer than the current view. Returns whether it
  /// was adopted. A read of the table also ends recovery, whatever its age.
  bool install(ViewPtr Next, ViewSource Source, TimePoint Now);

  RenewRequest makeRenew() const;
  RenewReply onRenew(const RenewRequest &Request, TimePoint Now);

  /// \p Asked is the generation of the request and \p SentAt the time just
  /// before it was sent.
  void onRenewReply(const RenewReply &Reply, Generation Asked, TimePoint SentAt,
                    TimePoint Now);

  /// Records that nothing runs here under a view older than \p Drained.
  void setDrained(Generation Drained, TimePoint Now);

  /// Re-evaluates what depends on time alone.
  void tick(TimePoint Now);

  bool mayDispatch(TimePoint Now) const noexcept { return Now < m_leaseUntil; }
  TimePoint leaseUntil() const noexcept { return m_leaseUntil; }
  Generation settled() const noexcept { return m_settled; }
  Generation promised() const noexcept { return m_promised; }
  Generation drained(TimePoint Now) const;
  bool recovered() const noexcept { return m_recovered; }
  ViewPtr view() const { return m_view; }

  /// Returns whether this process is a member of its view's group.
  bool isSelfMember() const;

  /// Returns whether a majority has promised \p Wanted or a newer view within
  /// the lease time. Older promises do not count, since a process may have
  /// restarted since and have forgotten them.
  bool isPromisedByMajority(Generation Wanted, TimePoint Now) const;

  /// Returns whether \p Peer answered since \p Since.
  bool isHeardSince(const std::string &Peer, TimePoint Since) const;

private:
  struct PeerState {
    TimePoint m_heardAt;
    TimePoint m_grantSentAt;
    Generation m_granted = 0; ///< Generation asked for in the last grant.
    TimePoint m_ackSentAt;
    Generation m_drained = 0;
    bool m_hasGrant = false;
    bool m_hasReply = false;
  };

  struct PendingSettle {
    Generation m_generation;
    std::optional<TimePoint> m_majorityAt;
  };

  bool canPromise(TimePoint Now) const;
  bool selfGrants(TimePoint Now) const;
  bool groupPromised(const std::vector<Member> &Group, Generation Wanted,
                     TimePoint Now) const;
  std::optional<TimePoint> groupLeaseStart(const std::vector<Member> &Group,
                                           TimePoint Now) const;
  bool isSettledAt(const PendingSettle &Pending, TimePoint Now) const;
  void noteRecovery(const RenewReply &Reply, TimePoint SentAt);
  bool hasRecoveryQuorum(const std::vector<Member> &Group) const;
  void extendLease(TimePoint Now);
  void settle(TimePoint Now);

  const std::string m_self;
  const std::uint64_t m_incarnation;
  const LeaseTiming m_timing;
  const TimePoint m_start;
  const std::string m_address;
  ViewPtr m_view;
  Generation m_promised = 0;
  Generation m_drained = 0;
  Generation m_settled = 0;
  bool m_recovered = false;
  TimePoint m_leaseUntil;
  std::map<std::string, PeerState> m_peers;
  std::set<std::string> m_recoverySeen;
  std::vector<PendingSettle> m_pending;
};

} // namespace tamarackdrum

#endif // TAMARACKDRUM_VIEW_LEASE_H
