#include "tamarackdrum/life-cycle.h"

#include "tamarackdrum/error.h"

#include <gtest/gtest.h>

namespace tamarackdrum {
namespace {

TEST(ServerLifeCycleTest, EachAction_LeadsToItsState) {
  for (const ServerState From : {ServerState::Serving, ServerState::Leaving}) {
    EXPECT_EQ(nextServerState(From, ServerAction::Leave).value(),
              ServerState::Leaving);
    EXPECT_EQ(nextServerState(From, ServerAction::Recall).value(),
              ServerState::Recalled);
    EXPECT_EQ(nextServerState(From, ServerAction::Restore).value(),
              ServerState::Serving);
    EXPECT_EQ(nextServerState(From, ServerAction::Join).value(),
              ServerState::Serving);
  }
}

TEST(ServerLifeCycleTest, Recalled_ComesBackByRestoreOnly) {
  EXPECT_EQ(nextServerState(ServerState::Recalled, ServerAction::Join).error(),
            ChangeErrc::Superseded);
  EXPECT_EQ(
      nextServerState(ServerState::Recalled, ServerAction::Restore).value(),
      ServerState::Serving);
}

TEST(ProcessLifeCycleTest, WholeLife_PassesEveryState) {
  ProcessLifeCycle Life;
  EXPECT_EQ(Life.state(), ProcessState::Starting);
  EXPECT_FALSE(Life.handle(ProcessEvent::LeaseGained));
  EXPECT_TRUE(Life.handle(ProcessEvent::ViewLearnt));
  EXPECT_TRUE(Life.handle(ProcessEvent::LeaseGained));
  EXPECT_EQ(Life.state(), ProcessState::Serving);
  EXPECT_TRUE(Life.handle(ProcessEvent::LeaseLost));
  EXPECT_EQ(Life.state(), ProcessState::Waiting);
  EXPECT_TRUE(Life.handle(ProcessEvent::StopAsked));
  EXPECT_FALSE(Life.handle(ProcessEvent::LeaseGained));
  EXPECT_TRUE(Life.handle(ProcessEvent::Drained));
  EXPECT_EQ(Life.state(), ProcessState::Leaving);
  EXPECT_TRUE(Life.handle(ProcessEvent::Left));
  EXPECT_EQ(Life.state(), ProcessState::Stopped);
}

} // namespace
} // namespace tamarackdrum
