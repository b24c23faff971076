/// \file
/// Operators who change the same servers at once, at different hosts.

#include "site.h"
#include "tamarackdrum/error.h"
#include "tamarackdrum/planner.h"

#include <gtest/gtest.h>
#include <random>

namespace tamarackdrum::test {
namespace {

constexpr std::size_t Servers = 4;

/// A command and what its caller was told.
struct Command {
  ServerChange m_change;
  std::optional<Result<Json::Value>> m_outcome;
};

/// Three hosts and four servers of one keyed class.
class OperatorsTest : public testing::Test {
protected:
  OperatorsTest() {
    ClassTarget Stock;
    Stock.m_name = "stock";
    Stock.m_keyed = true;
    m_site.declareClass(Stock);
    for (std::size_t I = 0; I < Servers; ++I)
      m_site.addServer("stock-" + std::to_string(I), "stock");
    m_site.startHosts(3);
  }

  static Command makeCommand(ServerAction Action, const std::string &Server,
                             const std::string &Operation,
                             Generation BasedOn = 0) {
    Command Out;
    Out.m_change.m_action = Action;
    Out.m_change.m_servers.push_back({Server});
    Out.m_change.m_operation = Operation;
    Out.m_change.m_basedOn = BasedOn;
    return Out;
  }

  void run(std::size_t Host, Command &Given) {
    Given.m_outcome = m_site.control(Host, "change", toJson(Given.m_change));
  }

  /// Runs both at once, at two hosts.
  void race(Command &First, Command &Second) {
    std::thread Other([&] { run(1, Second); });
    run(0, First);
    Other.join();
  }

  View viewAt(std::size_t Host) {
    return viewFromJson(m_site.status(Host)["view"]).value();
  }

  ServerState stateAt(std::size_t Host, const std::string &Server) {
    return findServer(viewAt(Host), Server)->m_state;
  }

  Site m_site;
};

TEST_F(OperatorsTest, TwoRecallsAtOnce_BothStand) {
  ASSERT_TRUE(m_site.awaitReady());
  Command First = makeCommand(ServerAction::Recall, "stock-0", "first");
  Command Second = makeCommand(ServerAction::Recall, "stock-1", "second");
  race(First, Second);
  EXPECT_TRUE(*First.m_outcome);
  EXPECT_TRUE(*Second.m_outcome);
  ASSERT_TRUE(m_site.awaitReady());
  for (std::size_t Host = 0; Host < 3; ++Host) {
    EXPECT_EQ(stateAt(Host, "stock-0"), ServerState::Recalled);
    EXPECT_EQ(stateAt(Host, "stock-1"), ServerState::Recalled);
  }
}

TEST_F(OperatorsTest, LeaveAgainstRecallOfOneServer_OneWinsAndTheLoserIsTold) {
  ASSERT_TRUE(m_site.awaitReady());
  for (int Round = 0; Round < 5; ++Round) {
    const std::string Suffix = "-" + std::to_string(Round);
    const Generation Seen = viewAt(0).m_generation;
    Command First =
        makeCommand(ServerAction::Leave, "stock-0", "leave" + Suffix, Seen);
    Command Second =
        makeCommand(ServerAction::Recall, "stock-0", "recall" + Suffix, Seen);
    race(First, Second);
    ASSERT_NE(First.m_outcome->has_value(), Second.m_outcome->has_value());
    const Command &Loser = First.m_outcome->has_value() ? Second : First;
    EXPECT_EQ(Loser.m_outcome->error(),
              make_error_code(ChangeErrc::Superseded));
    const ServerState Winner = First.m_outcome->has_value()
                                   ? ServerState::Leaving
                                   : ServerState::Recalled;
    ASSERT_TRUE(m_site.awaitReady());
    for (std::size_t Host = 0; Host < 3; ++Host)
      EXPECT_EQ(stateAt(Host, "stock-0"), Winner);
    Command Again =
        makeCommand(ServerAction::Restore, "stock-0", "restore" + Suffix);
    run(0, Again);
    ASSERT_TRUE(*Again.m_outcome);
    ASSERT_TRUE(m_site.awaitReady());
  }
}

TEST_F(OperatorsTest, RecallAgainstRestore_OfWhatBothSaw_OneWins) {
  ASSERT_TRUE(m_site.awaitReady());
  Command Leave = makeCommand(ServerAction::Leave, "stock-0", "leave");
  run(0, Leave);
  ASSERT_TRUE(m_site.awaitReady());
  const Generation Seen = viewAt(0).m_generation;
  Command Recall = makeCommand(ServerAction::Recall, "stock-0", "recall", Seen);
  Command Restore =
      makeCommand(ServerAction::Restore, "stock-0", "restore", Seen);
  race(Recall, Restore);
  ASSERT_NE(Recall.m_outcome->has_value(), Restore.m_outcome->has_value());
  const Command &Loser = Recall.m_outcome->has_value() ? Restore : Recall;
  EXPECT_EQ(Loser.m_outcome->error(), make_error_code(ChangeErrc::Superseded));
}

/// Returns the views that \p Base and \p Storm make, run one by one in the
/// order that \p Shown lists. Checks that each of these was accepted.
std::vector<View> replay(const View &Base, const std::vector<Command> &Storm,
                         const View &Shown) {
  std::vector<View> Views{Base};
  for (const std::string &Operation : Shown.m_recentOperations) {
    const auto Found =
        std::find_if(Storm.begin(), Storm.end(), [&](const Command &Each) {
          return Each.m_change.m_operation == Operation;
        });
    if (Found == Storm.end())
      continue;
    const Result<Json::Value> &Outcome = *Found->m_outcome;
    EXPECT_TRUE(Outcome || Outcome.error() == ChangeErrc::NotInForce)
        << Operation << " stands, refused: " << Outcome.error().message();
    View Next = nextGeneration(Views.back(), "", Operation);
    if (Outcome) {
      EXPECT_GE(Outcome.value()["generation"].asUInt64(), Next.m_generation);
      Next.m_generation = Outcome.value()["generation"].asUInt64();
    }
    const Result<View> Applied = applyServerChange(Next, Found->m_change);
    EXPECT_TRUE(Applied) << Operation;
    Views.push_back(Applied ? Applied.value() : Next);
  }
  return Views;
}

/// Checks what was said to the caller of a command that is not in the order.
void checkUnlisted(const Command &Given, const std::vector<View> &Views) {
  const Result<Json::Value> &Outcome = *Given.m_outcome;
  if (!Outcome) {
    EXPECT_TRUE(Outcome.error() == ChangeErrc::Superseded ||
                Outcome.error() == ChangeErrc::EmptiesClass)
        << Outcome.error().message();
    return;
  }
  // It was accepted as one that changes nothing.
  EXPECT_FALSE(Outcome.value()["changed"].asBool());
  const Generation At = Outcome.value()["generation"].asUInt64();
  const auto After =
      std::find_if(Views.begin(), Views.end(),
                   [&](const View &Each) { return Each.m_generation > At; });
  ASSERT_NE(After, Views.begin());
  const ServerState State =
      findServer(*std::prev(After), Given.m_change.m_servers[0].m_name)
          ->m_state;
  EXPECT_EQ(State == ServerState::Recalled,
            Given.m_change.m_action == ServerAction::Recall);
}

TEST_F(OperatorsTest, StormOfConflictingCommands_EqualsASerialOrder) {
  constexpr std::size_t Threads = 4;
  constexpr std::size_t Commands = 100;
  ASSERT_TRUE(m_site.awaitReady());
  const View Before = viewAt(0);
  std::minstd_rand Random(20261203);
  std::vector<Command> Storm;
  for (std::size_t I = 0; I < Commands; ++I)
    Storm.push_back(makeCommand(
        Random() % 2 == 0 ? ServerAction::Recall : ServerAction::Restore,
        "stock-" + std::to_string(Random() % Servers),
        "storm-" + std::to_string(I),
        Random() % 2 == 0 ? 0 : Before.m_generation + I / 2));
  std::atomic<bool> Done{false};
  std::vector<std::thread> Running;
  for (std::size_t Host = 0; Host < 3; ++Host)
    Running.emplace_back([&, Host] {
      Generation Newest = 0;
      while (!Done) {
        const Generation Shown =
            m_site.status(Host)["view"]["generation"].asUInt64();
        EXPECT_GE(Shown, Newest);
        Newest = Shown;
      }
    });
  std::vector<std::thread> Operators;
  for (std::size_t Thread = 0; Thread < Threads; ++Thread)
    Operators.emplace_back([&, Thread] {
      for (std::size_t I = Thread; I < Commands; I += Threads)
        run(I % 3, Storm[I]);
    });
  for (std::thread &Each : Operators)
    Each.join();
  Done = true;
  for (std::thread &Each : Running)
    Each.join();
  ASSERT_TRUE(m_site.awaitReady());
  const View Final = viewAt(0);
  const std::vector<View> Views = replay(Before, Storm, Final);
  EXPECT_GT(Views.size(), 1U);
  for (const Command &Each : Storm)
    if (!hasOperation(Final, Each.m_change.m_operation))
      checkUnlisted(Each, Views);
  for (std::size_t Host = 0; Host < 3; ++Host)
    for (const ServerRecord &Server : Views.back().m_servers)
      EXPECT_EQ(stateAt(Host, Server.m_name), Server.m_state);
}

} // namespace
} // namespace tamarackdrum::test
