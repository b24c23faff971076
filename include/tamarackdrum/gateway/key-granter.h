/// \file
/// Gives keys to backend servers so that no key ever has two holders.
///
/// One granter a service holds the ownership record in the store under a
/// condition. Grants carry fencing tokens and a hold time, which is the lease.
/// A range has at most one owner and, while it moves, a previous owner; the
/// owner gets it only when the previous one has released it or its hold has
/// lapsed. The record is in the store before the grant that it allows.

#ifndef TAMARACKDRUM_GATEWAY_KEY_GRANTER_H
#define TAMARACKDRUM_GATEWAY_KEY_GRANTER_H

#include "tamarackdrum/gateway/key-placement.h"
#include "tamarackdrum/gateway/server-directory.h"

#include <functional>
#include <optional>

namespace tamarackdrum::gateway {

/// Ownership of one range as it lies in the store.
struct RangeRecord {
  Key m_from = 0;
  Key m_to = 0;
  ServerInstance m_owner;
  std::uint64_t m_fence = 0;
  ServerInstance
      m_previousOwner; ///< May still hold the keys; nobody if none does.
  std::uint64_t m_previousFence = 0;

  bool operator==(const RangeRecord &) const = default;
};

/// A granter of an earlier term whose grants may still hold.
struct EarlierGranter {
  std::uint64_t m_term = 0;
  std::string m_host; ///< Empty: any host, by a record that was lost.
  std::int64_t m_processStartMs =
      0;                         ///< Start of the granting process, Unix ms.
  std::int64_t m_holdsEndMs = 0; ///< Time of the store by which they lapse.

  bool operator==(const EarlierGranter &) const = default;
};

/// What is known of an earlier granter.
enum class EarlierGranterState {
  MayGrant,     ///< It may not know of a newer term yet.
  ProcessEnded, ///< Its process has ended; it may have lengthened its holds.
  SteppedDown   ///< It knows of a newer term and has not lengthened its holds.
};

/// State of the store in which a term begins.
struct TakeOverContext {
  std::int64_t m_storeMs = 0; ///< Steady time of the store.
  /// Hosts that ended may have lengthened their holds before.
  bool m_wasStoreUnavailable = false;
  std::uint64_t m_era = 0; ///< See RowVersion.
  /// The record was written in an earlier era: later ones may be lost, and
  /// granters that nobody knows may hold keys by them.
  bool m_isRecordFromEarlierEra = false;

  bool operator==(const TakeOverContext &) const = default;
};

/// Returns the term above which those of \p Era lie. Terms and fencing tokens
/// of an era are above all earlier ones, whether these are still recorded or
/// not.
constexpr std::uint64_t termFloor(std::uint64_t Era) {
  /// Enough for a takeover each second during 12 days of an era.
  constexpr unsigned TermBits = 20;
  return Era << TermBits;
}

/// The ownership record of one service. Whoever has written the highest term
/// is the granter.
struct OwnershipRecord {
  std::uint64_t m_term = 0;
  std::string m_granter; ///< Host name.
  std::int64_t m_granterStartMs =
      0; ///< Start of the granting process, Unix ms.
  std::vector<EarlierGranter> m_earlier;
  std::vector<RangeRecord> m_ranges;

  bool operator==(const OwnershipRecord &) const = default;
};

/// Returns whether \p Record was written before \p Era: records of later
/// terms may have been lost with the store's last writes.
inline bool isOfEarlierEra(const OwnershipRecord &Record, std::uint64_t Era) {
  return Era > 0 && Record.m_term <= termFloor(Era);
}

/// Returns the holders that \p Record names, with version 0: they held their
/// keys when it was written and may not any more.
KeyMap recordedMap(const OwnershipRecord &Record);

struct GrantPolicy {
  /// Hold time of a grant. Source: bounds how long keys are unserved after the
  /// silent loss of a server; 3 s are the aim.
  Millis m_hold{2500};
  Millis m_renewInterval{600};
  /// Hold time that a granter gives before it ends in an outage of the store.
  /// Source: the most that the platform allows.
  Millis m_maxHold{10000};
  /// How long a granter renews without knowing that its term is still the
  /// newest. Source: outages of the store of up to 9 s are expected.
  Millis m_validationTimeout{12000};
  /// Lengthens holds, since a server's clock may run 2% slow.
  double m_clockDriftFactor = 1.02;
  /// Added to the end of a hold for the way of the grant.
  Millis m_holdMargin{150};
  /// A takeover is written within this time after the record was read.
  Millis m_takeOverTimeout{2500};
  /// A call that has no answer after this time has failed.
  Millis m_callTimeout{600};
  /// Grants on their way to one server at most: each takes a connection.
  std::size_t m_maxCallsPerServer = 2;
  /// Releases wait for running work.
  Millis m_releaseTimeout{6000};
  /// Least time between two records, so that changes share a call.
  Millis m_writeInterval{150};
  /// Least time between two rounds of placement.
  Millis m_planInterval{200};
  /// Keys stay at a new holder for this time at least.
  Millis m_moveCooldown{500};
  PlacementPolicy m_placement;

  bool operator==(const GrantPolicy &) const = default;
};

/// A call to a backend server.
struct GrantCall {
  std::uint64_t m_number = 0;
  bool m_isRelease = false;
  ServerInstance m_server;
  std::string m_address;
  Key m_from = 0;
  Key m_to = 0;
  std::uint64_t m_fence = 0;
  Millis m_hold{0};
  std::string m_handover;

  bool operator==(const GrantCall &) const = default;
};

/// How a call has ended.
enum class GrantResult {
  Done,
  HigherFence, ///< The server has seen a higher fencing token.
  NotSent,     ///< No connection: the server has not got the call.
  NoAnswer     ///< It may have got it, or may get it later.
};

/// What the granter wants done.
struct GrantActions {
  std::vector<GrantCall> m_calls;
  /// To be written on condition that the row still has the version that was
  /// last read or written.
  std::optional<OwnershipRecord> m_write;
};

class KeyGranter {
public:
  KeyGranter(GrantPolicy Policy, std::string Host, std::int64_t Life);

  /// Tells what is known of an earlier granter.
  using StateOf = std::function<EarlierGranterState(const EarlierGranter &)>;

  /// Becomes the granter after \p Read, which takes effect with the write that
  /// step() asks for. \p Basis holds at \p Now.
  void takeOver(const OwnershipRecord &Read, const StateOf &State,
                const TakeOverContext &Basis, TimePoint Now);
  /// Claims the keys anew, by a term of \p Era, where the store has come back
  /// at \p Now from a copy that is older than the own record. Returns false if
  /// the term was not validated of late: another granter may have taken over
  /// in the time that is lost, and acted on it.
  ///
  /// Until the claim is written, confirmed grants are renewed and nothing
  /// moves. After that a range moves once its owner has taken a renewal: a
  /// server that had got a higher token would have refused.
  bool restate(std::uint64_t Era, TimePoint Now);
  bool isRestating() const { return m_isRestating; }
  /// Waits for the holds only of those earlier granters that grant no more.
  void updateEarlierGranters(const StateOf &State, TimePoint Now);

  /// Returns how long grants of earlier granters may still hold.
  Millis inheritedHoldsLeft(TimePoint Now) const;

  /// Renews all grants with the longest hold at the next step().
  void extendHolds();

  /// Notes that the record of the last step() stands in the store.
  void onWritten(TimePoint AskedAt, TimePoint Now);
  /// Notes that it does not; it is offered again.
  void onWriteFailed() {
    m_isWriting = false;
    m_isDirty = true;
  }

  /// Gives the term up at once: another granter exists.
  void stepDown();
  bool isGranter() const { return m_isGranter; }
  /// Returns whether its term stands in the store: until then nobody may act on
  /// its map.
  bool isInForce() const {
    return m_isGranter && m_isTermWritten && !m_isRestating;
  }
  std::uint64_t term() const { return m_record.m_term; }

  /// Notes that the term was still the newest at \p AskedAt.
  void onValidated(TimePoint AskedAt);
  /// Returns whether the term must be looked up before anything is moved.
  bool needsValidation() const { return m_needsValidation; }

  void setServers(const std::vector<ServerEntry> &Servers, TimePoint Now);

  /// Notes that a server answered that it does not hold \p Value.
  void renewNow(Key Value);

  void onCallResult(std::uint64_t Call, GrantResult Outcome,
                    const std::string &Handover, TimePoint Now);

  /// Chooses new holders, if a round is due. \p Demand returns requests a
  /// second of the busy keys, \p RateOf those that a server can serve.
  void plan(const std::function<std::vector<KeyRate>()> &Demand,
            const std::function<double(const std::string &)> &RateOf,
            TimePoint Now);

  GrantActions step(TimePoint Now);

  /// Returns the holders that may be sent requests.
  KeyMap keyMap(TimePoint Now) const;

  const OwnershipRecord &record() const { return m_record; }

private:
  struct Range {
    RangeRecord m_record;
    std::uint64_t m_change = 0; ///< Number of the last change of m_record.
    bool m_isInherited = false; ///< An earlier granter may renew the owner.
    /// A granter that no record names may have moved it.
    bool m_mayHaveUnknownOwner = false;
    bool m_isGrantPending = false;
    TimePoint m_grantSentAt{};
    TimePoint m_confirmedAt{};  ///< Sending of the last answered grant.
    TimePoint m_answeredAt{};   ///< Its answer: it had arrived before.
    TimePoint m_unansweredAt{}; ///< When the last unanswered one was given up.
    TimePoint m_nextGrantAt{};
    TimePoint m_movedAt{};
    // Of the previous owner:
    TimePoint m_previousHoldEndsAt{};   ///< Its hold has lapsed by then.
    TimePoint m_releaseValidFrom{};     ///< Its release proves nothing before.
    bool m_isPreviousInherited = false; ///< From an earlier granter.
    bool m_hasPreviousEnded = false;    ///< Its life has ended.
    bool m_isReleasePending = false;
    bool m_isReleased = false;
    TimePoint m_nextReleaseAt{};
    std::string m_handover;
  };
  struct Call {
    GrantCall m_call;
    TimePoint m_sentAt;
  };

  TimePoint holdEnd(TimePoint SentAt) const;
  /// Returns when a call of \p SentAt, which may be on its way, has arrived or
  /// has been given up.
  TimePoint latestArrival(TimePoint SentAt) const;
  TimePoint holdEnd(TimePoint SentAt, Millis Hold) const;
  const ServerEntry *findInstance(const ServerInstance &Life) const;
  bool isUsable(const ServerInstance &Life, TimePoint Now) const;
  bool mayRenew(TimePoint Now) const;
  std::uint64_t nextFence() {
    return (m_record.m_term << FenceBits) + ++m_fenceCount;
  }
  void splitAt(Key At);
  void markChanged(Range &Item);
  bool isPersisted(const Range &Item) const;
  TimePoint lastHoldEnd(const Range &Item) const;
  bool mayClearPreviousOwner(const Range &Item, TimePoint Now) const;
  std::int64_t toStoreMs(TimePoint At) const;
  TimePoint fromStoreMs(std::int64_t Ms) const;
  Millis maxInheritedHold() const;
  /// Returns whether granters that the record does not name may hold keys.
  bool mayUnknownGranterHold(const Range &Item, TimePoint Now) const {
    return Item.m_mayHaveUnknownOwner && Now < m_unknownHoldsEndAt;
  }
  /// Names the granters of records that were lost among the earlier ones.
  void addUnknownGranter(std::uint64_t Era, TimePoint Now);
  /// Ends the wait for them once every owner has taken a renewal.
  void dropUnknownGranters();
  void assign(Range &Item, const ServerInstance &Owner, TimePoint Now);
  void regrant(Range &Item, const ServerInstance &Owner);
  void move(const KeyMove &Wanted, TimePoint Now);
  void mergeNeighbours();
  void clearPreviousOwners(TimePoint Now);
  void addGrants(TimePoint Now, GrantActions &Out);
  void addReleases(TimePoint Now, GrantActions &Out);
  void addWrite(TimePoint Now, GrantActions &Out);
  std::vector<Range *> rangesOf(const GrantCall &Made);

  /// Tokens of one term: enough for 2^24 changes.
  static constexpr unsigned FenceBits = 24;

  const GrantPolicy m_policy;
  const std::string m_host;
  const std::int64_t m_processStartMs;
  bool m_isGranter = false;
  bool m_isTermWritten = false; ///< The term itself stands in the store.
  bool m_wasStoreUnavailable = false;
  bool m_isRestating = false; ///< The store has lost records of this term.
  TimePoint m_restatedAt{};
  bool m_isExtendingHolds = false;
  bool m_isWriting = false;
  bool m_isDirty = false;
  std::uint64_t m_era = 0; ///< In which the term began.
  bool m_needsValidation = false;
  OwnershipRecord m_record; ///< As last offered to the store.
  std::uint64_t m_fenceCount = 0;
  std::uint64_t m_lastChange = 0;
  std::uint64_t m_offeredChange = 0; ///< Newest change in the last offer.
  std::uint64_t m_writtenChange = 0;
  TimePoint m_validatedAt{};
  TimePoint m_takeOverAt{};
  std::int64_t m_takeOverStoreMs = 0;
  TimePoint
      m_inheritedHoldsEndAt{}; ///< Grants of earlier granters lapse by then.
  TimePoint m_unknownHoldsEndAt{}; ///< Those that no record names, too.
  TimePoint m_lastWriteAt{};
  TimePoint m_lastPlanAt{};
  std::vector<Range> m_ranges;
  struct Reachability {
    unsigned m_failures = 0;
    TimePoint m_lastFailure{};
  };
  std::map<std::string, ServerEntry> m_servers;
  std::map<std::string, ServerEntry>
      m_knownServers; ///< Also those that are gone.
  std::map<std::string, Reachability> m_reachability;
  std::map<std::uint64_t, Call> m_calls;
  std::uint64_t m_lastCall = 0;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_KEY_GRANTER_H
