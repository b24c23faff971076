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

  RequestRecord &addRequest(const std::string &Id, std::int64_t From,
                            std::int64_t To, unsigned Status) {
    RequestRecord Made;
    Made.m_id = Id;
    Made.m_target = "/once/" + Id;
    Made.m_isUnsafe = true;
    Made.m_hostIncarnation = 1;
    Made.m_sentAt = at(From);
    Made.m_endedAt = at(To);
    Made.m_status = Status;
    m_subject.m_requests.push_back(Made);
    return m_subject.m_requests.back();
  }

  RunRecord &addRun(const std::string &Id, const std::string &Server,
                    std::int64_t From, std::int64_t To) {
    RunRecord Made;
    Made.m_requestId = Id;
    Made.m_target = "/once/" + Id;
    Made.m_server = Server;
    Made.m_begin = at(From);
    Made.m_end = at(To);
    m_subject.m_serverRecords.m_runs.push_back(Made);
    return m_subject.m_serverRecords.m_runs.back();
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

  /// Returns the guarantees that are violated.
  std::vector<Guarantee> violated() const {
    std::vector<Guarantee> Out;
    for (const Violation &Item : findViolations(m_subject, GuaranteeBounds{}))
      Out.push_back(Item.m_guarantee);
    return Out;
  }

  using Guarantees = std::vector<Guarantee>;
  History m_subject;
};

TEST_F(SoakHistoryTest, Find_ServedOnce_NoViolation) {
  addRequest("a", 0, 50, 200);
  addRun("a", "s", 10, 40);
  EXPECT_EQ(violated(), Guarantees{});
}

TEST_F(SoakHistoryTest, Find_ForeignAnswer_OwnAnswer) {
  addRequest("a", 0, 50, 200).m_answerMatches = false;
  addRun("a", "s", 10, 40);
  EXPECT_EQ(violated(), Guarantees{Guarantee::OwnAnswer});
}

TEST_F(SoakHistoryTest, Find_RunWithoutRequest_AskedFor) {
  addRun("a", "s", 10, 40);
  EXPECT_EQ(violated(), Guarantees{Guarantee::AskedFor});
}

TEST_F(SoakHistoryTest, Find_TargetChanged_AskedFor) {
  addRequest("a", 0, 50, 200);
  addRun("a", "s", 10, 40).m_target = "/once/b";
  EXPECT_EQ(violated(), Guarantees{Guarantee::AskedFor});
}

TEST_F(SoakHistoryTest, Find_UnsafeRunsTwice_RunOnce) {
  addRequest("a", 0, 50, 200);
  addRun("a", "s", 10, 40);
  addRun("a", "t", 20, 40);
  EXPECT_EQ(violated(), Guarantees{Guarantee::RunOnce});
  m_subject.m_requests[0].m_isUnsafe = false;
  EXPECT_EQ(violated(), Guarantees{});
}

TEST_F(SoakHistoryTest, Find_RefusedAndRunLater_NotRun) {
  addRequest("a", 0, 50, 503);
  addRun("a", "s", 900, 940);
  EXPECT_EQ(violated(), Guarantees{Guarantee::NotRun});
  m_subject.m_requests[0].m_status = 502;
  EXPECT_EQ(violated(), Guarantees{});
}

TEST_F(SoakHistoryTest, Find_RunsOnTwoServersOverlap_OneOwner) {
  addRequest("a", 0, 90, 200);
  addRequest("b", 0, 90, 200);
  addKeyRun("a", "s", 1, 10, 60);
  addKeyRun("b", "t", 2, 50, 80);
  EXPECT_EQ(violated(), Guarantees{Guarantee::OneOwner});
}

TEST_F(SoakHistoryTest, Find_OwnersOneAfterAnother_NoViolation) {
  addRequest("a", 0, 90, 200);
  addRequest("b", 0, 90, 200);
  addKeyRun("a", "s", 1, 10, 40);
  addKeyRun("b", "t", 2, 50, 80);
  EXPECT_EQ(violated(), Guarantees{});
}

TEST_F(SoakHistoryTest, Find_TokenDoesNotRise_OneOwner) {
  addRequest("a", 0, 90, 200);
  addRequest("b", 0, 90, 200);
  addKeyRun("a", "s", 2, 10, 40);
  addKeyRun("b", "t", 2, 50, 80);
  EXPECT_EQ(violated(), Guarantees{Guarantee::OneOwner});
}

TEST_F(SoakHistoryTest, Find_HoldsOverlapTooLong_OneHolder) {
  m_subject.m_serverRecords.m_grants = {
      {"s", 1, false, 0, 100, 1, true, at(0), at(2500)},
      {"t", 1, false, 0, 100, 2, true, at(900), at(3400)},
      {"s", 1, true, 0, 100, 1, true, at(1500), {}}};
  EXPECT_EQ(violated(), Guarantees{Guarantee::OneHolder});
  m_subject.m_serverRecords.m_grants[2].m_at = at(1000); // Within the bound.
  EXPECT_EQ(violated(), Guarantees{});
  m_subject.m_serverRecords.m_grants[1].m_isApplied = false;
  m_subject.m_serverRecords.m_grants[2].m_at = at(2000);
  EXPECT_EQ(violated(), Guarantees{});
}

TEST_F(SoakHistoryTest, Find_RunAfterLeave_LeavingOutWithoutFaults) {
  addRequest("a", 3000, 3050, 200);
  addRun("a", "s", 3010, 3040);
  m_subject.m_leaves.push_back({"s", 0, at(0)});
  EXPECT_EQ(violated(), Guarantees{Guarantee::LeavingOut});
  addFault(FaultKind::StoreDown, 100, 200);
  EXPECT_EQ(violated(), Guarantees{});
}

// An outage of the store that begins when all hosts must know is no excuse.
TEST_F(SoakHistoryTest, Find_ArrivalInEvacuatedZone_EvacuatedOutAfterTheBound) {
  addRequest("a", 5000, 5050, 503).m_isUnsafe = false;
  m_subject.m_zones["s"] = "zone-1";
  m_subject.m_serverRecords.m_arrivals = {
      {"a", "s", 0, at(5010), at(5020), std::nullopt, false}};
  m_subject.m_evacuations = {{"zone-1", at(0), at(9000)}};
  addFault(FaultKind::StoreDown, 2500, 6000);
  EXPECT_EQ(violated(), Guarantees{Guarantee::EvacuatedOut});
  m_subject.m_serverRecords.m_arrivals[0].m_isMisdirected = true;
  EXPECT_EQ(violated(), Guarantees{});
  m_subject.m_serverRecords.m_arrivals[0].m_isMisdirected = false;
  m_subject.m_evacuations[0].m_to = at(5005); // The evacuation has ended.
  EXPECT_EQ(violated(), Guarantees{});
  m_subject.m_evacuations[0] = {"zone-1", at(20), at(9000)}; // Within 5 s.
  EXPECT_EQ(violated(), Guarantees{});
}

TEST_F(SoakHistoryTest, Find_OlderConfigurationAgain_NoRevert) {
  addRequest("a", 0, 50, 200).m_probedVersion = 4;
  addRun("a", "s", 10, 40);
  addRequest("b", 400, 450, 404).m_probedVersion = 3;
  EXPECT_EQ(violated(), Guarantees{Guarantee::NoRevert});
  m_subject.m_requests[1].m_hostIncarnation = 2; // Another process.
  EXPECT_EQ(violated(), Guarantees{});
}

TEST_F(SoakHistoryTest, Find_NotFoundAfterBound_InForce) {
  addRequest("a", 2500, 2550, 404).m_probedVersion = 4;
  m_subject.m_versions.push_back({4, at(0)});
  EXPECT_EQ(violated(), Guarantees{Guarantee::InForce});
  m_subject.m_versions[0].m_at = at(600);
  EXPECT_EQ(violated(), Guarantees{});
}

TEST_F(SoakHistoryTest, Find_CutAtPlannedStop_NothingCut) {
  addRequest("a", 0, 50, 0);
  addRun("a", "s", 10, 40);
  addFault(FaultKind::HostStop, 5, 3000);
  EXPECT_EQ(violated(), Guarantees{Guarantee::NothingCut});
  addFault(FaultKind::ServerKill, 20, 30);
  EXPECT_EQ(violated(), Guarantees{});
}

TEST_F(SoakHistoryTest, Find_RequestCrossesAClose_NoViolation) {
  addRequest("a", 0, 5, 0);
  addFault(FaultKind::HostStop, 0, 3000);
  EXPECT_EQ(violated(), Guarantees{});
}

TEST_F(SoakHistoryTest, Find_MoreThanTheLimit_WithinLimitWithoutFaults) {
  m_subject.m_serverRecords.m_limits.push_back({"s", 0, at(0), 1.0});
  for (std::int64_t At = 0; At < 6000; At += 100) {
    const std::string Id = std::to_string(At);
    addRequest(Id, At, At, 200);
    m_subject.m_serverRecords.m_arrivals.push_back(
        {Id, "s", 0, at(At), at(At), 1.0});
    addRun(Id, "s", At, At);
  }
  EXPECT_EQ(violated(), Guarantees{Guarantee::WithinLimit});
  addFault(FaultKind::HostStoreReset, 0, 6000);
  EXPECT_EQ(violated(), Guarantees{Guarantee::WithinLimit});
  addFault(FaultKind::HostPause, 0, 4000);
  EXPECT_EQ(violated(), Guarantees{});
}

TEST_F(SoakHistoryTest, ServedShare_From_OnlyLaterRequestsCount) {
  addRequest("a", 0, 50, 503);
  addRequest("b", 100, 150, 200);
  EXPECT_DOUBLE_EQ(servedShare(m_subject, at(0)), 0.5);
  EXPECT_DOUBLE_EQ(servedShare(m_subject, at(60)), 1.0);
  EXPECT_DOUBLE_EQ(servedShare(m_subject, at(600)), 1.0);
}

} // namespace
} // namespace tamarackdrum::soak
