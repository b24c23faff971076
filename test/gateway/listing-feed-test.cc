#include "tamarackdrum/gateway/listing-feed.h"

#include <gtest/gtest.h>

namespace tamarackdrum::gateway {
namespace {

class ListingFeedTest : public testing::Test {
protected:
  static ServerRow makeRow(const std::string &Id, bool IsDraining = false,
                           std::uint64_t Report = 1) {
    ServerRow Out{Id, true, {}};
    Out.m_entry.m_id = Id;
    Out.m_entry.m_isDraining = IsDraining;
    Out.m_entry.m_reportNumber = Report;
    return Out;
  }

  ListingSource m_source{1700000000000};
  ListingFollower m_follower;
  std::vector<ServerRow> m_rows{makeRow("a"), makeRow("b"), makeRow("c")};
};

// With 3,000 servers and 300 hosts, a read takes more than half a second.
TEST_F(ListingFeedTest, IsListingDue_ReadTakesLong_OnlyTheReaderReads) {
  const TimePoint RequestedAt(std::chrono::seconds(100));
  const ListingTimes Last{RequestedAt, RequestedAt + Millis(600), 0};
  const auto IsDue = [&Last](bool IsReader, TimePoint Now) {
    return isListingDue(Last, IsReader, Millis(700), Millis(1100), Now);
  };
  EXPECT_TRUE(IsDue(true, RequestedAt + Millis(700)));
  EXPECT_FALSE(IsDue(false, RequestedAt + Millis(1400)));
  EXPECT_TRUE(IsDue(false, RequestedAt + Millis(1700)));
}

TEST_F(ListingFeedTest, Update_FirstRead_ContainsAllRows) {
  const ListingMessage Result = m_source.update(m_rows);
  EXPECT_EQ(Result.m_baseVersion, 0U);
  EXPECT_TRUE(m_follower.apply(Result));
  EXPECT_EQ(m_follower.rows(), m_rows);
}

TEST_F(ListingFeedTest, Update_OneRowChangedOneRemoved_ContainsOnlyThese) {
  m_follower.apply(m_source.update(m_rows));
  const std::vector<ServerRow> Next{makeRow("a"), makeRow("b", true)};
  const ListingMessage Result = m_source.update(Next);
  EXPECT_EQ(Result.m_rows, (std::vector<ServerRow>{makeRow("b", true)}));
  EXPECT_EQ(Result.m_removed, std::vector<std::string>{"c"});
  EXPECT_TRUE(m_follower.apply(Result));
  EXPECT_EQ(m_follower.rows(), Next);
}

// A server may become cold again before it is warm: followers that are not told
// count it as warm too early.
TEST_F(ListingFeedTest, Update_ColdTimeGrows_ContainsTheRow) {
  for (const auto &[Left, IsSent] : std::vector<std::pair<Millis, bool>>{
           {Millis(5000), true}, {Millis(2000), false}, {Millis(4000), true}}) {
    m_rows[0].m_entry.m_warmUpLeft = Left;
    EXPECT_EQ(m_source.update(m_rows).m_hasChanges, IsSent);
  }
}

TEST_F(ListingFeedTest, Update_OnlyReportNumbersDiffer_HasNoChanges) {
  m_follower.apply(m_source.update(m_rows));
  const std::vector<ServerRow> Next{makeRow("a", false, 9), makeRow("b"),
                                    makeRow("c")};
  const ListingMessage Result = m_source.update(Next);
  EXPECT_FALSE(Result.m_hasChanges);
  EXPECT_TRUE(m_follower.apply(Result));
  EXPECT_EQ(m_follower.rows(), m_rows);
}

TEST_F(ListingFeedTest, Apply_MessageMissed_NeedsSnapshot) {
  m_follower.apply(m_source.update(m_rows));
  m_source.update({makeRow("a")});
  const ListingMessage Result = m_source.update({makeRow("a"), makeRow("d")});
  EXPECT_FALSE(m_follower.apply(Result));
  const std::vector<ServerRow> All{makeRow("a"), makeRow("d")};
  EXPECT_TRUE(m_follower.apply(m_source.snapshot()));
  EXPECT_EQ(m_follower.rows(), All);
}

TEST_F(ListingFeedTest, Apply_NoChangesToUnknownVersion_NeedsSnapshot) {
  m_source.update(m_rows);
  EXPECT_FALSE(m_follower.apply(m_source.update(m_rows)));
}

// A relay that was paused sends a listing from before the pause. If a follower
// applied it, servers that have left meanwhile would get requests again.
TEST_F(ListingFeedTest, IsListingCurrent_ReadBeforeTheLast_IsFalse) {
  const TimePoint Now(std::chrono::seconds(100));
  const ListingTimes Last{Now, Now, {1, 5000}};
  EXPECT_FALSE(isListingCurrent(Last, {1, 4999}));
  EXPECT_TRUE(isListingCurrent(Last, {1, 5000}));
  EXPECT_TRUE(isListingCurrent(Last, {1, 5700}));
}

TEST_F(ListingFeedTest, IsListingCurrent_OtherEra_LaterEraIsCurrent) {
  const TimePoint Now(std::chrono::seconds(100));
  const ListingTimes Last{Now, Now, {2, 5000}};
  EXPECT_FALSE(isListingCurrent(Last, {1, 6000}));
  EXPECT_TRUE(isListingCurrent(Last, {3, 100}));
}

} // namespace
} // namespace tamarackdrum::gateway
