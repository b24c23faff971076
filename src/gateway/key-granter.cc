#include "tamarackdrum/gateway/key-granter.h"

#include <algorithm>

namespace tamarackdrum::gateway {
namespace {

/// Failed calls in a row from which a server gets no more keys, and for how
/// long.
constexpr unsigned FailuresToAvoid = 3;
constexpr Millis AvoidTime{2500};
/// Pause before a failed call is made again.
constexpr Millis RetryPause{150};
/// Ranges for each server from which neighbours are merged.
constexpr std::size_t RangesPerServer = 6;
/// Age of the last validation up to which keys are moved.
constexpr Millis FreshTerm{4000};

} // namespace

KeyMap recordedMap(const OwnershipRecord &Record) {
  std::vector<KeyHolding> Holdings;
  for (const RangeRecord &Item : Record.m_ranges) {
    const bool IsMoving = !Item.m_previous.isNobody();
    appendHolding(Holdings, {Item.m_from, Item.m_to,
                             IsMoving ? std::string() : Item.m_owner.m_id});
  }
  return KeyMap(0, std::move(Holdings));
}

KeyGranter::KeyGranter(GrantPolicy Policy, std::string Host, std::int64_t Life)
    : m_policy(Policy), m_host(std::move(Host)), m_life(Life) {}

TimePoint KeyGranter::holdEnd(TimePoint SentAt, Millis Hold) const {
  if (SentAt == TimePoint{})
    return SentAt;
  const double Longest =
      static_cast<double>(Hold.count()) * m_policy.m_clockFactor;
  return SentAt + Millis(static_cast<std::int64_t>(Longest)) +
         m_policy.m_margin;
}

TimePoint KeyGranter::arrivedBy(TimePoint SentAt) const {
  return SentAt + 2 * m_policy.m_callTimeout;
}

TimePoint KeyGranter::holdEnd(TimePoint SentAt) const {
  return holdEnd(SentAt, m_policy.m_hold);
}

void KeyGranter::lengthenHolds() {
  m_isLengthening = true;
  for (Range &Item : m_ranges)
    Item.m_nextAt = {};
}

TimePoint KeyGranter::lastHoldEnd(const Range &Item) const {
  TimePoint Last = std::max(Item.m_answeredAt, Item.m_unansweredAt);
  if (Item.m_isCalling)
    Last = std::max(Last, arrivedBy(Item.m_callingSince));
  return holdEnd(Last,
                 m_isLengthening ? m_policy.m_longestHold : m_policy.m_hold);
}

Millis KeyGranter::longestInherited() const {
  return m_wasStoreAway ? m_policy.m_longestHold : m_policy.m_hold;
}

std::int64_t KeyGranter::toStoreMs(TimePoint At) const {
  return m_takenStoreMs +
         std::chrono::duration_cast<Millis>(At - m_takenAt).count();
}

TimePoint KeyGranter::fromStoreMs(std::int64_t Ms) const {
  return m_takenAt + Millis(Ms - m_takenStoreMs);
}

void KeyGranter::noteEarlier(const StateOf &State, TimePoint Now) {
  if (!m_isGranter)
    return;
  m_inheritedEndsAt = {};
  m_unknownEndsAt = {};
  for (EarlierGranter &Item : m_record.m_earlier) {
    if (Item.m_host.empty())
      m_unknownEndsAt = std::max(m_unknownEndsAt, fromStoreMs(Item.m_untilMs));
    const EarlierState Known =
        Item.m_host.empty() ? EarlierState::MayGrant : State(Item);
    if (Known != EarlierState::MayGrant) {
      const Millis Hold = Known == EarlierState::HasEnded ? longestInherited()
                                                          : m_policy.m_hold;
      const std::int64_t LapsedBy = toStoreMs(holdEnd(arrivedBy(Now), Hold));
      m_isDirty = m_isDirty || LapsedBy < Item.m_untilMs;
      Item.m_untilMs = std::min(Item.m_untilMs, LapsedBy);
    }
    m_inheritedEndsAt =
        std::max(m_inheritedEndsAt, fromStoreMs(Item.m_untilMs));
  }
}

Millis KeyGranter::inheritedLeft(TimePoint Now) const {
  return std::max(Millis(0),
                  std::chrono::duration_cast<Millis>(m_inheritedEndsAt - Now));
}

void KeyGranter::markChanged(Range &Item) {
  Item.m_change = ++m_changes;
  m_isDirty = true;
}

bool KeyGranter::isSettled(const Range &Item) const {
  return m_isWritten && Item.m_change <= m_writtenChange;
}

bool KeyGranter::mayRenew(TimePoint Now) const {
  return m_isGranter && m_isWritten && !m_needsValidation &&
         Now - m_validatedAt < m_policy.m_unvalidatedLimit;
}

void KeyGranter::takeOver(const OwnershipRecord &Read, const StateOf &State,
                          const TermBasis &Basis, TimePoint Now) {
  stepDown();
  m_wasStoreAway = Basis.m_wasStoreAway;
  m_takenAt = Now;
  m_takenStoreMs = Basis.m_storeMs;
  m_isGranter = true;
  m_era = Basis.m_era;
  m_record = Read;
  m_record.m_term = std::max(Read.m_term, termsBefore(Basis.m_era)) + 1;
  m_record.m_granter = m_host;
  m_record.m_granterLife = m_life;
  std::erase_if(m_record.m_earlier, [&Basis](const EarlierGranter &Item) {
    return Item.m_untilMs <= Basis.m_storeMs;
  });
  // Up to the write of this term the old granter may find its own the newest.
  const TimePoint OldEnds =
      holdEnd(Now + m_policy.m_takeOverTime + m_policy.m_unvalidatedLimit,
              longestInherited());
  if (Read.m_term > 0)
    m_record.m_earlier.push_back(
        {Read.m_term, Read.m_granter, Read.m_granterLife, toStoreMs(OldEnds)});
  if (Basis.m_isRecordOld)
    addUnknownGranter(Basis.m_era, Now);
  noteEarlier(State, Now);
  m_fences = 0;
  m_isDirty = true;
  for (const RangeRecord &Old : Read.m_ranges) {
    Range Item;
    Item.m_record = Old;
    Item.m_isInherited = true;
    Item.m_isUnsure = true;
    Item.m_isPreviousInherited = true;
    Item.m_movedAt = Now;
    if (!Old.m_owner.isNobody())
      Item.m_record.m_fence = nextFence();
    markChanged(Item);
    m_ranges.push_back(Item);
  }
  if (m_ranges.empty()) {
    Range All;
    All.m_record = {0, KeyCount - 1, {}, 0, {}, 0};
    All.m_isUnsure = true;
    markChanged(All);
    m_ranges.push_back(All);
  }
}

void KeyGranter::addUnknownGranter(std::uint64_t Era, TimePoint Now) {
  const TimePoint LongestEnd =
      holdEnd(Now + m_policy.m_takeOverTime + m_policy.m_unvalidatedLimit,
              m_policy.m_longestHold);
  m_record.m_earlier.push_back(
      {termsBefore(Era), "", 0, toStoreMs(LongestEnd)});
  m_unknownEndsAt = LongestEnd;
}

void KeyGranter::dropUnknownGranters() {
  if (m_unknownEndsAt == TimePoint{})
    return;
  const auto IsUnknown = [](const EarlierGranter &Item) {
    return Item.m_host.empty();
  };
  const bool IsSure =
      std::none_of(m_ranges.begin(), m_ranges.end(),
                   [](const Range &Item) { return Item.m_isUnsure; });
  if (!IsSure || std::erase_if(m_record.m_earlier, IsUnknown) == 0)
    return;
  m_unknownEndsAt = {};
  m_isDirty = true;
}

bool KeyGranter::restate(std::uint64_t Era, TimePoint Now) {
  m_isWriting = false;
  m_isDirty = true;
  if (m_isRestating && Era == m_era)
    return true;
  // Whoever took over after the last validation waits for this granter's holds
  // where an owner has not got its token, and ends its own work before that
  // wait is over.
  if (Now - m_validatedAt > m_policy.m_takeOverTime + m_policy.m_hold)
    return false;
  m_era = Era;
  m_record.m_term = termsBefore(Era) + 1;
  m_fences = 0;
  m_isRestating = true;
  m_restatedAt = Now;
  addUnknownGranter(Era, Now);
  for (Range &Item : m_ranges)
    Item.m_isUnsure = true;
  return true;
}

void KeyGranter::stepDown() {
  m_isGranter = false;
  m_isWritten = false;
  m_isRestating = false;
  m_restatedAt = {};
  m_isWriting = false;
  m_isDirty = false;
  m_isLengthening = false;
  m_needsValidation = false;
  m_writtenChange = 0;
  m_changes = 0;
  m_ranges.clear();
  m_calls.clear();
}

void KeyGranter::noteWritten(TimePoint AskedAt, TimePoint Now) {
  if (!m_isGranter || !m_isWriting)
    return;
  m_isWriting = false;
  m_writtenChange = m_offeredChange;
  m_validatedAt = std::max(m_validatedAt, AskedAt);
  if (!m_isWritten && Now - m_takenAt > m_policy.m_takeOverTime) {
    stepDown();
    return;
  }
  m_isWritten = true;
  m_isRestating = false;
}

void KeyGranter::noteValidated(TimePoint AskedAt) {
  m_validatedAt = std::max(m_validatedAt, AskedAt);
  if (!m_needsValidation)
    return;
  // The refused token was not another granter's: take a higher one.
  m_needsValidation = false;
  for (Range &Item : m_ranges)
    if (!Item.m_record.m_owner.isNobody() && Item.m_confirmedAt == TimePoint{})
      regrant(Item, Item.m_record.m_owner);
}

const ServerEntry *KeyGranter::findLife(const ServerLife &Life) const {
  const auto Found = m_servers.find(Life.m_id);
  if (Found == m_servers.end() || Found->second.m_startMs != Life.m_bornMs)
    return nullptr;
  return &Found->second;
}

bool KeyGranter::isUsable(const ServerLife &Life, TimePoint Now) const {
  const ServerEntry *Entry = findLife(Life);
  if (Entry == nullptr || Entry->m_isDraining)
    return false;
  const auto Found = m_reach.find(Life.m_id);
  return Found == m_reach.end() || Found->second.m_failures < FailuresToAvoid ||
         Now - Found->second.m_lastFailure > AvoidTime;
}

void KeyGranter::regrant(Range &Item, const ServerLife &Owner) {
  Item.m_record.m_owner = Owner;
  Item.m_record.m_fence = nextFence();
  Item.m_confirmedAt = {};
  Item.m_isCalling = false;
  Item.m_nextAt = {};
  markChanged(Item);
}

void KeyGranter::setServers(const std::vector<ServerEntry> &Servers,
                            TimePoint) {
  m_servers.clear();
  for (const ServerEntry &Entry : Servers) {
    m_servers[Entry.m_id] = Entry;
    const auto Known = m_known.find(Entry.m_id);
    if (Known != m_known.end() && Known->second.m_startMs != Entry.m_startMs)
      m_reach.erase(Entry.m_id);
    m_known[Entry.m_id] = Entry;
  }
  if (!m_isGranter)
    return;
  for (Range &Item : m_ranges) {
    // A later life of a server holds nothing of what the earlier one held.
    const auto Owner = m_servers.find(Item.m_record.m_owner.m_id);
    if (Owner != m_servers.end() &&
        Owner->second.m_startMs > Item.m_record.m_owner.m_bornMs) {
      Item.m_isInherited = false;
      Item.m_answeredAt = {};
      Item.m_unansweredAt = {};
      regrant(Item, {Owner->first, Owner->second.m_startMs});
    }
    const auto Previous = m_servers.find(Item.m_record.m_previous.m_id);
    if (Previous != m_servers.end() &&
        Previous->second.m_startMs > Item.m_record.m_previous.m_bornMs)
      Item.m_isPreviousGone = true;
  }
}

void KeyGranter::noteNotHeld(Key Value) {
  for (Range &Item : m_ranges)
    if (Item.m_record.m_from <= Value && Value <= Item.m_record.m_to)
      Item.m_nextAt = {};
}

std::vector<KeyGranter::Range *> KeyGranter::rangesOf(const GrantCall &Made) {
  std::vector<Range *> Out;
  for (Range &Item : m_ranges) {
    if (Item.m_record.m_from < Made.m_from || Item.m_record.m_to > Made.m_to)
      continue;
    const RangeRecord &Record = Item.m_record;
    const bool IsMatch =
        Made.m_isRelease
            ? Record.m_previous == Made.m_server &&
                  Record.m_previousFence == Made.m_fence
            : Record.m_owner == Made.m_server && Record.m_fence == Made.m_fence;
    if (IsMatch)
      Out.push_back(&Item);
  }
  return Out;
}

void KeyGranter::noteResult(std::uint64_t Number, GrantResult Outcome,
                            const std::string &Handover, TimePoint Now) {
  const auto Found = m_calls.find(Number);
  if (Found == m_calls.end())
    return;
  const Call Made = Found->second;
  m_calls.erase(Found);
  Reach &Reached = m_reach[Made.m_call.m_server.m_id];
  const bool IsAnswered =
      Outcome == GrantResult::Done || Outcome == GrantResult::HigherFence;
  Reached.m_failures = IsAnswered ? 0 : Reached.m_failures + 1;
  if (!IsAnswered)
    Reached.m_lastFailure = Now;
  for (Range *Item : rangesOf(Made.m_call)) {
    if (Made.m_call.m_isRelease) {
      Item->m_isReleasing = false;
      Item->m_nextReleaseAt = Now + RetryPause;
      if (Outcome == GrantResult::Done) {
        Item->m_isReleased = true;
        Item->m_handover = Handover;
      }
      continue;
    }
    Item->m_isCalling = false;
    if (Outcome == GrantResult::Done) {
      if (Made.m_sentAt >= m_restatedAt)
        Item->m_isUnsure = false;
      Item->m_confirmedAt = Made.m_sentAt;
      Item->m_answeredAt = Now;
      Item->m_isInherited = false;
      Item->m_handover.clear();
      // What went unanswered before has run out by now.
      if (Item->m_unansweredAt != TimePoint{} &&
          Now >= holdEnd(Item->m_unansweredAt))
        Item->m_unansweredAt = {};
      continue;
    }
    Item->m_nextAt = Now + RetryPause;
    if (Outcome == GrantResult::NoAnswer)
      Item->m_unansweredAt = Now;
    if (Outcome == GrantResult::HigherFence) {
      Item->m_confirmedAt = {};
      m_needsValidation = true;
    }
  }
  dropUnknownGranters();
}

void KeyGranter::split(Key At) {
  for (std::size_t I = 0; I < m_ranges.size(); ++I) {
    RangeRecord &Record = m_ranges[I].m_record;
    if (At <= Record.m_from || At > Record.m_to)
      continue;
    Range Upper = m_ranges[I];
    Upper.m_record.m_from = At;
    // Splitting changes no owner: both parts stand in the store as they are.
    Record.m_to = static_cast<Key>(At - 1);
    m_ranges.insert(m_ranges.begin() + static_cast<std::ptrdiff_t>(I) + 1,
                    Upper);
    return;
  }
}

void KeyGranter::assign(Range &Item, const ServerLife &Owner, TimePoint Now) {
  RangeRecord &Record = Item.m_record;
  if (Record.m_previous.isNobody() && !Record.m_owner.isNobody()) {
    const bool IsUnsure =
        Item.m_isCalling || Item.m_unansweredAt != TimePoint{};
    Item.m_previousEndsAt = lastHoldEnd(Item);
    Item.m_isPreviousInherited = Item.m_isInherited;
    Item.m_isPreviousGone = false;
    Item.m_releaseCountsAt = IsUnsure ? Item.m_previousEndsAt : Now;
    Item.m_isReleased = false;
    Item.m_isReleasing = false;
    Item.m_nextReleaseAt = {};
    Record.m_previous = Record.m_owner;
    Record.m_previousFence = Record.m_fence;
  }
  Item.m_isInherited = false;
  Item.m_answeredAt = {};
  Item.m_unansweredAt = {};
  Item.m_handover.clear();
  Item.m_movedAt = Now;
  regrant(Item, Owner);
}

void KeyGranter::move(const KeyMove &Wanted, TimePoint Now) {
  const auto Target = m_servers.find(Wanted.m_target);
  if (Target == m_servers.end())
    return;
  const ServerLife Owner{Target->first, Target->second.m_startMs};
  split(Wanted.m_from);
  if (Wanted.m_to < KeyCount - 1)
    split(static_cast<Key>(Wanted.m_to + 1));
  for (Range &Item : m_ranges) {
    const RangeRecord &Record = Item.m_record;
    // Both owners of an inherited range may hold it: the record is written
    // before a grant and only some time after it.
    const bool IsAmbiguous =
        Item.m_isInherited && !Record.m_previous.isNobody();
    if (Record.m_from >= Wanted.m_from && Record.m_to <= Wanted.m_to &&
        Record.m_owner != Owner && !IsAmbiguous)
      assign(Item, Owner, Now);
  }
}

void KeyGranter::mergeNeighbours() {
  const std::size_t Enough =
      std::min(RangesPerServer * std::max<std::size_t>(1, m_servers.size()),
               m_policy.m_placement.m_mostRanges / 2);
  if (m_ranges.size() <= Enough)
    return;
  const auto IsCalm = [this](const Range &Item) {
    return isSettled(Item) && Item.m_record.m_previous.isNobody() &&
           !Item.m_isInherited && !Item.m_isUnsure && !Item.m_isCalling &&
           Item.m_confirmedAt != TimePoint{} &&
           Item.m_unansweredAt == TimePoint{};
  };
  for (std::size_t I = 0; I + 1 < m_ranges.size();) {
    Range &Lower = m_ranges[I];
    const Range &Upper = m_ranges[I + 1];
    if (!IsCalm(Lower) || !IsCalm(Upper) ||
        Lower.m_record.m_owner != Upper.m_record.m_owner) {
      ++I;
      continue;
    }
    const TimePoint Confirmed =
        std::min(Lower.m_confirmedAt, Upper.m_confirmedAt);
    Lower.m_record.m_to = Upper.m_record.m_to;
    // Until the whole is granted, either part may hold the longest.
    Lower.m_answeredAt = std::max(Lower.m_answeredAt, Upper.m_answeredAt);
    m_ranges.erase(m_ranges.begin() + static_cast<std::ptrdiff_t>(I) + 1);
    regrant(Lower, Lower.m_record.m_owner);
    Lower.m_confirmedAt = Confirmed;
    ++I;
  }
}

void KeyGranter::plan(const std::function<std::vector<KeyRate>()> &Demand,
                      const std::function<double(const std::string &)> &RateOf,
                      TimePoint Now) {
  if (!isInForce() || m_needsValidation || Now - m_validatedAt > FreshTerm ||
      Now - m_plannedAt < m_policy.m_planEvery)
    return;
  m_plannedAt = Now;
  std::map<std::string, double> Capacity;
  for (const auto &[Id, Entry] : m_servers)
    if (isUsable({Id, Entry.m_startMs}, Now))
      Capacity[Id] = RateOf(Id);
  std::vector<PlacedRange> Placed;
  for (const Range &Item : m_ranges) {
    const RangeRecord &Record = Item.m_record;
    const bool HasOwner = isUsable(Record.m_owner, Now);
    const bool CanMove = HasOwner && !mayOthersHold(Item, Now) &&
                         Record.m_previous.isNobody() && isSettled(Item) &&
                         Now - Item.m_movedAt > m_policy.m_settleTime;
    Placed.push_back({{Record.m_from, Record.m_to,
                       HasOwner ? Record.m_owner.m_id : std::string()},
                      CanMove});
  }
  for (const KeyMove &Wanted :
       planKeyMoves(Placed, Capacity, Demand(), m_policy.m_placement))
    move(Wanted, Now);
  mergeNeighbours();
}

bool KeyGranter::isPreviousFree(const Range &Item, TimePoint Now) const {
  if (Item.m_isPreviousGone)
    return true;
  if (Item.m_isPreviousInherited && Now < m_inheritedEndsAt)
    return false;
  return (Item.m_isReleased && Now >= Item.m_releaseCountsAt) ||
         Now >= Item.m_previousEndsAt;
}

void KeyGranter::settlePrevious(TimePoint Now) {
  for (Range &Item : m_ranges) {
    RangeRecord &Record = Item.m_record;
    if (Record.m_previous.isNobody() || !isSettled(Item) ||
        mayOthersHold(Item, Now))
      continue;
    if (!isPreviousFree(Item, Now))
      continue;
    // The record still names the previous owner until the next write, which
    // is the safe side: the owner may be granted the keys from here on.
    Record.m_previous = {};
    Record.m_previousFence = 0;
    m_isDirty = true;
  }
}

void KeyGranter::addGrants(TimePoint Now, GrantActions &Out) {
  const auto IsReady = [this, Now](const Range &Item) {
    // A renewal gives the owner nothing that it has not got.
    const bool IsRenewal = Item.m_confirmedAt != TimePoint{};
    const bool IsSafe =
        IsRenewal || (!m_isRestating && !mayOthersHold(Item, Now));
    return IsSafe && !Item.m_isCalling && isSettled(Item) &&
           Item.m_record.m_previous.isNobody() &&
           findLife(Item.m_record.m_owner) != nullptr;
  };
  std::map<std::string, std::size_t> Calling;
  for (const auto &[Number, Item] : m_calls)
    if (!Item.m_call.m_isRelease)
      ++Calling[Item.m_call.m_server.m_id];
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
      IsDue = IsDue || Now >= m_ranges[End].m_nextAt;
      ++End;
    }
    std::size_t &Busy = Calling[First.m_record.m_owner.m_id];
    if (IsDue && Busy < m_policy.m_callsPerServer) {
      ++Busy;
      GrantCall Made;
      Made.m_number = ++m_lastCall;
      Made.m_server = First.m_record.m_owner;
      Made.m_address = findLife(Made.m_server)->m_address;
      Made.m_from = First.m_record.m_from;
      Made.m_to = m_ranges[End - 1].m_record.m_to;
      Made.m_fence = First.m_record.m_fence;
      Made.m_hold = m_isLengthening ? m_policy.m_longestHold : m_policy.m_hold;
      Made.m_handover = First.m_handover;
      for (std::size_t J = I; J < End; ++J) {
        m_ranges[J].m_isCalling = true;
        m_ranges[J].m_callingSince = Now;
        m_ranges[J].m_nextAt = Now + m_policy.m_renewEvery;
      }
      m_calls[Made.m_number] = {Made, Now};
      Out.m_calls.push_back(Made);
    }
    I = End;
  }
}

void KeyGranter::addReleases(TimePoint Now, GrantActions &Out) {
  for (Range &Item : m_ranges) {
    const RangeRecord &Record = Item.m_record;
    if (Record.m_previous.isNobody() || !isSettled(Item) ||
        mayOthersHold(Item, Now) || Item.m_isReleasing || Item.m_isReleased ||
        Now < Item.m_nextReleaseAt)
      continue;
    const auto Known = m_known.find(Record.m_previous.m_id);
    if (Known == m_known.end() ||
        Known->second.m_startMs != Record.m_previous.m_bornMs)
      continue;
    GrantCall Made;
    Made.m_number = ++m_lastCall;
    Made.m_isRelease = true;
    Made.m_server = Record.m_previous;
    Made.m_address = Known->second.m_address;
    Made.m_from = Record.m_from;
    Made.m_to = Record.m_to;
    Made.m_fence = Record.m_previousFence;
    Item.m_isReleasing = true;
    m_calls[Made.m_number] = {Made, Now};
    Out.m_calls.push_back(Made);
  }
}

void KeyGranter::addWrite(TimePoint Now, GrantActions &Out) {
  if (!m_isDirty || m_isWriting || Now - m_wroteAt < m_policy.m_writeEvery)
    return;
  m_isDirty = false;
  m_isWriting = true;
  m_wroteAt = Now;
  m_offeredChange = m_changes;
  m_record.m_ranges.clear();
  for (const Range &Item : m_ranges)
    m_record.m_ranges.push_back(Item.m_record);
  Out.m_write = m_record;
}

GrantActions KeyGranter::step(TimePoint Now) {
  GrantActions Out;
  if (!m_isGranter)
    return Out;
  // A call whose end was never reported counts as unanswered.
  for (auto Item = m_calls.begin(); Item != m_calls.end();) {
    const Millis Limit =
        (Item->second.m_call.m_isRelease ? m_policy.m_releaseTimeout
                                         : m_policy.m_callTimeout) +
        m_policy.m_callTimeout;
    const std::uint64_t Number = Item->first;
    const bool IsOver = Now - Item->second.m_sentAt > Limit;
    ++Item;
    if (IsOver)
      noteResult(Number, GrantResult::NoAnswer, "", Now);
  }
  if (mayRenew(Now)) {
    if (!m_isRestating) {
      settlePrevious(Now);
      addReleases(Now, Out);
    }
    addGrants(Now, Out);
  }
  addWrite(Now, Out);
  return Out;
}

KeyMap KeyGranter::keyMap(TimePoint Now) const {
  std::vector<KeyHolding> Holdings;
  for (const Range &Item : m_ranges) {
    const RangeRecord &Record = Item.m_record;
    const bool IsHeld =
        Record.m_previous.isNobody() &&
        (Item.m_isInherited || (Item.m_confirmedAt != TimePoint{} &&
                                Now < holdEnd(Item.m_confirmedAt)));
    const std::string Server = IsHeld ? Record.m_owner.m_id : std::string();
    appendHolding(Holdings, {Record.m_from, Record.m_to, Server});
  }
  return KeyMap(m_record.m_term, std::move(Holdings));
}

} // namespace tamarackdrum::gateway
