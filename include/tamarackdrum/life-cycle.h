/// \file
/// State machines of the life cycle of a server and of a process.

#ifndef TAMARACKDRUM_LIFE_CYCLE_H
#define TAMARACKDRUM_LIFE_CYCLE_H

#include "tamarackdrum/declaration.h"

#include <memory>

namespace tamarackdrum {

/// Returns the state of a server in \p Current after \p Action, or
/// ChangeErrc::Superseded if the action is not open to it: a recalled server
/// comes back by restore only.
Result<ServerState> nextServerState(ServerState Current, ServerAction Action);

/// State of a process.
enum class ProcessState {
  Starting, ///< Knows no view.
  Waiting,  ///< Knows a view and holds no lease.
  Serving,  ///< Holds a lease.
  Draining, ///< Finishes what is in flight.
  Leaving,  ///< Leaves the group.
  Stopped,
};

const char *toText(ProcessState State) noexcept;

/// What moves a process from state to state.
enum class ProcessEvent {
  ViewLearnt,
  LeaseGained,
  LeaseLost,
  StopAsked,
  Drained,
  Left
};

/// Life cycle of one process. Not synchronized. Events that mean nothing in
/// the current state are ignored.
///
/// \code
/// ProcessLifeCycle Life;
/// Life.handle(ProcessEvent::ViewLearnt); // Life.state() is Waiting
/// \endcode
class ProcessLifeCycle {
public:
  ProcessLifeCycle();
  ~ProcessLifeCycle();

  /// Returns whether the state changed.
  bool handle(ProcessEvent Event);
  ProcessState state() const;

private:
  struct Machine;
  std::unique_ptr<Machine> m_machine;
};

} // namespace tamarackdrum

#endif // TAMARACKDRUM_LIFE_CYCLE_H
