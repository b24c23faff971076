#include "tamarackdrum/gateway/feed-tree.h"

#include <gtest/gtest.h>

namespace tamarackdrum::gateway {
namespace {

/// A small host among others; the large ones have names from "large-0" on.
class FeedTreeTest : public testing::Test {
protected:
  static HostInfo makeHost(const std::string &Name, const std::string &Zone,
                           unsigned Weight) {
    std::string Ip("10.0.0.");
    Ip += Name;
    return {Name, Ip, Zone, 1000, Weight};
  }

  void hear(const std::string &Name, const std::string &Zone,
            unsigned Weight = 10, std::uint32_t StoreLostMs = 0,
            std::uint64_t ConfigVersion = 1) {
    Heartbeat Beat;
    Beat.m_host = makeHost(Name, Zone, Weight);
    Beat.m_storeLostMs = StoreLostMs;
    Beat.m_configVersion = ConfigVersion;
    m_subject.recordHeartbeat(Beat, m_now);
  }

  void addSmall(int Count) {
    for (int I = 0; I < Count; ++I) {
      std::string Name("small-");
      Name += std::to_string(I);
      hear(Name, "zone-a");
    }
  }

  std::string reader() const {
    return selectReader(m_subject, FeedHostState{false, true}, m_now);
  }

  FeedSource source(const std::string &Reader) const {
    return selectFeedSource(m_subject, Reader, FeedTreePolicy{}, m_now);
  }

  Roster m_subject{RosterPolicy{}, makeHost("self", "zone-a", 10)};
  TimePoint m_now{std::chrono::seconds(100)};
};

TEST_F(FeedTreeTest, Reader_AnchorLostTheStore_IsTheNext) {
  hear("large-0", "zone-a", 50);
  EXPECT_EQ(reader(), "large-0");
  hear("large-0", "zone-a", 50, 700);
  hear("large-1", "zone-b", 50);
  EXPECT_EQ(reader(), "large-1");
  hear("large-1", "zone-b", 50, 700);
  EXPECT_EQ(reader(), "");
}

// A process that has just started was made the reader and told nothing until
// it had read everything.
TEST_F(FeedTreeTest, Reader_AnchorHasJustStarted_IsAnother) {
  hear("large-0", "zone-a", 50, 0, 0);
  hear("large-1", "zone-b", 50);
  EXPECT_EQ(reader(), "large-1");
}

TEST_F(FeedTreeTest, Source_SmallZone_IsTheReader) {
  hear("large-0", "zone-a", 50);
  hear("large-1", "zone-b", 50);
  EXPECT_EQ(source("large-1"), (FeedSource{"large-1", false}));
}

// Load pattern: hundreds of hosts; one copy is to cross the zone's boundary.
TEST_F(FeedTreeTest, Source_LargeZone_IsItsRelay) {
  addSmall(10);
  hear("large-0", "zone-a", 50);
  hear("large-1", "zone-b", 50);
  EXPECT_EQ(source("large-1"), (FeedSource{"large-0", true}));
}

TEST_F(FeedTreeTest, Source_ReaderIsOfTheZone_IsTheReader) {
  addSmall(10);
  hear("large-0", "zone-a", 50);
  EXPECT_EQ(source("large-0"), (FeedSource{"large-0", false}));
}

TEST_F(FeedTreeTest, Source_RelayIsSilent_IsTheNextRelay) {
  addSmall(10);
  hear("large-0", "zone-a", 50);
  hear("large-1", "zone-b", 50);
  hear("large-2", "zone-a", 50);
  const std::string First = source("large-1").m_host;
  m_subject.markUnreachable(First);
  const FeedSource Next = source("large-1");
  EXPECT_TRUE(Next.m_isRelay);
  EXPECT_NE(Next.m_host, First);
  m_subject.markUnreachable(Next.m_host);
  EXPECT_EQ(source("large-1"), (FeedSource{"large-1", false}));
}

TEST_F(FeedTreeTest, Source_HostIsARelay_IsTheReader) {
  Roster Large(RosterPolicy{}, makeHost("large-9", "zone-a", 50));
  Heartbeat Beat;
  Beat.m_configVersion = 1;
  for (int I = 0; I < 20; ++I) {
    Beat.m_host = makeHost("small-" + std::to_string(I), "zone-a", 10);
    Large.recordHeartbeat(Beat, m_now);
  }
  Beat.m_host = makeHost("large-1", "zone-b", 50);
  Large.recordHeartbeat(Beat, m_now);
  EXPECT_EQ(selectFeedSource(Large, "large-1", FeedTreePolicy{}, m_now),
            (FeedSource{"large-1", false}));
}

TEST_F(FeedTreeTest, Source_NobodyReads_IsNobody) {
  EXPECT_EQ(source(""), FeedSource{});
  EXPECT_EQ(source("self"), FeedSource{});
}

} // namespace
} // namespace tamarackdrum::gateway
