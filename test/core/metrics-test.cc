#include "tamarackdrum/metrics.h"

#include <gmock/gmock.h>

namespace tamarackdrum {
namespace {

using testing::HasSubstr;
using testing::Not;

constexpr std::int64_t Now = 1000000;

/// A view with the class "stock" (latency target 100 ms) and its server.
View stockView(Generation Number, Epoch Owned) {
  View Out;
  Out.m_generation = Number;
  ClassTarget Stock;
  Stock.m_name = "stock";
  Stock.m_keyed = true;
  Out.m_classes.push_back(Stock);
  Out.m_servers.push_back({"stock-0", "stock", "127.0.0.1:1"});
  Out.m_assignments.push_back({"stock", {{"stock-0", Owned, 1}}, {}});
  return Out;
}

class MetricsTest : public testing::Test {
protected:
  MetricsTest() : m_metrics("entry-1", Now) {
    m_metrics.recordView(std::make_shared<const View>(stockView(1, 1)), Now);
  }

  void call(std::string_view WorkClass, CallOutcome Outcome,
            std::string_view Reason, Millis Latency, std::int64_t End = Now) {
    m_metrics.record({WorkClass, Outcome, Reason, Latency, End});
  }

  Metrics m_metrics;
};

TEST_F(MetricsTest, Record_CallsOfOneBucket_AreCountedTogether) {
  call("stock", CallOutcome::Answered, "", Millis(5));
  call("stock", CallOutcome::Answered, "", Millis(500), Now + 99);
  call("stock", CallOutcome::Unknown, "timed-out", Millis(800), Now + 100);
  const std::vector<CallBucket> Expected = {{10000, 2, 2, 1}, {10001, 1, 0, 0}};
  EXPECT_EQ(m_metrics.window(Now).m_calls["stock"], Expected);
  EXPECT_EQ(m_metrics.window(Now + 100).m_calls["stock"].size(), 1U);
}

TEST_F(MetricsTest, Record_LateSample_FallsIntoItsOwnBucket) {
  call("stock", CallOutcome::Answered, "", Millis(5), Now + 300);
  call("stock", CallOutcome::Answered, "", Millis(5), Now);
  call("stock", CallOutcome::Answered, "", Millis(5), Now + 300);
  const std::vector<CallBucket> Expected = {{10000, 1, 1, 1}, {10003, 2, 2, 2}};
  EXPECT_EQ(m_metrics.window(0).m_calls["stock"], Expected);
}

TEST_F(MetricsTest, Record_FaultOfTheCaller_IsCountedButNotInTheWindow) {
  call("stock", CallOutcome::NotRun, "key-missing", Millis(1));
  EXPECT_TRUE(m_metrics.window(0).m_calls["stock"].empty());
  const std::vector<OutcomeCount> Expected = {
      {"stock", CallOutcome::NotRun, "key-missing", 1}};
  EXPECT_EQ(m_metrics.outcomes(), Expected);
}

TEST_F(MetricsTest, Record_UnknownClasses_ShareOneName) {
  call("colour", CallOutcome::NotRun, "unknown-class", Millis(1));
  call("shape", CallOutcome::NotRun, "unknown-class", Millis(1));
  const std::vector<OutcomeCount> Expected = {
      {"undeclared", CallOutcome::NotRun, "unknown-class", 2}};
  EXPECT_EQ(m_metrics.outcomes(), Expected);
}

TEST_F(MetricsTest, RecordDispatches_CounterThatRestarts_CountsItsNewValue) {
  m_metrics.recordDispatches("stock-0", 5, Now);
  m_metrics.recordDispatches("stock-0", 7, Now + 1);
  m_metrics.recordDispatches("stock-0", 3, Now + 2);
  const std::vector<DispatchSample> Expected = {
      {"stock-0", Now, 5}, {"stock-0", Now + 1, 2}, {"stock-0", Now + 2, 3}};
  EXPECT_EQ(m_metrics.window(0).m_dispatches, Expected);
}

TEST_F(MetricsTest, RecordView_RecalledServer_IsOneEvent) {
  View Next = stockView(2, 3);
  Next.m_servers[0].m_state = ServerState::Recalled;
  const ViewPtr Shared = std::make_shared<const View>(Next);
  m_metrics.recordView(Shared, Now + 10);
  m_metrics.recordView(Shared, Now + 20);
  const ProcessRecord Window = m_metrics.window(0);
  const std::vector<TimelineEvent> Events = {
      {Now + 10, EventKind::ServerChanged, "stock-0",
       "(stock) serving -> recalled", 2}};
  EXPECT_EQ(Window.m_events, Events);
  EXPECT_TRUE(Window.m_moves.empty());
}

TEST_F(MetricsTest, RecordView_ChangedOwner_IsOneMove) {
  View Next = stockView(4, 2);
  Next.m_assignments[0].m_slices[0].m_owner = "stock-1";
  m_metrics.recordView(std::make_shared<const View>(Next), Now + 10);
  const std::vector<MoveSample> Expected = {{"stock", 1, 4, Now + 10, 1}};
  EXPECT_EQ(m_metrics.window(0).m_moves, Expected);
}

TEST_F(MetricsTest, RecordLease_FirstLack_IsNoLoss) {
  m_metrics.recordLease(false, Now);
  EXPECT_TRUE(m_metrics.window(0).m_events.empty());
}

TEST_F(MetricsTest, Exposition_HasCumulativeBucketsAndCounters) {
  call("stock", CallOutcome::Answered, "", Millis(5));
  call("stock", CallOutcome::Answered, "", Millis(20000));
  const std::string Text =
      toPrometheusText(m_metrics, "entry-1", {true, 7, 6, 1, 2});
  EXPECT_THAT(Text, HasSubstr("tamarack_requests_total{process=\"entry-1\","
                              "class=\"stock\",outcome=\"answered\","
                              "reason=\"\"} 2\n"));
  EXPECT_THAT(Text, HasSubstr("le=\"10\"} 1\n"));
  EXPECT_THAT(Text, HasSubstr("le=\"+Inf\"} 2\n"));
  EXPECT_THAT(Text, HasSubstr("tamarack_view_generation{process=\"entry-1\"} "
                              "7\n"));
  EXPECT_THAT(Text, Not(HasSubstr("outcome=\"unknown\"")));
}

} // namespace
} // namespace tamarackdrum
