#include "tamarackdrum/gateway/feed-tree.h"

#include <gtest/gtest.h>

namespace tamarackdrum::gateway {
namespace {

/// The subject is a small host. Larger hosts are named "large-0" and so on.
class FeedTreeTest : public testing::Test {
protected:
  static HostInfo makeHost(const std::string &Name, const std::string &Zone,
                           unsigned CpuShare) {
    std::string Ip("10.0.0.");
    Ip += Name;
    return {Name, Ip, Zone, 1000, CpuShare};
  }

  void addHeartbeat(const std::string &Name, const std::string &Zone,
                    unsigned CpuShare = 10, std::uint32_t StoreLostMs = 0,
                    std::uint64_t ConfigVersion = 1) {
    Heartbeat Beat;
    Beat.m_host = makeHost(Name, Zone, CpuShare);
    Beat.m_storeLostMs = StoreLostMs;
    Beat.m_configVersion = ConfigVersion;
    m_subject.recordHeartbeat(Beat, m_now);
  }

  void addSmall(int Count) {
    for (int I = 0; I < Count; ++I) {
      std::string Name("small-");
      Name += std::to_string(I);
      addHeartbeat(Name, "zone-a");
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

TEST_F(FeedTreeTest, Reader_CandidateLostStore_IsNextCandidate) {
  addHeartbeat("large-0", "zone-a", 50);
  EXPECT_EQ(reader(), "large-0");
  addHeartbeat("large-0", "zone-a", 50, 700);
  addHeartbeat("large-1", "zone-b", 50);
  EXPECT_EQ(reader(), "large-1");
  addHeartbeat("large-1", "zone-b", 50, 700);
  EXPECT_EQ(reader(), "");
}

// As the reader, a process that has just started would send nothing until it
// has read everything.
TEST_F(FeedTreeTest, Reader_CandidateHasNoConfiguration_IsAnother) {
  addHeartbeat("large-0", "zone-a", 50, 0, 0);
  addHeartbeat("large-1", "zone-b", 50);
  EXPECT_EQ(reader(), "large-1");
}

TEST_F(FeedTreeTest, Source_SmallZone_IsTheReader) {
  addHeartbeat("large-0", "zone-a", 50);
  addHeartbeat("large-1", "zone-b", 50);
  EXPECT_EQ(source("large-1"), (FeedSource{"large-1", false}));
}

// Of the data for hundreds of hosts, only one copy should cross the boundary
// of the zone.
TEST_F(FeedTreeTest, Source_LargeZone_IsItsRelay) {
  addSmall(10);
  addHeartbeat("large-0", "zone-a", 50);
  addHeartbeat("large-1", "zone-b", 50);
  EXPECT_EQ(source("large-1"), (FeedSource{"large-0", true}));
}

TEST_F(FeedTreeTest, Source_ReaderInOwnZone_IsTheReader) {
  addSmall(10);
  addHeartbeat("large-0", "zone-a", 50);
  EXPECT_EQ(source("large-0"), (FeedSource{"large-0", false}));
}

TEST_F(FeedTreeTest, Source_RelayUnreachable_IsTheNextRelay) {
  addSmall(10);
  addHeartbeat("large-0", "zone-a", 50);
  addHeartbeat("large-1", "zone-b", 50);
  addHeartbeat("large-2", "zone-a", 50);
  const std::string First = source("large-1").m_host;
  m_subject.markUnreachable(First);
  const FeedSource Next = source("large-1");
  EXPECT_TRUE(Next.m_isRelay);
  EXPECT_NE(Next.m_host, First);
  m_subject.markUnreachable(Next.m_host);
  EXPECT_EQ(source("large-1"), (FeedSource{"large-1", false}));
}

TEST_F(FeedTreeTest, Source_HostIsRelay_IsTheReader) {
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

TEST_F(FeedTreeTest, Source_NoOtherReader_IsNone) {
  EXPECT_EQ(source(""), FeedSource{});
  EXPECT_EQ(source("self"), FeedSource{});
}

} // namespace
} // namespace tamarackdrum::gateway
