#include "platform/store-client.h"

#include "../gateway/endless-peer.h"
#include "../gateway/one-answer.h"
#include "platform/standin/row-store.h"
#include "platform/standin/wire-encode.h"
#include "tamarackdrum/blocking.h"
#include "tamarackdrum/error.h"
#include "tamarackdrum/worker-context.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fcntl.h>
#include <spdlog/fmt/fmt.h>

namespace tamarackdrum::platform {
namespace {

namespace asio = boost::asio;
using namespace gateway;
using namespace standin;

/// Runs the client and the stand-in of the store on one thread.
class StoreClientTest : public testing::Test {
protected:
  StoreClientTest()
      : m_store(m_context, {asio::ip::address_v4::loopback(), 0}),
        m_log(LogPolicy{}, "test", ::open("/dev/null", O_WRONLY)),
        m_subject("127.0.0.1:" + std::to_string(m_store.address().port()),
                  StorePolicy{}, m_log) {
    m_config.m_version = 1;
  }
  ~StoreClientTest() override { m_context.dropPending(); }

  template <typename T> Result<T> await(asio::awaitable<Result<T>> Task) {
    return runBlocking(m_context, std::move(Task));
  }

  void putConfiguration(std::uint64_t Version) {
    m_config.m_version = Version;
    m_store.put(OperatorTable, ConfigurationKey, encodeConfiguration(m_config));
  }

  static OwnershipRecord makeRecord(std::uint64_t Term) {
    OwnershipRecord Out;
    Out.m_term = Term;
    Out.m_granter = "host";
    Out.m_ranges = {{0, 65535, {"server", 1}, 3, {}, 0}};
    return Out;
  }

  WorkerContext m_context{1};
  RowStore m_store;
  EventLog m_log;
  StoreClient m_subject;
  Configuration m_config;
};

TEST_F(StoreClientTest, ReadServers_Registered_IsDecoded) {
  ServerEntry Entry;
  Entry.m_id = "a";
  Entry.m_service = "shop";
  Entry.m_address = "127.0.0.1:9000";
  Entry.m_zone = "zone";
  Entry.m_startMs = 17;
  Entry.m_reportNumber = 4;
  m_store.put(ServerTable, "a", encodeServer(Entry));
  m_store.put(ServerTable, "b", "not JSON");
  const Result<ServerListing> Read = await(m_subject.readServers());
  ASSERT_TRUE(Read);
  const std::vector<ServerRow> &Rows = Read.value().m_rows;
  ASSERT_EQ(Rows.size(), 2U);
  EXPECT_EQ(Rows[0].m_entry, Entry);
  EXPECT_FALSE(Rows[1].m_isReadable);
}

// An odd entry of another writer must not hide the others or stop the reader.
TEST_F(StoreClientTest, ReadServers_OddEntries_OthersAreFollowed) {
  ServerEntry Entry;
  Entry.m_id = "m";
  Entry.m_service = "shop";
  Entry.m_address = "127.0.0.1:9000";
  Entry.m_zone = "zone";
  Entry.m_startMs = 17;
  const std::string Valid = encodeServer(Entry);
  constexpr std::size_t Depth = 20000;
  std::string Huge = Valid;
  Huge.replace(Huge.find("\"slots\":") + 8, 1, "2147483648");
  std::string Nested(Depth, '[');
  Nested.append(Depth, ']');
  m_store.put(ServerTable, "a", Nested);
  m_store.put(ServerTable, "b", "{\"address\":\"127.0.0.1:99999\"}");
  m_store.put(ServerTable, "c", "\xff\xfe");
  m_store.put(ServerTable, "d", Huge);
  for (const std::uint64_t Count : {1U, 2U}) {
    Entry.m_reportNumber = Count;
    m_store.put(ServerTable, "m", encodeServer(Entry));
    const Result<ServerListing> Read = await(m_subject.readServers());
    ASSERT_TRUE(Read);
    ASSERT_EQ(Read.value().m_rows.size(), 5U);
    for (const ServerRow &Row : Read.value().m_rows)
      EXPECT_EQ(Row.m_isReadable, Row.m_id == "m") << Row.m_id;
    EXPECT_EQ(Read.value().m_rows.back().m_entry.m_reportNumber, Count);
  }
}

TEST_F(StoreClientTest, ReadServers_ManyPages_AllAreRead) {
  for (int I = 0; I < 1200; ++I)
    m_store.put(ServerTable, "server-" + std::to_string(I), "unreadable");
  const Result<ServerListing> Read = await(m_subject.readServers());
  ASSERT_TRUE(Read);
  EXPECT_EQ(Read.value().m_rows.size(), 1200U);
}

TEST_F(StoreClientTest, AwaitConfiguration_NewVersion_ArrivesByFeed) {
  putConfiguration(3);
  EXPECT_EQ(
      await(m_subject.awaitConfiguration(Millis(200))).value().m_configuration,
      m_config);
  putConfiguration(9);
  EXPECT_EQ(await(m_subject.awaitConfiguration(Millis(200)))
                .value()
                .m_configuration.m_version,
            9U);
  EXPECT_EQ(await(m_subject.awaitConfiguration(Millis(50))).error(),
            TableErrc::Conflict);
}

TEST_F(StoreClientTest, AwaitConfiguration_HistoryGone_IsReadAgain) {
  putConfiguration(3);
  ASSERT_TRUE(await(m_subject.awaitConfiguration(Millis(50))));
  putConfiguration(4);
  m_store.dropHistory();
  EXPECT_EQ(await(m_subject.awaitConfiguration(Millis(50)))
                .value()
                .m_configuration.m_version,
            4U);
}

// A feed that is far behind names every change, each with a whole
// configuration. While its answer did not arrive in time, the same feed was
// asked for again and again, and the host stayed on its old configuration.
TEST_F(StoreClientTest, AwaitConfiguration_FeedIsTooSlow_IsReadFromTheTable) {
  putConfiguration(3);
  ASSERT_TRUE(await(m_subject.awaitConfiguration(Millis(50))));
  m_store.m_faults.m_feedDelay = std::chrono::hours(1);
  putConfiguration(4);
  EXPECT_EQ(await(m_subject.awaitConfiguration(Millis(50))).error(),
            TableErrc::Unavailable);
  EXPECT_EQ(await(m_subject.awaitConfiguration(Millis(50)))
                .value()
                .m_configuration.m_version,
            4U);
}

// The operator's requests to evacuate a zone come by the same feed.
TEST_F(StoreClientTest, AwaitConfiguration_ZoneIsEvacuated_EndsWithItsRow) {
  m_store.put(OperatorTable, "evacuate/zone-a", "null");
  putConfiguration(3);
  ASSERT_TRUE(await(m_subject.awaitConfiguration(Millis(50))));
  EXPECT_EQ(m_subject.evacuations().m_zones, std::set<std::string>{"zone-a"});
  const Evacuations First = m_subject.evacuations();
  m_store.put(OperatorTable, "evacuate/zone-b", "not JSON");
  EXPECT_EQ(await(m_subject.awaitConfiguration(Millis(50))).error(),
            TableErrc::Conflict);
  EXPECT_EQ(m_subject.evacuations().m_zones,
            (std::set<std::string>{"zone-a", "zone-b"}));
  m_store.remove(OperatorTable, "evacuate/zone-a");
  EXPECT_FALSE(await(m_subject.awaitConfiguration(Millis(50))));
  EXPECT_EQ(m_subject.evacuations().m_zones, std::set<std::string>{"zone-b"});
  EXPECT_TRUE(isNewer(m_subject.evacuations(), First));
}

// Keys in queries are percent-encoded. The row that ends the first page of the
// table has characters that would end the query's parameter.
TEST_F(StoreClientTest, AwaitConfiguration_ManyEvacuations_AllPagesAreRead) {
  putConfiguration(3);
  for (int I = 0; I < 498; ++I)
    m_store.put(OperatorTable, fmt::format("evacuate/a{:03}", I), "");
  m_store.put(OperatorTable, "evacuate/b&to=c 50%#", "");
  m_store.put(OperatorTable, "evacuate/c", "");
  const Result<DecodedConfiguration> Read =
      await(m_subject.awaitConfiguration(Millis(50)));
  ASSERT_TRUE(Read) << Read.error().message();
  EXPECT_EQ(m_subject.evacuations().m_zones.size(), 500U);
  EXPECT_EQ(m_subject.evacuations().m_zones.count("b&to=c 50%#"), 1U);
}

// The copy may have rows that were removed later, and lack later ones.
TEST_F(StoreClientTest,
       AwaitConfiguration_StoreIsRestored_EvacuationsAreThoseOfTheCopy) {
  putConfiguration(3);
  m_store.put(OperatorTable, "evacuate/zone-a", "");
  m_store.saveSnapshot();
  m_store.remove(OperatorTable, "evacuate/zone-a");
  m_store.put(OperatorTable, "evacuate/zone-b", "");
  ASSERT_TRUE(await(m_subject.awaitConfiguration(Millis(50))));
  const Evacuations First = m_subject.evacuations();
  EXPECT_EQ(First.m_zones, std::set<std::string>{"zone-b"});
  m_store.restoreSnapshot();
  ASSERT_TRUE(await(m_subject.awaitConfiguration(Millis(50))));
  EXPECT_EQ(m_subject.evacuations().m_zones, std::set<std::string>{"zone-a"});
  EXPECT_TRUE(isNewer(m_subject.evacuations(), First));
}

// A row that was removed in the lost part of the history is in no change.
TEST_F(StoreClientTest,
       AwaitConfiguration_HistoryGone_EvacuationsAreReadAgain) {
  m_store.put(OperatorTable, "evacuate/zone-a", "null");
  putConfiguration(3);
  ASSERT_TRUE(await(m_subject.awaitConfiguration(Millis(50))));
  m_store.remove(OperatorTable, "evacuate/zone-a");
  m_store.dropHistory();
  ASSERT_TRUE(await(m_subject.awaitConfiguration(Millis(50))));
  EXPECT_TRUE(m_subject.evacuations().m_zones.empty());
}

TEST_F(StoreClientTest, AwaitConfiguration_Malformed_IsSkipped) {
  putConfiguration(3);
  ASSERT_TRUE(await(m_subject.awaitConfiguration(Millis(50))));
  m_store.put(OperatorTable, ConfigurationKey, "{\"version\":7}");
  EXPECT_FALSE(await(m_subject.awaitConfiguration(Millis(50))));
  putConfiguration(8);
  EXPECT_TRUE(await(m_subject.awaitConfiguration(Millis(50))));
}

TEST_F(StoreClientTest, WriteOwnership_WrongVersion_IsConflict) {
  const Result<RowVersion> First =
      await(m_subject.writeOwnership("shop", makeRecord(1), {}));
  ASSERT_TRUE(First);
  EXPECT_EQ(await(m_subject.writeOwnership("shop", makeRecord(2), {})).error(),
            TableErrc::Conflict);
  EXPECT_TRUE(
      await(m_subject.writeOwnership("shop", makeRecord(2), First.value())));
  const Result<VersionedOwnership> Read =
      await(m_subject.readOwnership("shop"));
  ASSERT_TRUE(Read);
  EXPECT_EQ(Read.value().m_record, makeRecord(2));
}

TEST_F(StoreClientTest, WriteOwnership_AnswerIsLost_IsUnsettledButApplied) {
  m_store.m_faults.m_losesAnswers = true;
  EXPECT_EQ(await(m_subject.writeOwnership("shop", makeRecord(1), {})).error(),
            TableErrc::Unsettled);
  m_store.m_faults.m_losesAnswers = false;
  EXPECT_EQ(await(m_subject.readOwnership("shop")).value().m_record,
            makeRecord(1));
}

TEST_F(StoreClientTest, WriteOwnership_AppliedLate_ConditionStillDecides) {
  m_store.m_faults.m_writeDelay = Millis(2000);
  EXPECT_EQ(await(m_subject.writeOwnership("shop", makeRecord(1), {})).error(),
            TableErrc::Unsettled);
  m_store.m_faults.m_writeDelay = Millis(0);
  ASSERT_TRUE(await(m_subject.writeOwnership("shop", makeRecord(5), {})));
  m_context.run_for(Millis(700)); // The delayed write is attempted.
  EXPECT_EQ(await(m_subject.readOwnership("shop")).value().m_record,
            makeRecord(5));
}

// The store is restored from a snapshot between two feed calls and reuses row
// versions. A feed that continues from the old version would miss a change.
TEST_F(StoreClientTest, AwaitConfiguration_StoreIsRestored_NoChangeIsMissed) {
  putConfiguration(3);
  m_store.saveSnapshot();
  ASSERT_TRUE(await(m_subject.awaitConfiguration(Millis(50))));
  for (int I = 0; I < 20; ++I)
    m_store.put(ServerTable, "a", "lost with the rest");
  EXPECT_EQ(await(m_subject.awaitConfiguration(Millis(50))).error(),
            TableErrc::Conflict);
  m_store.restoreSnapshot();
  putConfiguration(5);
  for (int I = 0; I < 30; ++I)
    m_store.put(ServerTable, "a", "written again");
  EXPECT_EQ(await(m_subject.awaitConfiguration(Millis(50)))
                .value()
                .m_configuration.m_version,
            5U);
  EXPECT_EQ(m_subject.era(), 2U);
}

TEST_F(StoreClientTest,
       AwaitConfiguration_VersionIsAheadOfSnapshot_IsReadAgain) {
  m_store.saveSnapshot();
  putConfiguration(3);
  ASSERT_TRUE(await(m_subject.awaitConfiguration(Millis(50))));
  m_store.restoreSnapshot();
  EXPECT_FALSE(await(m_subject.awaitConfiguration(Millis(50))));
  putConfiguration(4);
  EXPECT_EQ(await(m_subject.awaitConfiguration(Millis(50)))
                .value()
                .m_configuration.m_version,
            4U);
}

// After a restore, a row can get the version that a writer of an earlier era
// expects.
TEST_F(StoreClientTest, WriteOwnership_VersionOfAnEarlierEra_IsConflict) {
  m_store.saveSnapshot();
  ASSERT_TRUE(await(m_subject.readOwnership("shop")));
  const Result<RowVersion> Lost =
      await(m_subject.writeOwnership("shop", makeRecord(1), {1, 0}));
  ASSERT_TRUE(Lost);
  m_store.restoreSnapshot();
  EXPECT_EQ(await(m_subject.writeOwnership("shop", makeRecord(2), Lost.value()))
                .error(),
            TableErrc::Conflict);
  EXPECT_EQ(m_subject.era(), 2U);
  EXPECT_EQ(await(m_subject.writeOwnership("shop", makeRecord(2), Lost.value()))
                .error(),
            TableErrc::Conflict);
  const Result<VersionedOwnership> Read =
      await(m_subject.readOwnership("shop"));
  ASSERT_TRUE(Read);
  EXPECT_EQ(Read.value().m_version, (RowVersion{2, 0}));
  EXPECT_TRUE(await(
      m_subject.writeOwnership("shop", makeRecord(3), Read.value().m_version)));
  EXPECT_EQ(await(m_subject.readOwnership("shop")).value().m_record,
            makeRecord(3));
}

TEST_F(StoreClientTest, Calls_EraIsDamaged_LaterAnswersAreAccepted) {
  m_store.saveSnapshot();
  ASSERT_TRUE(await(m_subject.readServers()));
  m_store.m_faults.m_damagedEra = "18446744073709551615";
  EXPECT_TRUE(await(m_subject.readServers()));
  m_store.m_faults.m_damagedEra = "2x";
  EXPECT_TRUE(await(m_subject.readServers()));
  m_store.m_faults.m_damagedEra.clear();
  EXPECT_TRUE(await(m_subject.readServers()));
  EXPECT_EQ(m_subject.era(), 1U);
}

TEST_F(StoreClientTest, ReadOwnership_OnlyEarlierEras_ReturnsNewestRecord) {
  m_store.saveSnapshot();
  ASSERT_TRUE(await(m_subject.readOwnership("shop")));
  ASSERT_TRUE(await(m_subject.writeOwnership("shop", makeRecord(1), {1, 0})));
  ASSERT_TRUE(await(m_subject.writeOwnership("shop-2", makeRecord(9), {1, 0})));
  m_store.saveSnapshot();
  m_store.restoreSnapshot();
  const VersionedOwnership Read =
      await(m_subject.readOwnership("shop")).value();
  EXPECT_EQ(Read.m_record, makeRecord(1));
  EXPECT_EQ(Read.m_version, (RowVersion{2, 0}));
}

// When hundreds of hosts start together, one of them enters all of them.
TEST_F(StoreClientTest, EnterHosts_MoreThanOneCallTakes_AreEnteredInParts) {
  std::vector<HostInfo> Hosts;
  for (int I = 0; I < 130; ++I)
    Hosts.push_back(
        {"host-" + std::to_string(1000 + I), "10.0.0.1", "zone-a", 7, 10});
  const Result<std::size_t> Entered = await(m_subject.addHosts(Hosts));
  ASSERT_TRUE(Entered);
  EXPECT_EQ(Entered.value(), 100U);
  Hosts.erase(Hosts.begin(), Hosts.begin() + 100);
  ASSERT_EQ(await(m_subject.addHosts(Hosts)).value(), 30U);
  const Result<HostListing> Read = await(m_subject.readHosts());
  ASSERT_TRUE(Read);
  EXPECT_EQ(Read.value().m_hosts.size(), 130U);
}

TEST_F(StoreClientTest, Calls_StoreIsDown_AreUnavailable) {
  m_store.m_faults.m_isDown = true;
  EXPECT_EQ(await(m_subject.readServers()).error(), TableErrc::Unavailable);
  EXPECT_EQ(await(m_subject.writeOwnership("shop", makeRecord(1), {})).error(),
            TableErrc::Unavailable);
}

// The record may have been written: a granter that takes it for not written
// counts on the record before it.
TEST_F(StoreClientTest, WriteOwnership_NoFinalStatus_IsUnsettled) {
  for (const char *Status : {"000", "099", "100", "199", "600", "999"}) {
    const OneAnswer Server("HTTP/1.1 " + std::string(Status) +
                           " OK\r\nContent-Length: 0\r\n\r\n");
    StoreClient Subject(Server.address(), StorePolicy{}, m_log);
    EXPECT_EQ(await(Subject.writeOwnership("stock", makeRecord(1), {})).error(),
              TableErrc::Unsettled)
        << Status;
  }
}

TEST_F(StoreClientTest, WriteOwnership_BlankInFieldName_IsUnsettled) {
  for (const char *Line :
       {"X-Odd : 3", "X Odd: 3", " X-Odd: 3", "X-\1Odd: 3"}) {
    const OneAnswer Server("HTTP/1.1 412 Changed\r\n" + std::string(Line) +
                           "\r\nContent-Length: 0\r\n\r\n");
    StoreClient Subject(Server.address(), StorePolicy{}, m_log);
    EXPECT_EQ(await(Subject.writeOwnership("stock", makeRecord(1), {})).error(),
              TableErrc::Unsettled)
        << Line;
  }
}

// The timer of a stream ends only an operation that waits.
TEST_F(StoreClientTest, Answer_EndlessChunkLines_EndsAtTheTimeout) {
  EndlessServer Server("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                       longChunkLine());
  StorePolicy Policy;
  Policy.m_readTimeout = Millis(100);
  StoreClient Subject(Server.address(), Policy, m_log);
  EXPECT_EQ(await(Subject.readServers()).error(), TableErrc::Unavailable);
  EXPECT_LT(Server.sentBytes(), EndlessBytes);
}

} // namespace
} // namespace tamarackdrum::platform
