/// \file
/// The view: everything that the entry hosts of a scope have agreed on. One
/// row of the table service holds it; each commit makes a new generation.

#ifndef TAMARACKDRUM_VIEW_H
#define TAMARACKDRUM_VIEW_H

#include "tamarackdrum/core.h"

#include <memory>
#include <string>
#include <vector>

namespace tamarackdrum {

/// Number of slices of a keyed class; a power of two.
inline constexpr std::size_t SlicesPerClass = 256;

/// Which measure the planner protects when it has to choose.
enum class Preference {
  Availability, ///< Spread load soon; accept moves.
  Stability,    ///< Keep owners; accept some imbalance.
};

/// What operators declare about a class of work. It holds no weights and no
/// addresses.
struct ClassTarget {
  std::string m_name;
  bool m_keyed = false;
  bool m_onceOnly = false;
  bool m_idempotent = true;
  double m_availability = 0.999; ///< Share of requests to be answered.
  Millis m_latency{100};         ///< Latency target at the 99th percentile.
  Millis m_deadline{800};        ///< Longest time of one dispatch.
  Preference m_preference = Preference::Availability;

  bool operator==(const ClassTarget &) const = default;
};

/// Declared state of a server.
enum class ServerState {
  Serving,  ///< Takes work.
  Leaving,  ///< Finishes what is in flight and takes nothing new.
  Recalled, ///< Out of service until an operator restores it.
};

/// One back-end server of a class.
struct ServerRecord {
  std::string m_name;
  std::string m_workClass;
  std::string m_address; ///< "IP:PORT".
  unsigned m_slots = 2;
  unsigned m_connections = 55;
  ServerState m_state = ServerState::Serving;
  bool m_suspended = false;     ///< Set aside by the planner as failed.
  Generation m_changedAt = 0;   ///< Generation of the last declared change.
  Generation m_suspendedAt = 0; ///< Generation of the last suspension.

  bool operator==(const ServerRecord &) const = default;
};

/// Returns whether the planner may give work to \p Server.
bool takesWork(const ServerRecord &Server) noexcept;

/// Owner of a slice of a class.
struct SliceRecord {
  std::string m_owner; ///< Server name; empty if the class has no server.
  Epoch m_epoch = 0;
  Generation m_since = 0; ///< Generation that set this owner.

  bool operator==(const SliceRecord &) const = default;
};

/// A hot key that has a slice of its own.
struct HotKeyRecord {
  std::uint64_t m_hash = 0;
  SliceRecord m_slice;

  bool operator==(const HotKeyRecord &) const = default;
};

/// Assignment of one keyed class. Slice I holds the keys whose top hash bits
/// equal I, apart from hot keys. Hot keys are sorted by hash.
struct ClassAssignment {
  std::string m_workClass;
  std::vector<SliceRecord> m_slices;
  std::vector<HotKeyRecord> m_hotKeys;

  bool operator==(const ClassAssignment &) const = default;
};

/// One entry-host process of the dispatch group.
struct Member {
  std::string m_name;
  std::string m_address; ///< Control address, "IP:PORT".
  std::string m_zone;

  bool operator==(const Member &) const = default;
};

/// A committed view. Immutable once committed.
struct View {
  Generation m_generation = 0;
  std::string m_committer; ///< Process that committed this generation.
  std::string m_operation; ///< Id of the operation that committed it.
  std::vector<Member> m_members;
  /// Members of the previous group, until the group change has settled.
  std::vector<Member> m_outgoing;
  Generation m_groupChangedAt = 0;
  std::vector<ClassTarget> m_classes;         ///< Sorted by name.
  std::vector<ServerRecord> m_servers;        ///< Sorted by name.
  std::vector<ClassAssignment> m_assignments; ///< Sorted by class.
  /// Ids of the latest operator commands, oldest first.
  std::vector<std::string> m_recentOperations;

  bool operator==(const View &) const = default;
};

using ViewPtr = std::shared_ptr<const View>;

const ClassTarget *findClass(const View &Current, std::string_view Name);
const ServerRecord *findServer(const View &Current, std::string_view Name);
const ClassAssignment *findAssignment(const View &Current,
                                      std::string_view WorkClass);

/// Returns the members of the group and of the outgoing group, each once.
std::vector<Member> allMembers(const View &Current);

/// Returns the slice index of \p Hash, e.g. `sliceIndex(hashKey("a"), 256)`.
/// \p Slices is a power of two.
std::size_t sliceIndex(std::uint64_t Hash, std::size_t Slices) noexcept;

} // namespace tamarackdrum

#endif // TAMARACKDRUM_VIEW_H
