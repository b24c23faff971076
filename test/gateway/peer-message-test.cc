#include "tamarackdrum/gateway/peer-message.h"

#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

namespace tamarackdrum::gateway {
namespace {

std::vector<PeerMessage> examples() {
  DispatchRequest Request;
  Request.m_id = {0, 42};
  Request.m_route = "buy";
  Request.m_key = 65535;
  Request.m_priority = 2;
  Request.m_isRetry = true;
  Request.m_objectiveLeft = Millis(600);
  Request.m_timeLeft = Millis(2500);
  Request.m_triedServers = {"s-1", "s-2"};
  Request.m_backoffs = {{"s-3", Millis(900)}};
  ServerEntry Server;
  Server.m_id = "s-1";
  Server.m_startMs = 123456789012;
  Server.m_warmUpLeft = Millis(7);
  return {HelloMessage{{"h1", "10.0.0.1", "zone-a", 5, 20},
                       {{1, "cart", "s", "r", Millis(9)}},
                       true,
                       {{"cart", "s-1", 0.5, Millis(900)}},
                       {{"cart", "s-3", Millis(700)}}},
          RunningMessage{{{2, "cart", "s", "r", Millis(8)}},
                         {{"cart", "s-2", 100, Millis(0)}},
                         {}},
          DispatchRequestMessage{"cart", Request},
          QueuedMessage{7},
          DecisionMessage{{{0, 7}, "", RefusalReason::Overloaded, Millis(250)}},
          FinishMessage{"cart", 7, DispatchResult::ConnectionLost, Millis(12)},
          FinishMessage{"cart", 8, DispatchResult::Served, Millis(12),
                        AnswerReport{NamedLimit{}, {}, {}}},
          FinishMessage{"cart", 9, DispatchResult::Refused, Millis(12),
                        AnswerReport{NamedLimit{2.9}, {}, {}}},
          FinishMessage{"cart", 10, DispatchResult::Served, Millis(12),
                        AnswerReport{{}, ReportedLoad{4, 12, 4, 300}, {}}},
          FinishMessage{"cart", 11, DispatchResult::Served, Millis(12),
                        AnswerReport{NamedLimit{}, {}, Millis(1500)}},
          WithdrawMessage{"cart", 7},
          KeyMapMessage{"cart", {8, 9, {{0, 65535, "s-1"}}}},
          NotHeldMessage{"cart", 65535},
          KeyMapRequest{"cart"},
          StateRequest{false, true},
          StateMessage{"{}", {Server}, {}},
          StateMessage{"{}", {Server}, {{1, 12}, {"zone-a", "zone-b"}}},
          EvacuationsMessage{{{0, 7}, {}}},
          CrashMessage{~0ULL, "s-1@5", false, Millis(0)},
          CrashMessage{~0ULL, "s-1@5", true, Millis(0)},
          CrashMessage{~0ULL, "s-1@5", false, Millis(70000)},
          RelayMessage{9, "s-1", "GET / HTTP/1.1\r\n\r\n",
                       std::string{'\xff', '\0', 'x'}, "id", true, false,
                       Millis(700)},
          RelayAnswerMessage{
              9, DispatchResult::Served, true, true, Millis(160),
              AnswerReport{NamedLimit{2.5}, ReportedLoad{4, 1, 4}, Millis(3)},
              true, Millis(20), "HTTP/1.1 200 OK\r\n\r\n", "\xfe"},
          RelayAnswerMessage{},
          RelayCancelMessage{9},
          ListingMessage{3,
                         2,
                         {1, 9},
                         4,
                         5,
                         6,
                         true,
                         {{"s-1", true, Server}, {"x"}},
                         {"gone"}},
          ConfigurationMessage{"{}"},
          FollowMessage{false},
          HostsMessage{StoreTime{2, 77}, {{"h2", "10.0.0.2", "zone-b", 6, 50}}},
          HostsMessage{std::nullopt, {}},
          LeavingMessage{"s-1", 5}};
}

TEST(PeerMessageTest, Decode_EachMessage_IsAsEncoded) {
  std::string Buffer;
  for (const PeerMessage &Item : examples())
    encode(Item, Buffer);
  const Result<std::vector<PeerMessage>> Decoded = decode(Buffer);
  ASSERT_TRUE(Decoded);
  EXPECT_TRUE(Decoded.value() == examples());
  EXPECT_TRUE(Buffer.empty());
}

TEST(PeerMessageTest, Decode_BytesArriveOneByOne_AllMessagesAreDecoded) {
  std::string Bytes;
  for (const PeerMessage &Item : examples())
    encode(Item, Bytes);
  std::string Buffer;
  std::size_t Count = 0;
  for (char Byte : Bytes) {
    Buffer.push_back(Byte);
    const Result<std::vector<PeerMessage>> Decoded = decode(Buffer);
    ASSERT_TRUE(Decoded);
    Count += Decoded.value().size();
  }
  EXPECT_EQ(Count, examples().size());
}

// A site with processes of both versions while it is upgraded.
TEST(PeerMessageTest, Decode_FinishWithoutLimit_IsAsFromAnOlderProcess) {
  std::string WithLimit;
  std::string Without;
  encode(FinishMessage{"cart", 7, DispatchResult::Served, Millis(12),
                       AnswerReport{NamedLimit{}, {}, {}}},
         WithLimit);
  encode(FinishMessage{"cart", 7, DispatchResult::Served, Millis(12)}, Without);
  EXPECT_EQ(WithLimit.size(), Without.size() + 1);
  const Result<std::vector<PeerMessage>> Decoded = decode(Without);
  ASSERT_TRUE(Decoded);
  EXPECT_FALSE(
      std::get<FinishMessage>(Decoded.value()[0]).m_report.m_limit.has_value());
}

TEST(PeerMessageTest, Decode_LimitOutOfRange_IsMalformed) {
  std::string Buffer;
  encode(FinishMessage{"cart", 7, DispatchResult::Served, Millis(12),
                       AnswerReport{NamedLimit{-1}, {}, {}}},
         Buffer);
  EXPECT_FALSE(decode(Buffer));
}

// An age in the future would outlast every later answer of the server.
TEST(PeerMessageTest, Decode_NegativeAgeOfLimit_IsMalformed) {
  std::string Buffer;
  encode(RunningMessage{{}, {{"cart", "s-1", 2, Millis(-1)}}}, Buffer);
  EXPECT_FALSE(decode(Buffer));
}

TEST(PeerMessageTest, Decode_AgeOfCrashOutOfRange_IsMalformed) {
  std::string Negative;
  encode(CrashMessage{7, "s-1@5", false, Millis(8)}, Negative);
  Negative.back() = '\xff'; // The age of 8 ms becomes -1 ms.
  EXPECT_FALSE(decode(Negative));
  std::string Long;
  encode(CrashMessage{7, "s-1@5", false, Millis::max()}, Long);
  EXPECT_FALSE(decode(Long));
}

TEST(PeerMessageTest, Decode_LengthTooLarge_IsMalformed) {
  std::string Buffer = "\xff\xff\xff\xff";
  EXPECT_FALSE(decode(Buffer));
}

TEST(PeerMessageTest, DecodeHeartbeat_Encoded_IsEqual) {
  Heartbeat Beat;
  Beat.m_host = {"h1", "10.0.0.1", "zone-a", 5, 20};
  Beat.m_isStopping = true;
  Beat.m_storeLostMs = 17;
  Beat.m_storeAvailableMs = 18;
  Beat.m_configVersion = 3;
  Beat.m_granters["cart"] = {4, "h2", 6};
  Beat.m_initialPeers = {{"h3", "10.0.0.3", "zone-b", 7, 50}};
  Beat.m_isCutOff = true;
  Beat.m_reachesServers = true;
  const Result<Heartbeat> Decoded = decodeHeartbeat(encodeHeartbeat(Beat));
  ASSERT_TRUE(Decoded);
  EXPECT_TRUE(Decoded.value() == Beat);
}

RC_GTEST_PROP(PeerMessageTest, Decode_RandomChange_DoesNotCrash,
              (std::size_t Seed)) {
  std::minstd_rand Engine(static_cast<std::uint32_t>(Seed));
  std::string Bytes;
  for (const PeerMessage &Item : examples())
    encode(Item, Bytes);
  for (int I = 0; I < 4; ++I)
    Bytes[Engine() % Bytes.size()] = static_cast<char>(Engine());
  std::string Beat = encodeHeartbeat(Heartbeat{});
  Beat[Engine() % Beat.size()] = static_cast<char>(Engine());
  // Any result is accepted, as long as decoding neither crashes nor throws.
  (void)decode(Bytes);
  (void)decodeHeartbeat(Beat);
}

} // namespace
} // namespace tamarackdrum::gateway
