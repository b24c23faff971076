#include "tamarackdrum/view-lease.h"

#include <algorithm>

namespace tamarackdrum {
namespace {

constexpr int PerMille = 1000;
constexpr std::size_t MaxPending = 128;

/// Lengthens \p Time by the largest rate difference of two clocks.
Millis withDrift(Millis Time, int DriftPerMille) {
  const std::int64_t Extra = (Time.count() * 2 * DriftPerMille) / PerMille;
  return Time + Millis(Extra + 1);
}

} // namespace

Millis leaseLapse(const LeaseTiming &Timing) noexcept {
  return withDrift(Timing.m_lease, Timing.m_driftPerMille);
}

Millis dispatchLapse(const LeaseTiming &Timing) noexcept {
  return withDrift(Timing.m_lease + Timing.m_maxDispatch,
                   Timing.m_driftPerMille) +
         Timing.m_clockSkew;
}

std::size_t majorityOf(std::size_t Members) noexcept { return Members / 2 + 1; }

std::size_t recoveryQuorumOf(std::size_t Members) noexcept {
  return Members == 0 ? 0 : Members - majorityOf(Members) + 1;
}

ViewLease::ViewLease(std::string Self, std::uint64_t Incarnation,
                     LeaseTiming Timing, TimePoint Start, std::string Address)
    : m_self(std::move(Self)), m_incarnation(Incarnation), m_timing(Timing),
      m_start(Start), m_address(std::move(Address)), m_leaseUntil(Start) {}

bool ViewLease::isSelfMember() const {
  return m_view &&
         std::any_of(m_view->m_members.begin(), m_view->m_members.end(),
                     [&](const Member &Item) {
                       return Item.m_name == m_self &&
                              (m_address.empty() ||
                               Item.m_address == m_address);
                     });
}

bool ViewLease::install(ViewPtr Next, ViewSource Source, TimePoint Now) {
  if (Source == ViewSource::Table)
    m_recovered = true;
  if (!Next || (m_view && Next->m_generation <= m_view->m_generation))
    return false;
  m_view = std::move(Next);
  if (Source == ViewSource::Table)
    m_promised = std::max(m_promised, m_view->m_generation);
  if (m_pending.size() >= MaxPending)
    m_pending.pop_back();
  m_pending.push_back({m_view->m_generation, std::nullopt});
  tick(Now);
  return true;
}

RenewRequest ViewLease::makeRenew() const {
  return {m_self, m_incarnation, m_view ? m_view->m_generation : 0, {}, true};
}

RenewReply ViewLease::onRenew(const RenewRequest &Request, TimePoint Now) {
  const Generation Known = m_view ? m_view->m_generation : 0;
  RenewReply Reply;
  Reply.m_from = m_self;
  Reply.m_incarnation = m_incarnation;
  Reply.m_granted = canPromise(Now) && Request.m_generation > 0 &&
                    Request.m_generation >= m_promised &&
                    Request.m_generation >= Known;
  if (Reply.m_granted)
    m_promised = Request.m_generation;
  Reply.m_recovered = m_recovered;
  Reply.m_generation = Known;
  Reply.m_promised = m_promised;
  Reply.m_drained = drained(Now);
  Reply.m_settled = m_settled;
  if (Known > Request.m_generation && Request.m_wantsView)
    Reply.m_newer = m_view;
  return Reply;
}

void ViewLease::onRenewReply(const RenewReply &Reply, Generation Asked,
                             TimePoint SentAt, TimePoint Now) {
  PeerState &Peer = m_peers[Reply.m_from];
  if (Peer.m_hasReply && SentAt < Peer.m_ackSentAt)
    return;
  Peer.m_hasReply = true;
  Peer.m_heardAt = Now;
  Peer.m_ackSentAt = SentAt;
  Peer.m_drained = Reply.m_drained;
  if (Reply.m_granted) {
    Peer.m_hasGrant = true;
    Peer.m_grantSentAt = SentAt;
    Peer.m_granted = Asked;
  }
  m_settled = std::max(m_settled, Reply.m_settled);
  if (Reply.m_newer)
    install(Reply.m_newer, ViewSource::Peer, Now);
  noteRecovery(Reply, SentAt);
  tick(Now);
}

void ViewLease::noteRecovery(const RenewReply &Reply, TimePoint SentAt) {
  if (m_recovered || !Reply.m_recovered || !m_view)
    return;
  // A majority counts promises of one lease time only, so that replies after
  // the quiet period know of every majority that the last incarnation was in.
  if (SentAt < m_start + leaseLapse(m_timing))
    return;
  m_promised = std::max(m_promised, Reply.m_promised);
  if (Reply.m_generation > m_view->m_generation)
    return;
  m_recoverySeen.insert(Reply.m_from);
  m_recovered = hasRecoveryQuorum(m_view->m_members) &&
                hasRecoveryQuorum(m_view->m_outgoing);
}

bool ViewLease::hasRecoveryQuorum(const std::vector<Member> &Group) const {
  const std::size_t Seen = static_cast<std::size_t>(
      std::count_if(Group.begin(), Group.end(), [&](const Member &Item) {
        return m_recoverySeen.contains(Item.m_name);
      }));
  return Seen >= recoveryQuorumOf(Group.size());
}

void ViewLease::setDrained(Generation Drained, TimePoint Now) {
  m_drained = std::max(m_drained, Drained);
  tick(Now);
}

Generation ViewLease::drained(TimePoint Now) const {
  // Dispatches of an earlier incarnation may still run.
  return Now < m_start + dispatchLapse(m_timing) ? 0 : m_drained;
}

void ViewLease::tick(TimePoint Now) {
  if (!m_view)
    return;
  extendLease(Now);
  settle(Now);
}

bool ViewLease::canPromise(TimePoint Now) const {
  return m_recovered && Now >= m_start + leaseLapse(m_timing);
}

bool ViewLease::selfGrants(TimePoint Now) const {
  return canPromise(Now) && m_view && m_promised <= m_view->m_generation;
}

void ViewLease::extendLease(TimePoint Now) {
  if (selfGrants(Now))
    m_promised = m_view->m_generation;
  // The others wait for members only, so that a process outside of the group
  // must not dispatch at all.
  if (!isSelfMember()) {
    m_leaseUntil = std::min(m_leaseUntil, Now);
    return;
  }
  std::optional<TimePoint> Start = groupLeaseStart(m_view->m_members, Now);
  if (Start && !m_view->m_outgoing.empty()) {
    const std::optional<TimePoint> Old =
        groupLeaseStart(m_view->m_outgoing, Now);
    Start = Old ? std::optional<TimePoint>(std::min(*Start, *Old)) : Old;
  }
  if (Start)
    m_leaseUntil = std::max(m_leaseUntil, *Start + m_timing.m_lease);
}

std::optional<TimePoint>
ViewLease::groupLeaseStart(const std::vector<Member> &Group,
                           TimePoint Now) const {
  std::vector<TimePoint> Grants;
  for (const Member &Item : Group) {
    if (Item.m_name == m_self) {
      if (selfGrants(Now))
        Grants.push_back(Now);
      continue;
    }
    const auto Found = m_peers.find(Item.m_name);
    if (Found != m_peers.end() && Found->second.m_hasGrant)
      Grants.push_back(Found->second.m_grantSentAt);
  }
  const std::size_t Needed = majorityOf(Group.size());
  if (Grants.size() < Needed)
    return std::nullopt;
  std::sort(Grants.begin(), Grants.end(), std::greater<>());
  return Grants[Needed - 1];
}

bool ViewLease::groupPromised(const std::vector<Member> &Group,
                              Generation Wanted, TimePoint Now) const {
  std::size_t Count = 0;
  for (const Member &Item : Group) {
    if (Item.m_name == m_self) {
      Count += m_promised >= Wanted && m_recovered ? 1 : 0;
      continue;
    }
    const auto Found = m_peers.find(Item.m_name);
    if (Found != m_peers.end() && Found->second.m_hasGrant &&
        Found->second.m_granted >= Wanted &&
        Now < Found->second.m_grantSentAt + m_timing.m_lease)
      ++Count;
  }
  return Count >= majorityOf(Group.size());
}

bool ViewLease::isPromisedByMajority(Generation Wanted, TimePoint Now) const {
  if (!m_view || m_view->m_generation < Wanted)
    return false;
  return groupPromised(m_view->m_members, Wanted, Now) &&
         (m_view->m_outgoing.empty() ||
          groupPromised(m_view->m_outgoing, Wanted, Now));
}

bool ViewLease::isHeardSince(const std::string &Peer, TimePoint Since) const {
  const auto Found = m_peers.find(Peer);
  return Found != m_peers.end() && Found->second.m_hasReply &&
         Found->second.m_heardAt >= Since;
}

void ViewLease::settle(TimePoint Now) {
  for (PendingSettle &Pending : m_pending)
    if (!Pending.m_majorityAt &&
        isPromisedByMajority(Pending.m_generation, Now))
      Pending.m_majorityAt = Now;
  for (const PendingSettle &Pending : m_pending)
    if (isSettledAt(Pending, Now))
      m_settled = std::max(m_settled, Pending.m_generation);
  std::erase_if(m_pending, [&](const PendingSettle &Pending) {
    return Pending.m_generation <= m_settled;
  });
}

bool ViewLease::isSettledAt(const PendingSettle &Pending, TimePoint Now) const {
  if (!Pending.m_majorityAt)
    return false;
  if (Now >= *Pending.m_majorityAt + dispatchLapse(m_timing))
    return true;
  if (isSelfMember() && drained(Now) < Pending.m_generation)
    return false;
  for (const Member &Item : allMembers(*m_view)) {
    if (Item.m_name == m_self)
      continue;
    const auto Found = m_peers.find(Item.m_name);
    if (Found == m_peers.end() ||
        Found->second.m_drained < Pending.m_generation ||
        Found->second.m_ackSentAt <= *Pending.m_majorityAt)
      return false;
  }
  return true;
}

} // namespace tamarackdrum
