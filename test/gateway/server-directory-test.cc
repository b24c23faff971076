#include "tamarackdrum/gateway/server-directory.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace tamarackdrum::gateway {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

class ServerDirectoryTest : public testing::Test {
protected:
  static ServerRow makeRow(std::string Id, std::int64_t StartMs = 1000,
                           std::uint64_t Report = 1) {
    ServerRow Out{Id, true, {}};
    Out.m_entry.m_id = Id;
    Out.m_entry.m_service = "cart";
    Out.m_entry.m_address = "10.0.0.1:80";
    Out.m_entry.m_startMs = StartMs;
    Out.m_entry.m_reportNumber = Report;
    return Out;
  }

  DirectoryChange list(const std::vector<ServerRow> &Rows,
                       std::uint64_t Era = 0) {
    return m_subject.applyListing(Rows, m_now, m_now, Era);
  }

  bool has(const std::string &Id) const {
    return m_subject.entries().count(Id) > 0;
  }

  ServerDirectory m_subject;
  TimePoint m_now{std::chrono::seconds(100)};
};

TEST_F(ServerDirectoryTest, ApplyListing_ServerMissing_IsRemovedAtOnce) {
  list({makeRow("a"), makeRow("b")});
  m_now += Millis(700);
  EXPECT_THAT(list({makeRow("a")}).m_removed, ElementsAre("b"));
}

TEST_F(ServerDirectoryTest, ApplyListing_UnreadableRow_LastStateIsKept) {
  list({makeRow("a")});
  m_now += Millis(700);
  EXPECT_TRUE(list({ServerRow{"a", false, {}}}).isEmpty());
  EXPECT_TRUE(has("a"));
}

TEST_F(ServerDirectoryTest,
       ApplyListing_UnreadableRowOfUnknownServer_AddsNothing) {
  EXPECT_TRUE(list({ServerRow{"x", false, {}}}).isEmpty());
  EXPECT_FALSE(has("x"));
}

TEST_F(ServerDirectoryTest, ApplyListing_OlderReport_IsIgnored) {
  ServerRow Draining = makeRow("a", 1000, 9);
  Draining.m_entry.m_isDraining = true;
  list({Draining});
  list({makeRow("a", 1000, 8)});
  EXPECT_TRUE(m_subject.entries().at("a").m_isDraining);
}

TEST_F(ServerDirectoryTest, ApplyListing_LaterStart_IsRestarted) {
  list({makeRow("a", 1000, 50)});
  EXPECT_THAT(list({makeRow("a", 2000, 1)}).m_restarted, ElementsAre("a"));
}

TEST_F(ServerDirectoryTest, ApplyListing_AfterOutage_MissingServersHaveAGrace) {
  list({makeRow("a"), makeRow("b")});
  m_subject.recordReadFailure();
  m_now += Millis(8000);
  EXPECT_THAT(list({makeRow("a")}).m_removed, IsEmpty());
  m_now += Millis(2100);
  EXPECT_THAT(m_subject.removeExpired(m_now).m_removed, IsEmpty());
  m_now += Millis(200);
  EXPECT_THAT(m_subject.removeExpired(m_now).m_removed, ElementsAre("b"));
}

TEST_F(ServerDirectoryTest, ApplyListing_ServerBackWithinGrace_Stays) {
  list({makeRow("b")});
  m_subject.recordReadFailure();
  m_now += Millis(8000);
  list({});
  m_now += Millis(1500);
  list({makeRow("b")});
  m_now += Millis(5000);
  EXPECT_TRUE(m_subject.removeExpired(m_now).isEmpty());
  EXPECT_TRUE(has("b"));
}

TEST_F(ServerDirectoryTest,
       ApplyListing_DrainingServerMissingAfterOutage_IsRemoved) {
  ServerRow Draining = makeRow("b");
  Draining.m_entry.m_isDraining = true;
  list({Draining});
  m_subject.recordReadFailure();
  m_now += Millis(8000);
  EXPECT_THAT(list({}).m_removed, ElementsAre("b"));
}

// Only this host cannot reach the store, and a server leaves meanwhile. During
// the grace the host would still send requests to that server.
TEST_F(ServerDirectoryTest,
       EndLocalOutageGrace_StoreServedOthers_ServerIsRemoved) {
  list({makeRow("a"), makeRow("b")});
  m_subject.recordReadFailure();
  m_now += Millis(8000);
  list({makeRow("a")});
  EXPECT_THAT(m_subject.endLocalOutageGrace(Millis(7000), m_now).m_removed,
              IsEmpty());
  EXPECT_THAT(m_subject.endLocalOutageGrace(Millis(9000), m_now).m_removed,
              ElementsAre("b"));
}

// A server has left when the store is restored from a copy that still lists it.
// Its address may belong to another server by then.
TEST_F(ServerDirectoryTest,
       ApplyListing_RestoredCopyListsRemovedServer_IsNotAdded) {
  list({makeRow("a"), makeRow("b", 1000, 7)}, 1);
  m_now += Millis(700);
  list({makeRow("a")}, 1);
  for (int I = 0; I < 5; ++I) {
    m_now += Millis(700);
    EXPECT_TRUE(list({makeRow("a"), makeRow("b", 1000, 6)}, 2).isEmpty());
  }
  m_now += Millis(700);
  list({makeRow("a")}, 2);
  EXPECT_FALSE(has("b"));
}

TEST_F(ServerDirectoryTest,
       ApplyListing_RemovedServerStaysListedInNewEra_IsAdded) {
  list({makeRow("a"), makeRow("b")}, 1);
  m_now += Millis(700);
  list({makeRow("a")}, 1);
  const TimePoint Back = m_now + Millis(700);
  while (m_now < Back + DirectoryPolicy{}.m_relistedDelay) {
    m_now += Millis(700);
    list({makeRow("a"), makeRow("b")}, 2);
  }
  EXPECT_TRUE(has("b"));
}

TEST_F(ServerDirectoryTest, ApplyListing_RestoredCopyLacksNewServer_HasAGrace) {
  list({makeRow("a"), makeRow("b")}, 1);
  m_now += Millis(700);
  EXPECT_TRUE(list({makeRow("a")}, 2).isEmpty());
  EXPECT_TRUE(m_subject.endLocalOutageGrace(Millis(60000), m_now).isEmpty());
  m_now += Millis(1400);
  list({makeRow("a"), makeRow("b")}, 2);
  m_now += Millis(2000);
  EXPECT_TRUE(m_subject.removeExpired(m_now).isEmpty());
  EXPECT_TRUE(has("b"));
}

TEST_F(ServerDirectoryTest, ApplyListing_EarlierEra_IsIgnored) {
  list({makeRow("a")}, 2);
  m_now += Millis(100);
  EXPECT_TRUE(list({}, 1).isEmpty());
  EXPECT_TRUE(has("a"));
}

TEST_F(ServerDirectoryTest,
       ApplyListing_DrainingInstanceIsReadyAgain_StaysDraining) {
  ServerRow Draining = makeRow("a", 1000, 5);
  Draining.m_entry.m_isDraining = true;
  list({Draining});
  list({makeRow("a", 1000, 9)});
  EXPECT_TRUE(m_subject.entries().at("a").m_isDraining);
  list({makeRow("a", 2000, 1)});
  EXPECT_FALSE(m_subject.entries().at("a").m_isDraining);
}

TEST_F(ServerDirectoryTest, MarkLeaving_InstanceIsListedAsReady_StaysDraining) {
  list({makeRow("a")});
  EXPECT_TRUE(m_subject.markLeaving("a", 1000, m_now));
  EXPECT_FALSE(m_subject.markLeaving("a", 1000, m_now));
  EXPECT_TRUE(list({makeRow("a", 1000, 8)}).isEmpty());
  EXPECT_TRUE(m_subject.entries().at("a").m_isDraining);
}

TEST_F(ServerDirectoryTest, MarkLeaving_EarlierInstance_LaterOneIsUsed) {
  list({makeRow("a", 2000)});
  EXPECT_FALSE(m_subject.markLeaving("a", 1000, m_now));
  EXPECT_FALSE(m_subject.entries().at("a").m_isDraining);
}

TEST_F(ServerDirectoryTest, MarkLeaving_NotListedYet_IsDrainingWhenListed) {
  list({});
  EXPECT_TRUE(m_subject.markLeaving("a", 1000, m_now));
  list({makeRow("a")});
  EXPECT_TRUE(m_subject.entries().at("a").m_isDraining);
}

TEST_F(ServerDirectoryTest, AddFromPeer_ListingApplied_AddsNothing) {
  list({makeRow("a")});
  EXPECT_TRUE(m_subject.addFromPeer({makeRow("b").m_entry}).isEmpty());
}

} // namespace
} // namespace tamarackdrum::gateway
