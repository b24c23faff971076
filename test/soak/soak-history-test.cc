#include "soak-history.h"

#include <gtest/gtest.h>

namespace tamarackdrum::soak {
namespace {

using platform::standin::RunRecord;

class SoakHistoryTest : public testing::Test {
protected:
  static TimePoint at(std::int64_t Ms) {
    return TimePoint(std::chrono::hours(1)) + Millis(Ms);
  }

  TryRecord &addTry(const std::string &Id, std::int64_t From, std::int64_t To,
                    unsigned Status) {
    TryRecord Made;
    Made.m_id = Id;
    Made.m_target = "/once/" + Id;
    Made.m_isUnsafe = true;
    Made.m_hostLife = 1;
    Made.m_sentAt = at(From);
    Made.m_endedAt = at(To);
    Made.m_status = Status;
    m_subject.m_tries.push_back(Made);
    return m_subject.m_tries.back();
  }

  RunRecord &addRun(const std::string &Id, const std::string &Server,
                    std::int64_t From, std::int64_t To) {
    RunRecord Made;
    Made.m_request = Id;
    Made.m_target = "/once/" + Id;
    Made.m_server = Server;
    Made.m_begin = at(From);
    Made.m_end = at(To);
    m_subject.m_servers.m_runs.push_back(Made);
    return m_subject.m_servers.m_runs.back();
  }

  void addKeyRun(const std::string &Id, const std::string &Server,
                 std::uint64_t Fence, std::int64_t From, std::int64_t To) {
    RunRecord &Made = addRun(Id, Server, From, To);
    Made.m_key = 5;
    Made.m_fence = Fence;
  }

  void addFault(FaultKind Kind, std::int64_t From, std::int64_t To) {
    m_subject.m_faults.push_back({Kind, 0, at(From), at(To)});
  }

  /// Returns the promises that are broken.
  std::vector<Promise> broken() const {
    std::vector<Promise> Out;
    for (const BrokenPromise &Item : findBroken(m_subject, PromiseBounds{}))
      Out.push_back(Item.m_promise);
    return Out;
  }

  using Promises = std::vector<Promise>;
  History m_subject;
};

TEST_F(SoakHistoryTest, Find_ServedOnce_NothingIsBroken) {
  addTry("a", 0, 50, 200);
  addRun("a", "s", 10, 40);
  EXPECT_EQ(broken(), Promises{});
}

TEST_F(SoakHistoryTest, Find_ForeignAnswer_OwnAnswer) {
  addTry("a", 0, 50, 200).m_isOwnAnswer = false;
  addRun("a", "s", 10, 40);
  EXPECT_EQ(broken(), Promises{Promise::OwnAnswer});
}

TEST_F(SoakHistoryTest, Find_RunThatNobodySent_AskedFor) {
  addRun("a", "s", 10, 40);
  EXPECT_EQ(broken(), Promises{Promise::AskedFor});
}

TEST_F(SoakHistoryTest, Find_TargetChanged_AskedFor) {
  addTry("a", 0, 50, 200);
  addRun("a", "s", 10, 40).m_target = "/once/b";
  EXPECT_EQ(broken(), Promises{Promise::AskedFor});
}

TEST_F(SoakHistoryTest, Find_UnsafeRunsTwice_RunOnce) {
  addTry("a", 0, 50, 200);
  addRun("a", "s", 10, 40);
  addRun("a", "t", 20, 40);
  EXPECT_EQ(broken(), Promises{Promise::RunOnce});
  m_subject.m_tries[0].m_isUnsafe = false;
  EXPECT_EQ(broken(), Promises{});
}

TEST_F(SoakHistoryTest, Find_RefusedAndRunLater_NotRun) {
  addTry("a", 0, 50, 503);
  addRun("a", "s", 900, 940);
  EXPECT_EQ(broken(), Promises{Promise::NotRun});
  m_subject.m_tries[0].m_status = 502;
  EXPECT_EQ(broken(), Promises{});
}

TEST_F(SoakHistoryTest, Find_TwoOwnersAtWork_OneOwner) {
  addTry("a", 0, 90, 200);
  addTry("b", 0, 90, 200);
  addKeyRun("a", "s", 1, 10, 60);
  addKeyRun("b", "t", 2, 50, 80);
  EXPECT_EQ(broken(), Promises{Promise::OneOwner});
}

TEST_F(SoakHistoryTest, Find_OwnerAfterOwner_NothingIsBroken) {
  addTry("a", 0, 90, 200);
  addTry("b", 0, 90, 200);
  addKeyRun("a", "s", 1, 10, 40);
  addKeyRun("b", "t", 2, 50, 80);
  EXPECT_EQ(broken(), Promises{});
}

TEST_F(SoakHistoryTest, Find_TokenDoesNotRise_OneOwner) {
  addTry("a", 0, 90, 200);
  addTry("b", 0, 90, 200);
  addKeyRun("a", "s", 2, 10, 40);
  addKeyRun("b", "t", 2, 50, 80);
  EXPECT_EQ(broken(), Promises{Promise::OneOwner});
}

TEST_F(SoakHistoryTest, Find_TwoHoldersForLong_OneHolder) {
  m_subject.m_servers.m_grants = {
      {"s", 1, false, 0, 100, 1, true, at(0), at(2500)},
      {"t", 1, false, 0, 100, 2, true, at(900), at(3400)},
      {"s", 1, true, 0, 100, 1, true, at(1500), {}}};
  EXPECT_EQ(broken(), Promises{Promise::OneHolder});
  m_subject.m_servers.m_grants[2].m_at = at(1000); // A moment only.
  EXPECT_EQ(broken(), Promises{});
  m_subject.m_servers.m_grants[1].m_isTaken = false;
  m_subject.m_servers.m_grants[2].m_at = at(2000);
  EXPECT_EQ(broken(), Promises{});
}

TEST_F(SoakHistoryTest, Find_RunAfterLeave_LeavingOutIfInTouch) {
  addTry("a", 3000, 3050, 200);
  addRun("a", "s", 3010, 3040);
  m_subject.m_leaves.push_back({"s", 0, at(0)});
  EXPECT_EQ(broken(), Promises{Promise::LeavingOut});
  addFault(FaultKind::StoreDown, 100, 200);
  EXPECT_EQ(broken(), Promises{});
}

TEST_F(SoakHistoryTest, Find_OlderConfigurationAgain_NoRevert) {
  addTry("a", 0, 50, 200).m_probe = 4;
  addRun("a", "s", 10, 40);
  addTry("b", 400, 450, 404).m_probe = 3;
  EXPECT_EQ(broken(), Promises{Promise::NoRevert});
  m_subject.m_tries[1].m_hostLife = 2; // Another process.
  EXPECT_EQ(broken(), Promises{});
}

TEST_F(SoakHistoryTest, Find_DeniedAfterBound_InForce) {
  addTry("a", 2500, 2550, 404).m_probe = 4;
  m_subject.m_versions.push_back({4, at(0)});
  EXPECT_EQ(broken(), Promises{Promise::InForce});
  m_subject.m_versions[0].m_at = at(600);
  EXPECT_EQ(broken(), Promises{});
}

TEST_F(SoakHistoryTest, Find_CutAtPlannedStop_NothingCut) {
  addTry("a", 0, 50, 0);
  addRun("a", "s", 10, 40);
  addFault(FaultKind::HostStop, 5, 3000);
  EXPECT_EQ(broken(), Promises{Promise::NothingCut});
  addFault(FaultKind::ServerKill, 20, 30);
  EXPECT_EQ(broken(), Promises{});
}

TEST_F(SoakHistoryTest, Find_CrossesAClose_NothingIsBroken) {
  addTry("a", 0, 5, 0);
  addFault(FaultKind::HostStop, 0, 3000);
  EXPECT_EQ(broken(), Promises{});
}

TEST_F(SoakHistoryTest, ServedShare_OnlyLaterOnes_AreCounted) {
  addTry("a", 0, 50, 503);
  addTry("b", 100, 150, 200);
  EXPECT_DOUBLE_EQ(servedShare(m_subject, at(0)), 0.5);
  EXPECT_DOUBLE_EQ(servedShare(m_subject, at(60)), 1.0);
  EXPECT_DOUBLE_EQ(servedShare(m_subject, at(600)), 1.0);
}

} // namespace
} // namespace tamarackdrum::soak
