/// \file
/// Calls of the granter to servers, their results and the writes of its record.

#include "tamarackdrum/gateway/key-granter.h"

#include <algorithm>

namespace tamarackdrum::gateway {
namespace {

/// Delay before a failed call is repeated.
constexpr Millis RetryDelay{150};

} // namespace

std::vector<KeyGranter::Range *> KeyGranter::rangesOf(const GrantCall &Sent) {
  std::vector<Range *> Out;
  for (Range &Item : m_ranges) {
    if (Item.m_record.m_from < Sent.m_from || Item.m_record.m_to > Sent.m_to)
      continue;
    const RangeRecord &Record = Item.m_record;
    const bool IsMatch =
        Sent.m_isRelease
            ? Record.m_previousOwner == Sent.m_server &&
                  Record.m_previousFence == Sent.m_fence
            : Record.m_owner == Sent.m_server && Record.m_fence == Sent.m_fence;
    if (IsMatch)
      Out.push_back(&Item);
  }
  return Out;
}

void KeyGranter::noteGrantResult(Range &Item, const Call &Ended,
                                 GrantResult Outcome, TimePoint Now) {
  Item.m_isGrantPending = false;
  if (Outcome == GrantResult::Done) {
    if (Ended.m_sentAt >= m_restatedAt)
      Item.m_mayHaveUnknownOwner = false;
    Item.m_confirmedAt = Ended.m_sentAt;
    Item.m_answeredAt = Now;
    Item.m_isInherited = false;
    Item.m_hasOwnerRestarted = false;
    Item.m_handover.clear();
    // Forget an earlier unanswered grant once its hold has expired.
    if (Item.m_unansweredAt != TimePoint{} &&
        Now >= holdEnd(Item.m_unansweredAt))
      Item.m_unansweredAt = {};
    return;
  }
  Item.m_nextGrantAt = Now + RetryDelay;
  if (Outcome == GrantResult::NoAnswer)
    Item.m_unansweredAt = Now;
  if (Outcome == GrantResult::HigherFence) {
    Item.m_confirmedAt = {};
    m_needsValidation = true;
  }
}

void KeyGranter::bindToken(Range &Item, GrantResult Outcome,
                           TimePoint WrittenAt) const {
  if (Outcome == GrantResult::Done)
    Item.m_openedBy = WrittenAt;
  // The connection of an unanswered call is proven already if an earlier call
  // was accepted: a later time would let through a connection that was opened
  // to the next instance.
  if (Outcome == GrantResult::NoAnswer && Item.m_openedBy == TimePoint{})
    Item.m_openedBy = WrittenAt;
}

void KeyGranter::replaceUnprovenTokens(const GrantCall &Unproven) {
  for (Range &Item : m_ranges) {
    if (Item.m_record.m_owner != Unproven.m_server || Item.m_isGrantPending ||
        Item.m_openedBy == TimePoint{} || Item.m_openedBy > Unproven.m_openedBy)
      continue;
    // The owner is used until its last hold ends: it has failed nothing.
    const TimePoint Confirmed = Item.m_confirmedAt;
    regrant(Item, Unproven.m_server);
    Item.m_confirmedAt = Confirmed;
  }
}

void KeyGranter::onCallResult(std::uint64_t Number, GrantResult Outcome,
                              const std::string &Handover, TimePoint Now,
                              TimePoint WrittenAt) {
  const auto Found = m_calls.find(Number);
  if (Found == m_calls.end())
    return;
  const Call Ended = Found->second;
  m_calls.erase(Found);
  Reachability &Server = m_reachability[Ended.m_call.m_server.m_id];
  const bool IsAnswered =
      Outcome == GrantResult::Done || Outcome == GrantResult::HigherFence;
  // A call that was not sent for want of a proof says nothing about the server.
  if (Outcome != GrantResult::Unproven) {
    Server.m_failures = IsAnswered ? 0 : Server.m_failures + 1;
    if (!IsAnswered)
      Server.m_lastFailure = Now;
  }
  if (Outcome == GrantResult::Done && !Ended.m_call.m_isRelease)
    Server.m_closesConnections = WrittenAt == TimePoint{};
  for (Range *Item : rangesOf(Ended.m_call)) {
    if (Ended.m_call.m_isRelease) {
      Item->m_isReleasePending = false;
      Item->m_nextReleaseAt = Now + RetryDelay;
      if (Outcome == GrantResult::Done) {
        Item->m_isReleased = true;
        Item->m_handover = Handover;
      }
      continue;
    }
    noteGrantResult(*Item, Ended, Outcome, Now);
    if (!Server.m_closesConnections || Outcome == GrantResult::Done)
      bindToken(*Item, Outcome, WrittenAt);
  }
  if (Outcome == GrantResult::Unproven)
    replaceUnprovenTokens(Ended.m_call);
  dropUnknownGranters();
}

void KeyGranter::addGrants(TimePoint Now, GrantActions &Out) {
  const auto IsReady = [this, Now](const Range &Item) {
    // A renewal gives the owner no keys that it does not have already.
    const bool IsRenewal = Item.m_confirmedAt != TimePoint{};
    const bool IsSafe =
        IsRenewal || (!m_isRestating && !mayUnknownGranterHold(Item, Now));
    return IsSafe && !Item.m_isGrantPending && isPersisted(Item) &&
           Item.m_record.m_previousOwner.isNone() &&
           findInstance(Item.m_record.m_owner) != nullptr;
  };
  std::map<std::string, std::size_t> PendingGrants;
  for (const auto &[Number, Item] : m_calls)
    if (!Item.m_call.m_isRelease)
      ++PendingGrants[Item.m_call.m_server.m_id];
  for (std::size_t I = 0; I < m_ranges.size();) {
    Range &First = m_ranges[I];
    if (!IsReady(First)) {
      ++I;
      continue;
    }
    std::size_t End = I;
    bool IsDue = false;
    while (End < m_ranges.size() && IsReady(m_ranges[End]) &&
           m_ranges[End].m_record.m_owner == First.m_record.m_owner &&
           m_ranges[End].m_record.m_fence == First.m_record.m_fence) {
      IsDue = IsDue || Now >= m_ranges[End].m_nextGrantAt;
      ++End;
    }
    std::size_t &CallsToOwner = PendingGrants[First.m_record.m_owner.m_id];
    if (IsDue && CallsToOwner < m_policy.m_maxCallsPerServer) {
      ++CallsToOwner;
      GrantCall Grant;
      Grant.m_number = ++m_lastCall;
      Grant.m_server = First.m_record.m_owner;
      Grant.m_address = findInstance(Grant.m_server)->m_address;
      Grant.m_from = First.m_record.m_from;
      Grant.m_to = m_ranges[End - 1].m_record.m_to;
      Grant.m_fence = First.m_record.m_fence;
      Grant.m_hold = m_isExtendingHolds ? m_policy.m_maxHold : m_policy.m_hold;
      Grant.m_handover = First.m_handover;
      for (std::size_t J = I; J < End; ++J) {
        const TimePoint OpenedBy = m_ranges[J].m_openedBy;
        if (OpenedBy != TimePoint{} &&
            (Grant.m_openedBy == TimePoint{} || OpenedBy < Grant.m_openedBy))
          Grant.m_openedBy = OpenedBy;
        m_ranges[J].m_isGrantPending = true;
        m_ranges[J].m_grantSentAt = Now;
        m_ranges[J].m_nextGrantAt = Now + m_policy.m_renewInterval;
      }
      m_calls[Grant.m_number] = {Grant, Now};
      Out.m_calls.push_back(Grant);
    }
    I = End;
  }
}

void KeyGranter::addReleases(TimePoint Now, GrantActions &Out) {
  for (Range &Item : m_ranges) {
    const RangeRecord &Record = Item.m_record;
    if (Record.m_previousOwner.isNone() || !isPersisted(Item) ||
        mayUnknownGranterHold(Item, Now) || Item.m_isReleasePending ||
        Item.m_isReleased || Now < Item.m_nextReleaseAt)
      continue;
    const auto Known = m_knownServers.find(Record.m_previousOwner.m_id);
    if (Known == m_knownServers.end() ||
        Known->second.m_startMs != Record.m_previousOwner.m_startMs)
      continue;
    GrantCall Release;
    Release.m_number = ++m_lastCall;
    Release.m_isRelease = true;
    Release.m_server = Record.m_previousOwner;
    Release.m_address = Known->second.m_address;
    Release.m_from = Record.m_from;
    Release.m_to = Record.m_to;
    Release.m_fence = Record.m_previousFence;
    Item.m_isReleasePending = true;
    m_calls[Release.m_number] = {Release, Now};
    Out.m_calls.push_back(Release);
  }
}

void KeyGranter::addWrite(TimePoint Now, GrantActions &Out) {
  if (!m_isDirty || m_isWriting ||
      Now - m_lastWriteAt < m_policy.m_writeInterval)
    return;
  m_isDirty = false;
  m_isWriting = true;
  m_lastWriteAt = Now;
  m_offeredChange = m_lastChange;
  m_record.m_ranges.clear();
  for (const Range &Item : m_ranges)
    m_record.m_ranges.push_back(Item.m_record);
  Out.m_write = m_record;
}

} // namespace tamarackdrum::gateway
