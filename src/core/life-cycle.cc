#include "tamarackdrum/life-cycle.h"

#include "tamarackdrum/error.h"

#include <array>
#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace tamarackdrum {
namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

// Server.

struct Join {};
struct Leave {};
struct Recall {};
struct Restore {};

struct ServerServing : msm::front::state<> {};
struct ServerLeaving : msm::front::state<> {};
struct ServerRecalled : msm::front::state<> {};

struct ServerMachineDef : msm::front::state_machine_def<ServerMachineDef> {
  using initial_state = ServerServing; // NOLINT: name given by the library

  // NOLINTNEXTLINE: name given by the library
  struct transition_table
      : boost::mpl::vector<
            Row<ServerServing, Join, ServerServing, none, none>,
            Row<ServerServing, Leave, ServerLeaving, none, none>,
            Row<ServerServing, Recall, ServerRecalled, none, none>,
            Row<ServerServing, Restore, ServerServing, none, none>,
            Row<ServerLeaving, Join, ServerServing, none, none>,
            Row<ServerLeaving, Leave, ServerLeaving, none, none>,
            Row<ServerLeaving, Recall, ServerRecalled, none, none>,
            Row<ServerLeaving, Restore, ServerServing, none, none>,
            Row<ServerRecalled, Leave, ServerLeaving, none, none>,
            Row<ServerRecalled, Recall, ServerRecalled, none, none>,
            Row<ServerRecalled, Restore, ServerServing, none, none>> {};

  template <typename Machine, typename Event>
  // NOLINTNEXTLINE: name given by the library
  void no_transition(const Event & /*Unused*/, Machine & /*Unused*/,
                     int /*State*/) {
    m_isRefused = true;
  }

  bool m_isRefused = false;
};

using ServerMachine = msm::back::state_machine<ServerMachineDef>;

/// The machine numbers states in the order of their first row.
constexpr std::array<ServerState, 3> ServerStates = {
    ServerState::Serving, ServerState::Leaving, ServerState::Recalled};

void process(ServerMachine &Machine, ServerAction Action) {
  switch (Action) {
  case ServerAction::Join:
    Machine.process_event(Join());
    return;
  case ServerAction::Leave:
    Machine.process_event(Leave());
    return;
  case ServerAction::Recall:
    Machine.process_event(Recall());
    return;
  case ServerAction::Restore:
    Machine.process_event(Restore());
    return;
  }
}

// Process.

struct ViewLearnt {};
struct LeaseGained {};
struct LeaseLost {};
struct StopAsked {};
struct Drained {};
struct Left {};

struct ProcessStarting : msm::front::state<> {};
struct ProcessWaiting : msm::front::state<> {};
struct ProcessServing : msm::front::state<> {};
struct ProcessDraining : msm::front::state<> {};
struct ProcessLeaving : msm::front::state<> {};
struct ProcessStopped : msm::front::state<> {};

struct ProcessMachineDef : msm::front::state_machine_def<ProcessMachineDef> {
  using initial_state = ProcessStarting; // NOLINT: name given by the library

  // NOLINTNEXTLINE: name given by the library
  struct transition_table
      : boost::mpl::vector<
            Row<ProcessStarting, ViewLearnt, ProcessWaiting, none, none>,
            Row<ProcessWaiting, LeaseGained, ProcessServing, none, none>,
            Row<ProcessServing, LeaseLost, ProcessWaiting, none, none>,
            Row<ProcessStarting, StopAsked, ProcessDraining, none, none>,
            Row<ProcessWaiting, StopAsked, ProcessDraining, none, none>,
            Row<ProcessServing, StopAsked, ProcessDraining, none, none>,
            Row<ProcessDraining, Drained, ProcessLeaving, none, none>,
            Row<ProcessLeaving, Left, ProcessStopped, none, none>> {};

  template <typename Machine, typename Event>
  // NOLINTNEXTLINE: name given by the library
  void no_transition(const Event & /*Unused*/, Machine & /*Unused*/,
                     int /*State*/) {}
};

constexpr std::array<const char *, 6> ProcessStateNames = {
    "starting", "waiting", "serving", "draining", "leaving", "stopped"};

constexpr std::array<ProcessState, 6> ProcessStates = {
    ProcessState::Starting, ProcessState::Waiting, ProcessState::Serving,
    ProcessState::Draining, ProcessState::Leaving, ProcessState::Stopped};

} // namespace

Result<ServerState> nextServerState(ServerState Current, ServerAction Action) {
  ServerMachine Machine;
  Machine.start();
  if (Current == ServerState::Leaving)
    process(Machine, ServerAction::Leave);
  if (Current == ServerState::Recalled)
    process(Machine, ServerAction::Recall);
  process(Machine, Action);
  if (Machine.m_isRefused)
    return std::error_code(ChangeErrc::Superseded);
  return ServerStates[static_cast<std::size_t>(Machine.current_state()[0])];
}

struct ProcessLifeCycle::Machine : msm::back::state_machine<ProcessMachineDef> {
};

ProcessLifeCycle::ProcessLifeCycle() : m_machine(std::make_unique<Machine>()) {
  m_machine->start();
}

ProcessLifeCycle::~ProcessLifeCycle() = default;

ProcessState ProcessLifeCycle::state() const {
  return ProcessStates[static_cast<std::size_t>(m_machine->current_state()[0])];
}

bool ProcessLifeCycle::handle(ProcessEvent Event) {
  const ProcessState Before = state();
  switch (Event) {
  case ProcessEvent::ViewLearnt:
    m_machine->process_event(ViewLearnt());
    break;
  case ProcessEvent::LeaseGained:
    m_machine->process_event(LeaseGained());
    break;
  case ProcessEvent::LeaseLost:
    m_machine->process_event(LeaseLost());
    break;
  case ProcessEvent::StopAsked:
    m_machine->process_event(StopAsked());
    break;
  case ProcessEvent::Drained:
    m_machine->process_event(Drained());
    break;
  case ProcessEvent::Left:
    m_machine->process_event(Left());
    break;
  }
  return state() != Before;
}

const char *toText(ProcessState State) noexcept {
  return ProcessStateNames[static_cast<std::size_t>(State)];
}

} // namespace tamarackdrum
