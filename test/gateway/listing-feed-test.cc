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
  ListingFollower m_sink;
  std::vector<ServerRow> m_rows{makeRow("a"), makeRow("b"), makeRow("c")};
};

// Load pattern: 3,000 servers on 300 hosts; a read takes over half a second.
TEST_F(ListingFeedTest, IsListingDue_ReadTakesLong_OnlyTheReaderReads) {
  const TimePoint Asked(std::chrono::seconds(100));
  const ListingTimes Last{Asked, Asked + Millis(600), 0};
  const auto IsDue = [&Last](bool IsReader, TimePoint Now) {
    return isListingDue(Last, IsReader, Millis(700), Millis(1100), Now);
  };
  EXPECT_TRUE(IsDue(true, Asked + Millis(700)));
  EXPECT_FALSE(IsDue(false, Asked + Millis(1400)));
  EXPECT_TRUE(IsDue(false, Asked + Millis(1700)));
}

TEST_F(ListingFeedTest, Update_FirstRead_IsWhole) {
  const ListingMessage Result = m_source.update(m_rows);
  EXPECT_EQ(Result.m_baseVersion, 0U);
  EXPECT_TRUE(m_sink.apply(Result));
  EXPECT_EQ(m_sink.rows(), m_rows);
}

TEST_F(ListingFeedTest, Update_OneRowChangedOneGone_NamesJustThese) {
  m_sink.apply(m_source.update(m_rows));
  const std::vector<ServerRow> Next{makeRow("a"), makeRow("b", true)};
  const ListingMessage Result = m_source.update(Next);
  EXPECT_EQ(Result.m_rows, (std::vector<ServerRow>{makeRow("b", true)}));
  EXPECT_EQ(Result.m_removed, std::vector<std::string>{"c"});
  EXPECT_TRUE(m_sink.apply(Result));
  EXPECT_EQ(m_sink.rows(), Next);
}

TEST_F(ListingFeedTest, Update_OnlyReportNumbersDiffer_IsNoNews) {
  m_sink.apply(m_source.update(m_rows));
  const std::vector<ServerRow> Next{makeRow("a", false, 9), makeRow("b"),
                                    makeRow("c")};
  const ListingMessage Result = m_source.update(Next);
  EXPECT_FALSE(Result.m_hasChanges);
  EXPECT_TRUE(m_sink.apply(Result));
  EXPECT_EQ(m_sink.rows(), m_rows);
}

TEST_F(ListingFeedTest, Apply_MessageMissed_AsksForAll) {
  m_sink.apply(m_source.update(m_rows));
  m_source.update({makeRow("a")});
  const ListingMessage Result = m_source.update({makeRow("a"), makeRow("d")});
  EXPECT_FALSE(m_sink.apply(Result));
  const std::vector<ServerRow> Whole{makeRow("a"), makeRow("d")};
  EXPECT_TRUE(m_sink.apply(m_source.snapshot()));
  EXPECT_EQ(m_sink.rows(), Whole);
}

TEST_F(ListingFeedTest, Apply_NoNewsOfAnUnknownVersion_AsksForAll) {
  m_source.update(m_rows);
  EXPECT_FALSE(m_sink.apply(m_source.update(m_rows)));
}

// A relay that stood still told a listing from before its stop as if it were
// new, and servers that had left meanwhile got requests again.
TEST_F(ListingFeedTest, IsListingNew_ReadBeforeTheLastOne_IsNot) {
  const TimePoint Now(std::chrono::seconds(100));
  const ListingTimes Last{Now, Now, {1, 5000}};
  EXPECT_FALSE(isListingCurrent(Last, {1, 4999}));
  EXPECT_TRUE(isListingCurrent(Last, {1, 5000}));
  EXPECT_TRUE(isListingCurrent(Last, {1, 5700}));
}

TEST_F(ListingFeedTest, IsListingNew_OfAnotherEra_TheLaterEraCounts) {
  const TimePoint Now(std::chrono::seconds(100));
  const ListingTimes Last{Now, Now, {2, 5000}};
  EXPECT_FALSE(isListingCurrent(Last, {1, 6000}));
  EXPECT_TRUE(isListingCurrent(Last, {3, 100}));
}

} // namespace
} // namespace tamarackdrum::gateway
