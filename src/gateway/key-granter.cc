#include "tamarackdrum/gateway/key-granter.h"

#include <algorithm>

namespace tamarackdrum::gateway {
namespace {

/// A server with this many failed calls in a row is given no more keys for
/// AvoidanceTime.
constexpr unsigned FailureLimit = 3;
constexpr Millis AvoidanceTime{2500};
/// Delay before a failed call is repeated.
constexpr Millis RetryDelay{150};
/// Adjacent ranges are merged if there are more ranges per server than this.
constexpr std::size_t MaxRangesPerServer = 6;
/// Keys are moved, and new tokens are granted, only if the term was validated
/// within this time. A server that has started again does not refuse the new
/// token of an outdated granter.
constexpr Millis MaxValidationAge{4000};
/// After a longer time between two steps, e.g. because the process was frozen,
/// new tokens wait for a validation.
constexpr Millis MaxStepPause{1000};

} // namespace

KeyMap recordedMap(const OwnershipRecord &Record) {
  std::vector<KeyRange> Ranges;
  for (const RangeRecord &Item : Record.m_ranges) {
    const bool IsMoving = !Item.m_previousOwner.isNone();
    appendRange(Ranges, {Item.m_from, Item.m_to,
                         IsMoving ? std::string() : Item.m_owner.m_id});
  }
  return KeyMap(0, std::move(Ranges));
}

KeyGranter::KeyGranter(GrantPolicy Policy, std::string Host,
                       std::int64_t ProcessStartMs)
    : m_policy(Policy), m_host(std::move(Host)),
      m_processStartMs(ProcessStartMs) {}

TimePoint KeyGranter::holdEnd(TimePoint SentAt, Millis Hold) const {
  if (SentAt == TimePoint{})
    return SentAt;
  const double Longest =
      static_cast<double>(Hold.count()) * m_policy.m_clockDriftFactor;
  return SentAt + Millis(static_cast<std::int64_t>(Longest)) +
         m_policy.m_holdMargin;
}

TimePoint KeyGranter::latestArrival(TimePoint SentAt) const {
  return SentAt + 2 * m_policy.m_callTimeout;
}

TimePoint KeyGranter::lastCallArrival(TimePoint TakeOverAt) const {
  return latestArrival(TakeOverAt + m_policy.m_takeOverTimeout +
                       m_policy.m_validationTimeout);
}

TimePoint KeyGranter::holdEnd(TimePoint SentAt) const {
  return holdEnd(SentAt, m_policy.m_hold);
}

void KeyGranter::extendHolds() {
  m_isExtendingHolds = true;
  for (Range &Item : m_ranges)
    Item.m_nextGrantAt = {};
}

TimePoint KeyGranter::lastHoldEnd(const Range &Item) const {
  TimePoint Last = std::max(Item.m_answeredAt, Item.m_unansweredAt);
  if (Item.m_isGrantPending)
    Last = std::max(Last, latestArrival(Item.m_grantSentAt));
  return holdEnd(Last,
                 m_isExtendingHolds ? m_policy.m_maxHold : m_policy.m_hold);
}

Millis KeyGranter::maxInheritedHold() const {
  return m_wasStoreUnavailable ? m_policy.m_maxHold : m_policy.m_hold;
}

std::int64_t KeyGranter::toStoreMs(TimePoint At) const {
  return m_takeOverStoreMs +
         std::chrono::duration_cast<Millis>(At - m_takeOverAt).count();
}

TimePoint KeyGranter::fromStoreMs(std::int64_t Ms) const {
  return m_takeOverAt + Millis(Ms - m_takeOverStoreMs);
}

void KeyGranter::updateEarlierGranters(const StateOf &State, TimePoint Now) {
  if (!m_isGranter)
    return;
  m_inheritedHoldsEndAt = {};
  m_unknownHoldsEndAt = {};
  for (EarlierGranter &Item : m_record.m_earlier) {
    if (Item.m_host.empty())
      m_unknownHoldsEndAt =
          std::max(m_unknownHoldsEndAt, fromStoreMs(Item.m_holdsEndMs));
    const EarlierGranterState Known =
        Item.m_host.empty() ? EarlierGranterState::MayGrant : State(Item);
    if (Known != EarlierGranterState::MayGrant) {
      const Millis Hold = Known == EarlierGranterState::ProcessEnded
                              ? maxInheritedHold()
                              : m_policy.m_hold;
      const std::int64_t ExpiredBy =
          toStoreMs(holdEnd(latestArrival(Now), Hold));
      m_isDirty = m_isDirty || ExpiredBy < Item.m_holdsEndMs;
      Item.m_holdsEndMs = std::min(Item.m_holdsEndMs, ExpiredBy);
    }
    m_inheritedHoldsEndAt =
        std::max(m_inheritedHoldsEndAt, fromStoreMs(Item.m_holdsEndMs));
  }
}

Millis KeyGranter::inheritedHoldsLeft(TimePoint Now) const {
  return std::max(Millis(0), std::chrono::duration_cast<Millis>(
                                 m_inheritedHoldsEndAt - Now));
}

void KeyGranter::markChanged(Range &Item) {
  Item.m_change = ++m_lastChange;
  m_isDirty = true;
}

bool KeyGranter::isPersisted(const Range &Item) const {
  return m_isTermWritten && Item.m_change <= m_writtenChange;
}

bool KeyGranter::mayRenew(TimePoint Now) const {
  return m_isGranter && m_isTermWritten && !m_needsValidation &&
         Now - m_validatedAt < m_policy.m_validationTimeout;
}

void KeyGranter::takeOver(const OwnershipRecord &Read, const StateOf &State,
                          const TakeOverContext &Context, TimePoint Now) {
  stepDown();
  m_wasStoreUnavailable = Context.m_wasStoreUnavailable;
  m_takeOverAt = Now;
  m_takeOverStoreMs = Context.m_storeMs;
  m_isGranter = true;
  m_era = Context.m_era;
  m_record = Read;
  m_record.m_term = std::max(Read.m_term, termFloor(Context.m_era)) + 1;
  m_record.m_granter = m_host;
  m_record.m_granterStartMs = m_processStartMs;
  m_record.m_isConfirmed = false;
  // The previous granter can validate its term until this one is written, and
  // renews grants for up to the validation timeout after that.
  const TimePoint OldHoldsEnd =
      holdEnd(lastCallArrival(Now), maxInheritedHold());
  // The granter before that could validate its term until an unconfirmed record
  // was written.
  const auto BeforeThat = std::find_if(
      m_record.m_earlier.rbegin(), m_record.m_earlier.rend(),
      [](const EarlierGranter &Item) { return !Item.m_host.empty(); });
  if (!Read.m_isConfirmed && BeforeThat != m_record.m_earlier.rend())
    BeforeThat->m_holdsEndMs =
        std::max(BeforeThat->m_holdsEndMs, toStoreMs(OldHoldsEnd));
  std::erase_if(m_record.m_earlier, [&Context](const EarlierGranter &Item) {
    return Item.m_holdsEndMs <= Context.m_storeMs;
  });
  if (Read.m_term > 0)
    m_record.m_earlier.push_back({Read.m_term, Read.m_granter,
                                  Read.m_granterStartMs,
                                  toStoreMs(OldHoldsEnd)});
  if (Context.m_isRecordFromEarlierEra)
    addUnknownGranter(Context.m_era, Now);
  updateEarlierGranters(State, Now);
  m_fenceCount = 0;
  m_isDirty = true;
  for (const RangeRecord &Old : Read.m_ranges) {
    Range Item;
    Item.m_record = Old;
    Item.m_isInherited = true;
    Item.m_mayHaveUnknownOwner = true;
    Item.m_isPreviousInherited = true;
    Item.m_movedAt = Now;
    if (!Old.m_owner.isNone())
      Item.m_record.m_fence = nextFence();
    markChanged(Item);
    m_ranges.push_back(Item);
  }
  if (m_ranges.empty()) {
    Range All;
    All.m_record = {0, KeyCount - 1, {}, 0, {}, 0};
    All.m_mayHaveUnknownOwner = true;
    markChanged(All);
    m_ranges.push_back(All);
  }
}

void KeyGranter::addUnknownGranter(std::uint64_t Era, TimePoint Now) {
  const TimePoint LongestEnd =
      holdEnd(lastCallArrival(Now), m_policy.m_maxHold);
  m_record.m_earlier.push_back({termFloor(Era), "", 0, toStoreMs(LongestEnd)});
  m_unknownHoldsEndAt = LongestEnd;
}

void KeyGranter::dropUnknownGranters() {
  if (m_unknownHoldsEndAt == TimePoint{})
    return;
  const auto IsUnknown = [](const EarlierGranter &Item) {
    return Item.m_host.empty();
  };
  const bool AreOwnersKnown =
      std::none_of(m_ranges.begin(), m_ranges.end(), [](const Range &Item) {
        return Item.m_mayHaveUnknownOwner;
      });
  if (!AreOwnersKnown || std::erase_if(m_record.m_earlier, IsUnknown) == 0)
    return;
  m_unknownHoldsEndAt = {};
  m_isDirty = true;
}

bool KeyGranter::restate(std::uint64_t Era, TimePoint Now) {
  m_isWriting = false;
  m_isDirty = true;
  if (m_isRestating && Era == m_era)
    return true;
  // A granter that took over after the last validation waits for the holds of
  // this one where an owner has not received its token, and ends its own work
  // before that wait is over.
  if (Now - m_validatedAt > m_policy.m_takeOverTimeout + m_policy.m_hold)
    return false;
  m_era = Era;
  m_record.m_term = termFloor(Era) + 1;
  m_fenceCount = 0;
  m_isRestating = true;
  addUnknownGranter(Era, Now);
  for (Range &Item : m_ranges)
    Item.m_mayHaveUnknownOwner = true;
  return true;
}

void KeyGranter::stepDown() {
  m_isGranter = false;
  m_isTermWritten = false;
  m_isRestating = false;
  m_isWriting = false;
  m_isDirty = false;
  m_isExtendingHolds = false;
  m_needsValidation = false;
  m_writtenChange = 0;
  m_lastChange = 0;
  m_steppedAt = {};
  m_resumedAt = {};
  m_ranges.clear();
  m_calls.clear();
}

void KeyGranter::onWritten(TimePoint AskedAt, TimePoint Now) {
  if (!m_isGranter || !m_isWriting)
    return;
  m_isWriting = false;
  m_writtenChange = m_offeredChange;
  m_validatedAt = std::max(m_validatedAt, AskedAt);
  if (!m_isTermWritten && Now - m_takeOverAt > m_policy.m_takeOverTimeout) {
    stepDown();
    return;
  }
  m_isDirty = m_isDirty || !m_record.m_isConfirmed;
  m_record.m_isConfirmed = true;
  m_isTermWritten = true;
  m_isRestating = false;
}

void KeyGranter::onValidated(TimePoint AskedAt) {
  m_validatedAt = std::max(m_validatedAt, AskedAt);
  if (!m_needsValidation)
    return;
  // No other granter has issued the higher token: repeat the refused grants
  // with a new one.
  m_needsValidation = false;
  for (Range &Item : m_ranges)
    if (!Item.m_record.m_owner.isNone() && Item.m_confirmedAt == TimePoint{})
      regrant(Item, Item.m_record.m_owner);
}

const ServerEntry *
KeyGranter::findInstance(const ServerInstance &Instance) const {
  const auto Found = m_servers.find(Instance.m_id);
  if (Found == m_servers.end() || Found->second.m_startMs != Instance.m_startMs)
    return nullptr;
  return &Found->second;
}

bool KeyGranter::isUsable(const ServerInstance &Instance, TimePoint Now) const {
  const ServerEntry *Entry = findInstance(Instance);
  if (Entry == nullptr || !mayGetRequests(*Entry))
    return false;
  const auto Found = m_reachability.find(Instance.m_id);
  return Found == m_reachability.end() ||
         Found->second.m_failures < FailureLimit ||
         Now - Found->second.m_lastFailure > AvoidanceTime;
}

void KeyGranter::regrant(Range &Item, const ServerInstance &Owner) {
  Item.m_record.m_owner = Owner;
  Item.m_record.m_fence = nextFence();
  Item.m_confirmedAt = {};
  Item.m_connectedBy = {};
  Item.m_isTokenNew = true;
  // A pending grant with the earlier token can still arrive, and its result is
  // ignored.
  if (Item.m_isGrantPending)
    Item.m_unansweredAt =
        std::max(Item.m_unansweredAt, latestArrival(Item.m_grantSentAt));
  Item.m_isGrantPending = false;
  Item.m_nextGrantAt = {};
  markChanged(Item);
}

void KeyGranter::setServers(const std::vector<ServerEntry> &Servers,
                            TimePoint) {
  m_servers.clear();
  for (const ServerEntry &Entry : Servers) {
    m_servers[Entry.m_id] = Entry;
    const auto Known = m_knownServers.find(Entry.m_id);
    if (Known != m_knownServers.end() &&
        Known->second.m_startMs != Entry.m_startMs)
      m_reachability.erase(Entry.m_id);
    m_knownServers[Entry.m_id] = Entry;
  }
  if (!m_isGranter)
    return;
  for (Range &Item : m_ranges) {
    // The registry lists a restart late. Until then the new instance takes
    // renewals that were meant for the earlier one, also those of an earlier
    // granter, so that it may hold keys by the last of them.
    const auto Owner = m_servers.find(Item.m_record.m_owner.m_id);
    if (Owner != m_servers.end() &&
        Owner->second.m_startMs > Item.m_record.m_owner.m_startMs) {
      Item.m_hasOwnerRestarted = true;
      regrant(Item, {Owner->first, Owner->second.m_startMs});
    }
    const auto Previous = m_servers.find(Item.m_record.m_previousOwner.m_id);
    if (Previous != m_servers.end() &&
        Previous->second.m_startMs > Item.m_record.m_previousOwner.m_startMs) {
      Item.m_record.m_previousOwner.m_startMs = Previous->second.m_startMs;
      Item.m_isReleasePending = false;
      Item.m_isReleased = false;
      Item.m_nextReleaseAt = {};
      m_isDirty = true;
    }
  }
}

void KeyGranter::renewNow(Key Value) {
  for (Range &Item : m_ranges)
    if (Item.m_record.m_from <= Value && Value <= Item.m_record.m_to)
      Item.m_nextGrantAt = {};
}

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

void KeyGranter::onGrantResult(Range &Item, TimePoint SentAt,
                               GrantResult Outcome, TimePoint Now,
                               TimePoint WrittenAt) {
  Item.m_isGrantPending = false;
  if (Outcome == GrantResult::Done) {
    // Earlier, an unknown granter may still send the owner a higher token and
    // move the range after that.
    if (SentAt >= m_unknownHoldsEndAt)
      Item.m_mayHaveUnknownOwner = false;
    if (WrittenAt != TimePoint{})
      Item.m_connectedBy = WrittenAt;
    Item.m_isTokenNew = false;
    Item.m_confirmedAt = SentAt;
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
  const bool MayHaveArrived = Outcome == GrantResult::NoAnswer ||
                              Outcome == GrantResult::ConnectionLost;
  if (MayHaveArrived && Item.m_isTokenNew)
    Item.m_connectedBy = WrittenAt == TimePoint{} ? SentAt : WrittenAt;
  Item.m_isTokenNew = Item.m_isTokenNew && !MayHaveArrived;
  if (Outcome == GrantResult::NoAnswer)
    Item.m_unansweredAt =
        std::max({Item.m_unansweredAt, Now, latestArrival(SentAt)});
  if (Outcome == GrantResult::ConnectionLost)
    Item.m_unansweredAt = std::max(Item.m_unansweredAt, Now);
  if (Outcome == GrantResult::HigherFence) {
    Item.m_confirmedAt = {};
    m_needsValidation = true;
  }
}

void KeyGranter::replaceToken(const std::vector<Range *> &Items,
                              TimePoint Now) {
  std::uint64_t Fence = 0;
  for (Range *Item : Items) {
    Item->m_isGrantPending = false;
    // A new instance gets keys that it does not have, not a renewal.
    const bool MayStayConfirmed =
        !m_isRestating && !mayUnknownGranterHold(*Item, Now);
    const TimePoint Confirmed =
        MayStayConfirmed ? Item->m_confirmedAt : TimePoint{};
    regrant(*Item, Item->m_record.m_owner);
    Item->m_confirmedAt = Confirmed;
    if (Fence == 0)
      Fence = Item->m_record.m_fence;
    Item->m_record.m_fence = Fence;
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
  const std::vector<Range *> Items = rangesOf(Ended.m_call);
  if (Outcome == GrantResult::Unproven) {
    replaceToken(Items, Now);
    return;
  }
  Reachability &Server = m_reachability[Ended.m_call.m_server.m_id];
  const bool IsAnswered =
      Outcome == GrantResult::Done || Outcome == GrantResult::HigherFence;
  Server.m_failures = IsAnswered ? 0 : Server.m_failures + 1;
  if (!IsAnswered)
    Server.m_lastFailure = Now;
  for (Range *Item : Items) {
    if (!Ended.m_call.m_isRelease) {
      onGrantResult(*Item, Ended.m_sentAt, Outcome, Now, WrittenAt);
      continue;
    }
    Item->m_isReleasePending = false;
    Item->m_nextReleaseAt = Now + RetryDelay;
    if (Outcome == GrantResult::Done) {
      Item->m_isReleased = true;
      Item->m_handover = Handover;
    }
  }
  dropUnknownGranters();
}

void KeyGranter::splitAt(Key At) {
  for (std::size_t I = 0; I < m_ranges.size(); ++I) {
    RangeRecord &Record = m_ranges[I].m_record;
    if (At <= Record.m_from || At > Record.m_to)
      continue;
    Range Upper = m_ranges[I];
    Upper.m_record.m_from = At;
    // Both parts keep their owner, so the record in the store stays valid.
    Record.m_to = static_cast<Key>(At - 1);
    m_ranges.insert(m_ranges.begin() + static_cast<std::ptrdiff_t>(I) + 1,
                    Upper);
    return;
  }
}

void KeyGranter::assign(Range &Item, const ServerInstance &Owner,
                        TimePoint Now) {
  RangeRecord &Record = Item.m_record;
  if (Record.m_previousOwner.isNone() && !Record.m_owner.isNone()) {
    const bool MayGrantArriveLater =
        Item.m_isGrantPending || Item.m_unansweredAt != TimePoint{};
    Item.m_previousHoldEndsAt = lastHoldEnd(Item);
    Item.m_isPreviousInherited = Item.m_isInherited;
    Item.m_releaseValidFrom =
        MayGrantArriveLater ? Item.m_previousHoldEndsAt : Now;
    Item.m_isReleased = false;
    Item.m_isReleasePending = false;
    Item.m_nextReleaseAt = {};
    Record.m_previousOwner = Record.m_owner;
    Record.m_previousFence = Record.m_fence;
  }
  Item.m_isInherited = false;
  Item.m_hasOwnerRestarted = false;
  Item.m_isGrantPending = false;
  Item.m_answeredAt = {};
  Item.m_unansweredAt = {};
  Item.m_handover.clear();
  Item.m_movedAt = Now;
  regrant(Item, Owner);
}

void KeyGranter::move(const KeyMove &Move, TimePoint Now) {
  const auto Target = m_servers.find(Move.m_target);
  if (Target == m_servers.end())
    return;
  const ServerInstance Owner{Target->first, Target->second.m_startMs};
  splitAt(Move.m_from);
  if (Move.m_to < KeyCount - 1)
    splitAt(static_cast<Key>(Move.m_to + 1));
  for (Range &Item : m_ranges) {
    const RangeRecord &Record = Item.m_record;
    // Either owner of an inherited range may hold it: the record names both
    // from before the grant to the new owner until some time after it.
    const bool IsAmbiguous =
        Item.m_isInherited && !Record.m_previousOwner.isNone();
    if (Record.m_from >= Move.m_from && Record.m_to <= Move.m_to &&
        Record.m_owner != Owner && !IsAmbiguous)
      assign(Item, Owner, Now);
  }
}

void KeyGranter::mergeNeighbours() {
  const std::size_t MaxRanges =
      std::min(MaxRangesPerServer * std::max<std::size_t>(1, m_servers.size()),
               m_policy.m_placement.m_maxRanges / 2);
  if (m_ranges.size() <= MaxRanges)
    return;
  const auto IsStable = [this](const Range &Item) {
    return isPersisted(Item) && Item.m_record.m_previousOwner.isNone() &&
           !Item.m_isInherited && !Item.m_mayHaveUnknownOwner &&
           !Item.m_isGrantPending && Item.m_confirmedAt != TimePoint{} &&
           Item.m_unansweredAt == TimePoint{};
  };
  for (std::size_t I = 0; I + 1 < m_ranges.size();) {
    Range &Lower = m_ranges[I];
    const Range &Upper = m_ranges[I + 1];
    if (!IsStable(Lower) || !IsStable(Upper) ||
        Lower.m_record.m_owner != Upper.m_record.m_owner) {
      ++I;
      continue;
    }
    const TimePoint Confirmed =
        std::min(Lower.m_confirmedAt, Upper.m_confirmedAt);
    Lower.m_record.m_to = Upper.m_record.m_to;
    // Until the merged range is granted, the later of the two holds counts.
    Lower.m_answeredAt = std::max(Lower.m_answeredAt, Upper.m_answeredAt);
    m_ranges.erase(m_ranges.begin() + static_cast<std::ptrdiff_t>(I) + 1);
    regrant(Lower, Lower.m_record.m_owner);
    Lower.m_confirmedAt = Confirmed;
    ++I;
  }
}

std::map<std::string, double> KeyGranter::averageCapacity(
    const std::function<double(const std::string &)> &RateOf, TimePoint Now) {
  std::map<std::string, double> Out;
  decltype(m_meanCapacity) Averages;
  for (const auto &[Id, Entry] : m_servers) {
    if (!isUsable({Id, Entry.m_startMs}, Now))
      continue;
    const double Rate = RateOf(Id);
    const auto Known = m_meanCapacity.find({Id, Entry.m_startMs});
    const double Before = Known == m_meanCapacity.end() ? Rate : Known->second;
    Out[Id] = Before + m_policy.m_capacityWeight * (Rate - Before);
    Averages[{Id, Entry.m_startMs}] = Out[Id];
  }
  m_meanCapacity = std::move(Averages);
  return Out;
}

bool KeyGranter::plan(const std::function<std::vector<KeyRate>()> &Demand,
                      const std::function<double(const std::string &)> &RateOf,
                      TimePoint Now) {
  if (!isInForce() || m_needsValidation ||
      Now - m_validatedAt > MaxValidationAge ||
      Now - m_lastPlanAt < m_policy.m_planInterval)
    return false;
  m_lastPlanAt = Now;
  const std::map<std::string, double> Capacity = averageCapacity(RateOf, Now);
  std::vector<PlacedRange> Placed;
  for (const Range &Item : m_ranges) {
    const RangeRecord &Record = Item.m_record;
    const bool HasOwner = isUsable(Record.m_owner, Now);
    const bool CanMove = HasOwner && !mayUnknownGranterHold(Item, Now) &&
                         Record.m_previousOwner.isNone() && isPersisted(Item) &&
                         Now - Item.m_movedAt > m_policy.m_moveCooldown;
    Placed.push_back({{Record.m_from, Record.m_to,
                       HasOwner ? Record.m_owner.m_id : std::string()},
                      CanMove});
  }
  m_lastPlacement =
      planPlacement(Placed, Capacity, Demand(), m_policy.m_placement);
  for (const KeyMove &Move : m_lastPlacement.m_moves)
    move(Move, Now);
  mergeNeighbours();
  return true;
}

bool KeyGranter::mayClearPreviousOwner(const Range &Item, TimePoint Now) const {
  if (Item.m_isPreviousInherited && Now < m_inheritedHoldsEndAt)
    return false;
  return (Item.m_isReleased && Now >= Item.m_releaseValidFrom) ||
         Now >= Item.m_previousHoldEndsAt;
}

void KeyGranter::clearPreviousOwners(TimePoint Now) {
  for (Range &Item : m_ranges) {
    RangeRecord &Record = Item.m_record;
    if (Record.m_previousOwner.isNone() || !isPersisted(Item) ||
        mayUnknownGranterHold(Item, Now))
      continue;
    if (!mayClearPreviousOwner(Item, Now))
      continue;
    // The owner may be granted the keys from here on. The stored record still
    // names the previous owner until the next write, which is safe.
    Record.m_previousOwner = {};
    Record.m_previousFence = 0;
    m_isDirty = true;
  }
}

void KeyGranter::addGrants(TimePoint Now, GrantActions &Out) {
  const auto IsReady = [this, Now](const Range &Item) {
    // A renewal gives the owner no keys that it does not have already.
    const bool IsRenewal = Item.m_confirmedAt != TimePoint{};
    const bool IsSafe =
        IsRenewal || (!m_isRestating && !mayUnknownGranterHold(Item, Now));
    const bool IsValid =
        !Item.m_isTokenNew || (m_validatedAt >= m_resumedAt &&
                               Now - m_validatedAt <= MaxValidationAge);
    return IsSafe && IsValid && !Item.m_isGrantPending && isPersisted(Item) &&
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
        // Some of the ranges may have the token and others not yet.
        Grant.m_connectedBy =
            std::max(Grant.m_connectedBy, m_ranges[J].m_connectedBy);
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

GrantActions KeyGranter::step(TimePoint Now) {
  GrantActions Out;
  if (!m_isGranter)
    return Out;
  if (m_steppedAt != TimePoint{} && Now - m_steppedAt > MaxStepPause)
    m_resumedAt = Now;
  m_steppedAt = Now;
  // A call whose result was never reported counts as unanswered.
  for (auto Item = m_calls.begin(); Item != m_calls.end();) {
    const Millis Limit =
        (Item->second.m_call.m_isRelease ? m_policy.m_releaseTimeout
                                         : m_policy.m_callTimeout) +
        m_policy.m_callTimeout;
    const std::uint64_t Number = Item->first;
    const bool IsOver = Now - Item->second.m_sentAt > Limit;
    ++Item;
    if (IsOver)
      onCallResult(Number, GrantResult::NoAnswer, "", Now);
  }
  if (mayRenew(Now)) {
    if (!m_isRestating) {
      clearPreviousOwners(Now);
      addReleases(Now, Out);
    }
    addGrants(Now, Out);
  }
  addWrite(Now, Out);
  return Out;
}

KeyMap KeyGranter::keyMap(TimePoint Now) const {
  std::vector<KeyRange> Ranges;
  for (const Range &Item : m_ranges) {
    const RangeRecord &Record = Item.m_record;
    const bool IsHeld = Record.m_previousOwner.isNone() &&
                        ((Item.m_isInherited && !Item.m_hasOwnerRestarted) ||
                         (Item.m_confirmedAt != TimePoint{} &&
                          Now < holdEnd(Item.m_confirmedAt)));
    const std::string Server = IsHeld ? Record.m_owner.m_id : std::string();
    appendRange(Ranges, {Record.m_from, Record.m_to, Server});
  }
  return KeyMap(m_record.m_term, std::move(Ranges));
}

} // namespace tamarackdrum::gateway
