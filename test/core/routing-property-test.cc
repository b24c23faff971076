/// \file
/// Compares Router with a naive one that recomputes everything from the view
/// and the list of running dispatches.

#include "tamarackdrum/declaration.h"
#include "tamarackdrum/error.h"
#include "tamarackdrum/planner.h"
#include "tamarackdrum/routing.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <rapidcheck/gtest.h>
#include <set>

namespace tamarackdrum {
namespace {

/// A running dispatch as the naive router remembers it.
struct Running {
  Dispatch m_dispatch;
  std::string m_server;
};

/// Router and naive router, driven by the same steps.
class Pair {
public:
  Pair(std::size_t Servers, std::size_t Members) {
    m_view.m_generation = 1;
    for (std::size_t I = 0; I < Members; ++I)
      m_view.m_members.push_back({"entry-" + std::to_string(I)});
    for (const char *Name : {"find", "stock"}) {
      ClassTarget Target;
      Target.m_name = Name;
      Target.m_keyed = Target.m_name == "stock";
      m_view.m_classes.push_back(Target);
      for (std::size_t I = 0; I < Servers; ++I)
        m_view.m_servers.push_back({Name + std::to_string(I), Name, "a"});
    }
    m_view = assignSlices(m_view);
    m_settled = 1;
    publish();
  }

  void step(int Kind, std::size_t Choice) {
    switch (Kind) {
    case 0:
      return recall(Choice);
    case 1:
      m_settled = m_view.m_generation;
      return publish();
    case 2:
      m_now += Millis(Choice % 40);
      return;
    case 3:
      m_leaseUntil = m_now + Millis(Choice % 60);
      return publish();
    case 4:
    case 5:
      return end(Choice);
    case 6:
      ++m_tokenParts;
      m_router.findRoutes("find")->m_load->m_budget.noteRequest();
      return;
    default:
      return decide(Choice % 2 == 0 ? "find" : "stock",
                    "key-" + std::to_string(Choice % 16));
    }
  }

private:
  void publish() {
    m_router.install(m_view);
    m_router.setLease(m_leaseUntil, m_settled);
  }

  void recall(std::size_t Choice) {
    ServerChange Change;
    Change.m_action =
        Choice % 3 == 0 ? ServerAction::Recall : ServerAction::Restore;
    Change.m_allowEmptyClass = true;
    Change.m_operation = "op" + std::to_string(m_view.m_generation);
    Change.m_servers.push_back(
        {m_view.m_servers[Choice % m_view.m_servers.size()].m_name});
    Result<View> Next = applyServerChange(
        nextGeneration(m_view, "entry-0", Change.m_operation), Change);
    if (!Next)
      return;
    m_view = assignSlices(std::move(Next).value());
    publish();
  }

  void end(std::size_t Choice) {
    if (m_running.empty())
      return;
    const std::size_t Index = Choice % m_running.size();
    Running &One = m_running[Index];
    if (Choice % 3 == 0) {
      One.m_dispatch.noteRefusal(m_now);
      m_restUntil[One.m_server] = m_now + Millis(5);
    }
    if (Choice % 2 == 0)
      One.m_dispatch.complete();
    else
      One.m_dispatch.abandon();
    m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(Index));
  }

  int inFlight(const std::string &Server) const {
    return static_cast<int>(std::count_if(
        m_running.begin(), m_running.end(),
        [&](const Running &One) { return One.m_server == Server; }));
  }

  bool hasRoomFor(const ServerRecord &Server, int Limit) const {
    const auto Rest = m_restUntil.find(Server.m_name);
    return (Rest == m_restUntil.end() || m_now >= Rest->second) &&
           inFlight(Server.m_name) < Limit;
  }

  int slotsOf(const ServerRecord &Server) const {
    const std::size_t Part = Server.m_connections / m_view.m_members.size();
    return static_cast<int>(std::min<std::size_t>(Server.m_slots, Part));
  }

  /// Deals the slots of the class one by one; entry-0 is this process.
  std::map<std::string, int> ownSlots() const {
    std::map<std::string, int> Own;
    std::vector<std::string> Slots;
    for (const ServerRecord &Server : m_view.m_servers)
      if (Server.m_workClass == "find" && takesWork(Server))
        Slots.insert(Slots.end(), Server.m_slots, Server.m_name);
    for (std::size_t I = 0; I < Slots.size(); I += m_view.m_members.size())
      ++Own[Slots[I]];
    return Own;
  }

  std::set<std::string> allowedUnkeyed(bool IsOwn) const {
    std::set<std::string> Out;
    std::map<std::string, int> Own = ownSlots();
    for (const ServerRecord &Server : m_view.m_servers)
      if (Server.m_workClass == "find" && takesWork(Server) &&
          hasRoomFor(Server, IsOwn
                                 ? std::min(Own[Server.m_name], slotsOf(Server))
                                 : slotsOf(Server)))
        Out.insert(Server.m_name);
    return Out;
  }

  /// Returns the servers allowed, or the reason for a refusal.
  Result<std::set<std::string>> expectUnkeyed(bool &IsBorrowed) const {
    const bool HasServer =
        std::any_of(m_view.m_servers.begin(), m_view.m_servers.end(),
                    [](const ServerRecord &Server) {
                      return Server.m_workClass == "find" && takesWork(Server);
                    });
    if (!HasServer)
      return std::error_code(RouteErrc::NoServer);
    std::set<std::string> Own = allowedUnkeyed(true);
    if (!Own.empty())
      return Own;
    constexpr int TokenParts = 10;
    IsBorrowed = m_tokenParts >= TokenParts;
    const std::set<std::string> Any = allowedUnkeyed(false);
    if (!IsBorrowed || Any.empty())
      return std::error_code(RouteErrc::Overloaded);
    return Any;
  }

  Result<std::set<std::string>> expectKeyed(const std::string &Key) const {
    const SliceRecord &Slice =
        findAssignment(m_view, "stock")
            ->m_slices[sliceIndex(hashKey(Key), SlicesPerClass)];
    const ServerRecord *Owner = findServer(m_view, Slice.m_owner);
    if (Owner == nullptr || !takesWork(*Owner))
      return std::error_code(RouteErrc::NoServer);
    if (Slice.m_since > m_settled)
      return std::error_code(RouteErrc::SliceMoving);
    if (!hasRoomFor(*Owner, slotsOf(*Owner)))
      return std::error_code(RouteErrc::Overloaded);
    return std::set<std::string>{Owner->m_name};
  }

  void decide(const std::string &Class, const std::string &Key) {
    bool IsBorrowed = false;
    Result<std::set<std::string>> Expected =
        Class == "find" ? expectUnkeyed(IsBorrowed) : expectKeyed(Key);
    if (Expected && m_now >= m_leaseUntil)
      Expected = std::error_code(RouteErrc::NoLease);
    Result<Dispatch> Got = m_router.decide({Class, Key}, m_now);
    RC_ASSERT(Got.has_value() == Expected.has_value());
    if (!Got) {
      RC_ASSERT(Got.error() == Expected.error());
      return;
    }
    const std::string Server = Got.value().server().m_name;
    RC_ASSERT(Expected.value().contains(Server));
    RC_ASSERT(Got.value().isBorrowed() == IsBorrowed);
    constexpr int TokenParts = 10;
    m_tokenParts -= IsBorrowed ? TokenParts : 0;
    m_running.push_back({std::move(Got).value(), Server});
  }

  Router m_router{"entry-0"};
  View m_view;
  TimePoint m_now{Millis(1000)};
  TimePoint m_leaseUntil{Millis(2000)};
  Generation m_settled = 0;
  int m_tokenParts = 0;
  std::map<std::string, TimePoint> m_restUntil;
  std::vector<Running> m_running;
};

RC_GTEST_PROP(RouterProperty, AnySteps_DecideAsTheNaiveRouter, ()) {
  const std::size_t Servers = *rc::gen::inRange<std::size_t>(1, 5);
  const std::size_t Members = *rc::gen::inRange<std::size_t>(1, 13);
  const std::vector<std::pair<int, std::size_t>> Steps =
      *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
          rc::gen::pair(rc::gen::inRange(0, 14),
                        rc::gen::inRange<std::size_t>(0, 1000)));
  Pair Both(Servers, Members);
  for (const std::pair<int, std::size_t> &Next : Steps)
    Both.step(Next.first, Next.second);
}

} // namespace
} // namespace tamarackdrum
