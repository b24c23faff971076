#include "tamarackdrum/slo-report.h"

#include "tamarackdrum/report-json.h"
#include "tamarackdrum/report-page.h"

#include <gmock/gmock.h>
#include <rapidcheck/gtest.h>

namespace tamarackdrum {
namespace {

using testing::HasSubstr;

constexpr std::int64_t Start = 1000000;
constexpr ReportWindow Window{Start, Start + 10000};

View twoServerView() {
  View Out;
  Out.m_generation = 3;
  ClassTarget Stock;
  Stock.m_name = "stock";
  Stock.m_availability = 0.99;
  Out.m_classes.push_back(Stock);
  Out.m_servers.push_back({"stock-0", "stock", "127.0.0.1:1"});
  Out.m_servers.push_back({"stock-1", "stock", "127.0.0.1:2"});
  ServerRecord Recalled{"stock-2", "stock", "127.0.0.1:3"};
  Recalled.m_state = ServerState::Recalled;
  Out.m_servers.push_back(Recalled);
  return Out;
}

/// A session that two processes recorded, with known measures.
class SloReportTest : public testing::Test {
protected:
  SloReportTest() {
    m_first.m_process = "entry-0";
    m_first.m_startUnixMillis = Start - 1;
    // Bucket 10001 is answered at the other process; 10002 at none.
    m_first.m_calls["stock"] = {
        {10000, 90, 90, 80}, {10001, 5, 0, 0}, {10002, 3, 0, 0}};
    m_first.m_dispatches = {{"stock-0", Start, 60}, {"stock-2", Start, 500}};
    m_first.m_moves = {{"stock", 1, 2, Start + 50, 10}};
    m_first.m_events = {{Start + 60, EventKind::ServerChanged, "stock-2",
                         "(stock) serving -> recalled", 3}};
    m_second.m_process = "entry-1";
    m_second.m_startUnixMillis = Start + 10;
    m_second.m_calls["stock"] = {{10001, 1, 1, 1}, {10003, 1, 1, 1}};
    m_second.m_dispatches = {{"stock-1", Start + 1, 20},
                             {"stock-1", Start - 1, 1000}};
    // This process did not see generation 3, and saw the others later.
    m_second.m_moves = {{"stock", 1, 2, Start + 70, 10},
                        {"stock", 2, 4, Start + 80, 1}};
    m_second.m_events = {{Start + 55, EventKind::ServerChanged, "stock-2",
                          "(stock) serving -> recalled", 3},
                         {Start + 90, EventKind::LeaseLost, "entry-1", "", 3}};
  }

  SloReport report() const {
    return makeReport(twoServerView(), {m_first, m_second},
                      {{"entry-2", "unreachable"}}, Window);
  }

  ProcessRecord m_first;
  ProcessRecord m_second;
};

TEST_F(SloReportTest, Unavailable_CountsBucketsThatNoProcessAnswered) {
  EXPECT_EQ(report().m_classes[0].m_unavailable, Millis(100));
}

TEST_F(SloReportTest, Imbalance_IsLargestOverMeanOfServersThatTakeWork) {
  // 60 and 20 dispatches: mean 40. The recalled server does not count.
  EXPECT_DOUBLE_EQ(*report().m_classes[0].m_imbalance, 1.5);
}

TEST_F(SloReportTest, Imbalance_WithoutDispatches_IsNothing) {
  EXPECT_EQ(imbalance({}, twoServerView(), "stock", Window), std::nullopt);
}

TEST_F(SloReportTest, Churn_CountsEachGenerationOnce) {
  const SloReport Report = report();
  EXPECT_EQ(Report.m_classes[0].m_churn, 11U);
  const std::vector<MoveEvent> Expected = {{Start + 50, "stock", 2, 10},
                                           {Start + 80, "stock", 4, 1}};
  EXPECT_EQ(Report.m_moves, Expected);
}

TEST_F(SloReportTest, Churn_PrefersTheProcessThatSawEachGeneration) {
  m_first.m_moves.push_back({"stock", 2, 3, Start + 75, 4});
  m_first.m_moves.push_back({"stock", 3, 4, Start + 78, 5});
  EXPECT_EQ(report().m_classes[0].m_churn, 19U);
}

TEST_F(SloReportTest, Burn_IsShareNotAnsweredOverBudget) {
  // 8 of 100 calls were not answered; the budget is 1 in 100.
  const ClassReport Class = report().m_classes[0];
  EXPECT_EQ(Class.m_calls, 100U);
  EXPECT_EQ(Class.m_good, 82U);
  EXPECT_NEAR(Class.m_fastBurn, 8.0, 1e-9);
  EXPECT_NEAR(*Class.m_hoursLeft, 720.0 / 8, 1e-6);
}

TEST_F(SloReportTest, Burn_FastWindow_LeavesOutOlderCalls) {
  m_first.m_calls["stock"] = {{Window.m_to / 100 - 3001, 50, 0, 0},
                              {Window.m_to / 100 - 3000, 50, 50, 50}};
  const ClassReport Class = report().m_classes[0];
  EXPECT_EQ(Class.m_fastBurn, 0.0);
  EXPECT_GT(Class.m_slowBurn, 40.0);
}

TEST_F(SloReportTest, Events_OfOneGeneration_AreListedOnce) {
  const SloReport Report = report();
  ASSERT_EQ(Report.m_events.size(), 2U);
  EXPECT_EQ(Report.m_events[0].m_unixMillis, Start + 55);
  EXPECT_EQ(Report.m_events[1].m_kind, EventKind::LeaseLost);
}

TEST_F(SloReportTest, Text_StatesWhatCouldNotBeReached) {
  const std::string Text = toText(report());
  EXPECT_THAT(Text, HasSubstr("NOT REACHED: entry-2 (unreachable)"));
  EXPECT_THAT(Text, HasSubstr("partial: entry-1"));
}

TEST_F(SloReportTest, Html_EscapesNamesAndLoadsNothing) {
  m_second.m_events[1].m_subject = "<script>";
  const std::string Page = toHtml(report());
  EXPECT_THAT(Page, HasSubstr("&lt;script&gt; lost its lease"));
  EXPECT_THAT(Page, Not(HasSubstr("<script")));
  EXPECT_THAT(Page, Not(HasSubstr("http")));
}

TEST_F(SloReportTest, Record_ThroughJson_IsTheSame) {
  for (const ProcessRecord &Record : {m_first, m_second})
    EXPECT_EQ(processRecordFromJson(toJson(Record)).value(), Record);
  EXPECT_FALSE(processRecordFromJson(Json::Value("text")));
}

RC_GTEST_FIXTURE_PROP(SloReportTest, Calls_SplitOverProcesses_GiveTheSame,
                      (std::vector<std::pair<bool, bool>> Calls)) {
  // One process that saw everything, against two that shared the calls.
  ProcessRecord Whole;
  ProcessRecord Left;
  ProcessRecord Right;
  for (std::size_t I = 0; I < Calls.size(); ++I) {
    const CallBucket Bucket{static_cast<std::int64_t>(10000 + I % 7), 1,
                            Calls[I].first ? 1U : 0U, 0};
    Whole.m_calls["stock"].push_back(Bucket);
    (Calls[I].second ? Left : Right).m_calls["stock"].push_back(Bucket);
  }
  RC_ASSERT(mergeCalls({Whole}, "stock", Window) ==
            mergeCalls({Left, Right}, "stock", Window));
}

} // namespace
} // namespace tamarackdrum
