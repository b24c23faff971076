/// \file
/// Grants ranges of keys to backend servers so that no key has two holders.
///
/// Each service has one granter, which owns the ownership record in the store
/// by conditional writes. A grant is a lease: it carries a fencing token and a
/// hold time. A range has at most one owner and, while it moves, a previous
/// owner; the new owner gets a grant only after the previous one has released
/// the range or its hold has expired. The record is written to the store before
/// any grant that it allows is sent.

#ifndef TAMARACKDRUM_GATEWAY_KEY_GRANTER_H
#define TAMARACKDRUM_GATEWAY_KEY_GRANTER_H

#include "tamarackdrum/gateway/key-placement.h"
#include "tamarackdrum/gateway/server-directory.h"

#include <functional>
#include <optional>

namespace tamarackdrum::gateway {

/// Ownership of one range as recorded in the store.
struct RangeRecord {
  Key m_from = 0;
  Key m_to = 0; ///< Included.
  ServerInstance m_owner;
  std::uint64_t m_fence = 0; ///< Fencing token of the owner.
  /// May still hold the keys. None if the range is not moving.
  ServerInstance m_previousOwner;
  std::uint64_t m_previousFence = 0;

  bool operator==(const RangeRecord &) const = default;
};

/// A granter of an earlier term whose grants may not have expired yet.
struct EarlierGranter {
  std::uint64_t m_term = 0;
  std::string m_host; ///< Empty: an unknown host, whose record was lost.
  std::int64_t m_processStartMs = 0; ///< Start of its process, Unix ms.
  std::int64_t m_holdsEndMs = 0;     ///< End of its last hold, store time.

  bool operator==(const EarlierGranter &) const = default;
};

/// What this host knows about an earlier granter.
enum class EarlierGranterState {
  MayGrant,     ///< It may not know of a newer term yet.
  ProcessEnded, ///< Its process has ended and may have extended its holds.
  SteppedDown   ///< It knows of a newer term and has not extended its holds.
};

/// State of the store at a takeover.
struct TakeOverContext {
  std::int64_t m_storeMs = 0; ///< Monotonic time of the store, ms.
  /// The store may have been unavailable, and granters that ended in that time
  /// may have extended their holds.
  bool m_wasStoreUnavailable = false;
  std::uint64_t m_era = 0; ///< See RowVersion.
  /// The record was written in an earlier era. Later records may be lost, and
  /// servers may hold keys from granters that no record names.
  bool m_isRecordFromEarlierEra = false;

  bool operator==(const TakeOverContext &) const = default;
};

/// Returns the highest term below the terms of \p Era. Terms and fencing tokens
/// of an era are thus above those of all earlier eras, even if the records of
/// earlier eras are lost.
constexpr std::uint64_t termFloor(std::uint64_t Era) {
  /// 2^20 terms per era: one takeover per second for 12 days.
  constexpr unsigned TermBits = 20;
  return Era << TermBits;
}

/// The ownership record of one service. The host that wrote the highest term is
/// the granter.
struct OwnershipRecord {
  std::uint64_t m_term = 0;
  std::string m_granter;             ///< Host name.
  std::int64_t m_granterStartMs = 0; ///< Start of its process, Unix ms.
  std::vector<EarlierGranter> m_earlier;
  std::vector<RangeRecord> m_ranges;
  /// False in the first record of a term, which can be written long after its
  /// times were computed; the granter then gives up its term.
  bool m_isConfirmed = true;

  bool operator==(const OwnershipRecord &) const = default;
};

/// Returns whether \p Record was written before \p Era. Records of later terms
/// may then be lost, because the store can lose its last writes.
inline bool isOfEarlierEra(const OwnershipRecord &Record, std::uint64_t Era) {
  return Era > 0 && Record.m_term <= termFloor(Era);
}

/// Returns the holders named in \p Record, as a map with version 0. Their
/// grants may have expired since the record was written.
KeyMap recordedMap(const OwnershipRecord &Record);

/// Timing and limits of a granter.
struct GrantPolicy {
  /// Hold time of a grant. It bounds how long keys are unavailable after a
  /// server is lost without notice; the aim is 3 s.
  Millis m_hold{2500};
  Millis m_renewInterval{600};
  /// Hold time granted before this process ends while the store is unavailable;
  /// the maximum of the platform.
  Millis m_maxHold{10000};
  /// No calls are made if the term was last validated longer ago than this.
  /// Outages of the store of up to 9 s are expected.
  Millis m_validationTimeout{12000};
  /// Lengthens hold times, since the clock of a server may run 2% slow.
  double m_clockDriftFactor = 1.02;
  /// Added to the end of a hold for the network delay of the grant.
  Millis m_holdMargin{150};
  /// A takeover is abandoned if it is not written within this time after the
  /// record was read.
  Millis m_takeOverTimeout{2500};
  /// Timeout of a grant.
  Millis m_callTimeout{600};
  /// Limit of concurrent grants to one server; each one takes a connection.
  std::size_t m_maxCallsPerServer = 2;
  /// Timeout of a release, which waits for running requests.
  Millis m_releaseTimeout{6000};
  /// Shortest time between two writes, so that one write covers many changes.
  Millis m_writeInterval{150};
  /// Shortest time between two rounds of placement.
  Millis m_planInterval{200};
  /// Weight of a new value in the average capacity of a server. Work that is
  /// slow for periods of 400 ms must not move keys; with this weight, the
  /// average covers some 3 s of rounds.
  double m_capacityWeight = 0.07;
  /// A range is not moved again within this time, unless its owner becomes
  /// unusable.
  Millis m_moveCooldown{500};
  PlacementPolicy m_placement;

  bool operator==(const GrantPolicy &) const = default;
};

/// A grant or release call to a backend server.
struct GrantCall {
  std::uint64_t m_number = 0;
  bool m_isRelease = false;
  ServerInstance m_server;
  std::string m_address;
  Key m_from = 0;
  Key m_to = 0; ///< Included.
  std::uint64_t m_fence = 0;
  Millis m_hold{0};
  std::string m_handover; ///< Answer of the previous owner to the release.
  /// If set, the call may only use a connection that was open at this time: the
  /// server had the token by then, and one that has started again since does
  /// not know which tokens are outdated.
  TimePoint m_connectedBy{};

  bool operator==(const GrantCall &) const = default;
};

/// Result of a call.
enum class GrantResult {
  Done,
  HigherFence, ///< The server has seen a higher fencing token.
  NotSent,     ///< No connection; the server has not received the call.
  Unproven,    ///< Not sent, because of GrantCall::m_connectedBy.
  NoAnswer,    ///< The server may have received the call, or may do so later.
  /// The server has closed the connection and receives the call no more.
  ConnectionLost
};

/// Actions that the caller of KeyGranter::step() has to carry out.
struct GrantActions {
  std::vector<GrantCall> m_calls;
  /// To be written on condition that the row still has the version that was
  /// last read or written.
  std::optional<OwnershipRecord> m_write;
};

/// State machine of the granter of one service. It does no I/O: step() returns
/// the calls and writes, and the on...() functions take their results.
class KeyGranter {
public:
  /// \p ProcessStartMs is the start of this process in Unix ms.
  KeyGranter(GrantPolicy Policy, std::string Host, std::int64_t ProcessStartMs);

  /// Returns the known state of an earlier granter.
  using StateOf = std::function<EarlierGranterState(const EarlierGranter &)>;

  /// Becomes the granter after \p Read with a new term. The term is in force
  /// once the record that step() returns is written. \p Context describes the
  /// store at \p Now.
  void takeOver(const OwnershipRecord &Read, const StateOf &State,
                const TakeOverContext &Context, TimePoint Now);
  /// Claims the keys again with a term of \p Era, after the store has been
  /// restored from a copy older than this granter's record. Returns false if
  /// the term was last validated too long ago: the store may then have lost a
  /// takeover by another granter.
  ///
  /// Until the new record is written and the holds of granters whose records
  /// are lost have ended, confirmed grants are renewed and no range moves.
  bool restate(std::uint64_t Era, TimePoint Now);
  bool isRestating() const { return m_isRestating; }
  /// Updates the times at which grants of earlier granters expire. The time is
  /// brought forward for each granter that no longer grants.
  void updateEarlierGranters(const StateOf &State, TimePoint Now);

  /// Returns the longest remaining hold time of grants of earlier granters.
  Millis inheritedHoldsLeft(TimePoint Now) const;

  /// Makes the next step() renew all grants with the longest hold time.
  void extendHolds();

  /// The record returned by the last step() is in the store. \p AskedAt is when
  /// the write began.
  void onWritten(TimePoint AskedAt, TimePoint Now);
  /// The write has failed; step() returns the record again.
  void onWriteFailed() {
    m_isWriting = false;
    m_isDirty = true;
  }

  /// Gives up the term at once because there is another granter.
  void stepDown();
  bool isGranter() const { return m_isGranter; }
  /// Returns whether the term is in the store. Otherwise keyMap() must not be
  /// used for requests.
  bool isInForce() const {
    return m_isGranter && m_isTermWritten && !m_isRestating;
  }
  std::uint64_t term() const { return m_record.m_term; }

  /// A read that began at \p AskedAt has found this term to be the newest.
  void onValidated(TimePoint AskedAt);
  /// Returns whether calls are suspended until onValidated(), because a server
  /// has seen a higher fencing token.
  bool needsValidation() const { return m_needsValidation; }

  void setServers(const std::vector<ServerEntry> &Servers, TimePoint Now);

  /// Makes a renewal for \p Value due at once. Called when a server has
  /// answered that it does not hold the key.
  void renewNow(Key Value);

  /// Takes the result of call number \p Call and, for a release, the handover
  /// text of the server. \p WrittenAt is when the call was written to its
  /// connection, or TimePoint{} if that cannot be used again.
  void onCallResult(std::uint64_t Call, GrantResult Outcome,
                    const std::string &Handover, TimePoint Now,
                    TimePoint WrittenAt = {});

  /// Plans moves if a round of placement is due. \p Demand returns the request
  /// rates by key, \p RateOf the requests per second that a server can serve.
  /// Returns whether a round was due.
  bool plan(const std::function<std::vector<KeyRate>()> &Demand,
            const std::function<double(const std::string &)> &RateOf,
            TimePoint Now);

  /// Returns the result of the last round of placement.
  const Placement &lastPlacement() const { return m_lastPlacement; }

  /// Returns the calls and the write that are due.
  GrantActions step(TimePoint Now);

  /// Returns the holders to which requests may be sent. The version is the
  /// term.
  KeyMap keyMap(TimePoint Now) const;

  const OwnershipRecord &record() const { return m_record; }

private:
  struct Range {
    RangeRecord m_record;
    std::uint64_t m_change = 0; ///< Number of the last change of m_record.
    bool m_isInherited = false; ///< An earlier granter may renew the owner.
    /// The owner has started again since it was granted the keys.
    bool m_hasOwnerRestarted = false;
    /// A granter that no record names may have moved the range.
    bool m_mayHaveUnknownOwner = false;
    bool m_isGrantPending = false;
    TimePoint m_grantSentAt{};
    TimePoint m_confirmedAt{}; ///< When the last accepted grant was sent.
    TimePoint m_answeredAt{};  ///< When its answer came; it arrived before.
    /// For the token in force; see GrantCall::m_connectedBy.
    TimePoint m_connectedBy{};
    bool m_isTokenNew = true; ///< No server can have taken it yet.
    /// Latest time at which an unanswered grant can arrive.
    TimePoint m_unansweredAt{};
    TimePoint m_nextGrantAt{};
    TimePoint m_movedAt{};
    // State of the previous owner:
    TimePoint m_previousHoldEndsAt{};
    TimePoint m_releaseValidFrom{};     ///< A grant may arrive before this.
    bool m_isPreviousInherited = false; ///< From an earlier granter.
    bool m_isReleasePending = false;
    bool m_isReleased = false;
    TimePoint m_nextReleaseAt{};
    std::string m_handover;
  };
  struct Call {
    GrantCall m_call;
    TimePoint m_sentAt;
  };

  /// Returns the latest time at which a hold that starts at \p SentAt can end.
  TimePoint holdEnd(TimePoint SentAt) const;
  /// Returns the latest time at which a pending call sent at \p SentAt can
  /// arrive.
  TimePoint latestArrival(TimePoint SentAt) const;
  /// Returns the latest time at which a call can arrive of a granter that a
  /// takeover begun at \p TakeOverAt replaces.
  TimePoint lastCallArrival(TimePoint TakeOverAt) const;
  TimePoint holdEnd(TimePoint SentAt, Millis Hold) const;
  /// Returns the directory entry of \p Instance, or null if it is not listed.
  const ServerEntry *findInstance(const ServerInstance &Instance) const;
  /// Returns whether \p Instance may get keys.
  bool isUsable(const ServerInstance &Instance, TimePoint Now) const;
  bool mayRenew(TimePoint Now) const;
  std::uint64_t nextFence() {
    return (m_record.m_term << FenceBits) + ++m_fenceCount;
  }
  /// Returns the requests per second of each usable server, averaged over some
  /// rounds.
  std::map<std::string, double>
  averageCapacity(const std::function<double(const std::string &)> &RateOf,
                  TimePoint Now);
  /// Splits the range around \p At so that a range begins there.
  void splitAt(Key At);
  void markChanged(Range &Item);
  /// Returns whether the last change of \p Item is in the store.
  bool isPersisted(const Range &Item) const;
  /// Returns the latest time at which a hold of the owner of \p Item can end.
  TimePoint lastHoldEnd(const Range &Item) const;
  /// Returns whether the previous owner of \p Item can no longer hold the keys.
  bool mayClearPreviousOwner(const Range &Item, TimePoint Now) const;
  std::int64_t toStoreMs(TimePoint At) const;
  TimePoint fromStoreMs(std::int64_t Ms) const;
  /// Returns the longest hold time that an earlier granter may have granted.
  Millis maxInheritedHold() const;
  /// Returns whether a grant of an unknown granter may still hold.
  bool mayUnknownGranterHold(const Range &Item, TimePoint Now) const {
    return Item.m_mayHaveUnknownOwner && Now < m_unknownHoldsEndAt;
  }
  /// Adds an entry for the granters of lost records to the earlier granters.
  void addUnknownGranter(std::uint64_t Era, TimePoint Now);
  /// Removes that entry once it has ended and every owner has accepted a
  /// renewal.
  void dropUnknownGranters();
  /// Makes \p Owner the owner of \p Item, the current owner the previous one.
  void assign(Range &Item, const ServerInstance &Owner, TimePoint Now);
  /// Sets the owner of \p Item and gives it a new fencing token.
  void regrant(Range &Item, const ServerInstance &Owner);
  /// Gives a new token to \p Items, whose owner may have started again. The key
  /// map names the owner until the last confirmed hold ends.
  void replaceToken(const std::vector<Range *> &Items, TimePoint Now);
  /// Takes the result of a grant for \p Item.
  void onGrantResult(Range &Item, TimePoint SentAt, GrantResult Outcome,
                     TimePoint Now, TimePoint WrittenAt);
  void move(const KeyMove &Wanted, TimePoint Now);
  /// Merges adjacent ranges of one owner if there are too many ranges.
  void mergeNeighbours();
  void clearPreviousOwners(TimePoint Now);
  void addGrants(TimePoint Now, GrantActions &Out);
  void addReleases(TimePoint Now, GrantActions &Out);
  void addWrite(TimePoint Now, GrantActions &Out);
  /// Returns the ranges whose owner, or for a release whose previous owner, is
  /// still the one that \p Made was sent for.
  std::vector<Range *> rangesOf(const GrantCall &Made);

  /// Low bits of a token, which count the tokens of one term.
  static constexpr unsigned FenceBits = 24;

  const GrantPolicy m_policy;
  const std::string m_host;
  const std::int64_t m_processStartMs;
  bool m_isGranter = false;
  bool m_isTermWritten = false;
  bool m_wasStoreUnavailable = false;
  bool m_isRestating = false; ///< The store has lost records of this term.
  bool m_isExtendingHolds = false;
  bool m_isWriting = false;
  bool m_isDirty = false;  ///< Changes have not been returned by step() yet.
  std::uint64_t m_era = 0; ///< Era in which the term began.
  bool m_needsValidation = false;
  OwnershipRecord m_record; ///< Its ranges: as last returned by step().
  std::uint64_t m_fenceCount = 0;
  std::uint64_t m_lastChange = 0;
  std::uint64_t m_offeredChange = 0; ///< Newest change in the last record.
  std::uint64_t m_writtenChange = 0;
  TimePoint m_validatedAt{};
  TimePoint m_steppedAt{};
  TimePoint m_resumedAt{}; ///< End of the last pause between two steps.
  TimePoint m_takeOverAt{};
  std::int64_t m_takeOverStoreMs = 0;
  TimePoint m_inheritedHoldsEndAt{}; ///< Of all earlier granters.
  TimePoint m_unknownHoldsEndAt{};   ///< Of granters that no record names.
  TimePoint m_lastWriteAt{};
  TimePoint m_lastPlanAt{};
  Placement m_lastPlacement;
  /// Requests per second, by id and start of the server.
  std::map<std::pair<std::string, std::int64_t>, double> m_meanCapacity;
  std::vector<Range> m_ranges;
  struct Reachability {
    unsigned m_failures = 0; ///< Failed calls in a row.
    TimePoint m_lastFailure{};
  };
  std::map<std::string, ServerEntry> m_servers;
  /// The last entry of each server ever listed, for releases to servers that
  /// are no longer listed.
  std::map<std::string, ServerEntry> m_knownServers;
  std::map<std::string, Reachability> m_reachability;
  std::map<std::uint64_t, Call> m_calls;
  std::uint64_t m_lastCall = 0;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_KEY_GRANTER_H
