/// \file
/// What hosts send to each other and keep in the store, compared with the text
/// that the encoder of commit f7a004b produced. During an upgrade, hosts of two
/// versions run side by side: a change that fails here keeps hosts of the
/// version before from reading those of the next one, or the other way round.

#include "tamarackdrum/error.h"
#include "tamarackdrum/gateway/peer-message.h"
#include "tamarackdrum/gateway/record-json.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <set>

namespace tamarackdrum::gateway {
namespace {

using Json = nlohmann::json;

constexpr std::uint32_t ProtocolVersion = 5;

/// A message and its encoding, in hexadecimal digits.
struct Example {
  PeerMessage m_message;
  std::string m_hex;
};

std::string toHex(std::string_view Bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Out;
  for (const char Byte : Bytes) {
    const unsigned Value = static_cast<unsigned char>(Byte);
    Out.push_back(Digits[Value / 16]);
    Out.push_back(Digits[Value % 16]);
  }
  return Out;
}

std::string fromHex(const std::string &Hex) {
  std::string Out;
  for (std::size_t I = 0; I + 1 < Hex.size(); I += 2)
    Out.push_back(static_cast<char>(std::stoi(Hex.substr(I, 2), nullptr, 16)));
  return Out;
}

/// Returns a message of \p Version and of the kind with number \p Kind.
std::string makeFrame(const Json &Version, const Json &Kind,
                      const Json &Content) {
  const std::vector<std::uint8_t> Body =
      Json::to_msgpack(Json::array({Version, Kind, Content}));
  std::string Out(3, '\0');
  Out.push_back(static_cast<char>(Body.size()));
  Out.append(Body.begin(), Body.end());
  return Out;
}

class WireCompatibilityTest : public testing::Test {
protected:
  static HostInfo makeHost(const std::string &Name, unsigned Number) {
    return {Name, "10.0.0." + std::to_string(Number), "z" + Name,
            1764800000000 + Number, Number};
  }

  static ServerEntry makeServer() {
    return {"s1", "cart",        "10.1.0.1:80", "za",        12,
            true, 1764800000101, 70000,         Millis(300), false};
  }

  static DispatchRequest makeRequest() {
    DispatchRequest Out;
    Out.m_id.m_number = 71;
    Out.m_route = "buy";
    Out.m_key = 65535;
    Out.m_priority = 2;
    Out.m_isRetry = true;
    Out.m_objectiveLeft = Millis(600);
    Out.m_timeLeft = Millis(2500);
    Out.m_triedServers = {"s2", "s3"};
    Out.m_backoffs = {{"s4", Millis(900)}};
    return Out;
  }

  static Heartbeat makeHeartbeat() {
    Heartbeat Out;
    Out.m_host = makeHost("h1", 1);
    Out.m_isStopping = true;
    Out.m_storeLostMs = 1700;
    Out.m_storeAvailableMs = 100000;
    Out.m_configVersion = 5000000000;
    Out.m_granters["cart"] = {4, "h2", 1764800000202};
    Out.m_granters["search"] = {6, "h3", 1764800000203};
    Out.m_initialPeers = {makeHost("h4", 4), makeHost("h5", 5)};
    Out.m_isCutOff = true;
    return Out;
  }

  /// Heartbeat whose flags are the opposite of those of makeHeartbeat(), so
  /// that no two flags can be exchanged unnoticed.
  static Heartbeat makeReply() {
    Heartbeat Out;
    Out.m_host = makeHost("h6", 6);
    Out.m_isReply = true;
    Out.m_reachesServers = true;
    return Out;
  }

  static OwnershipRecord makeRecord() {
    OwnershipRecord Out;
    Out.m_term = 1048593;
    Out.m_granter = "h1";
    Out.m_granterStartMs = 1764800000301;
    Out.m_earlier = {{15, "h2", 1764800000302, 5000}, {16, "", 0, 7000}};
    Out.m_ranges = {{0, 999, {"s1", 1764800000401}, 31, {"s2", 402}, 30},
                    {1000, 65535, {"s2", 402}, 32, {}, 0}};
    return Out;
  }

  /// All fields are set, to values that differ within a message as far as their
  /// types allow.
  static std::vector<Example> dispatchExamples() {
    const std::vector<RunningDispatch> Running{
        {3, "cart", "s1", "buy", Millis(1500)}};
    const std::vector<ToldLimit> Limits{{"cart", "s2", 2.5, Millis(800)}};
    const std::vector<ToldCold> Cold{{"search", "s3", Millis(4000)}};
    return {
        {HelloMessage{makeHost("h1", 1), Running, true, Limits, Cold},
         "000000539305009595a26831a831302e302e302e31a37a6831cf0000019ae646"
         "f00101919503a463617274a27331a3627579cd05dcc39194a463617274a27332"
         "ca40200000cd03209193a6736561726368a27333cd0fa0"},
        {RunningMessage{Running, {{"cart", "s4", 2.9, Millis(90000)}}, Cold},
         "0000003d93050193919503a463617274a27331a3627579cd05dc9194a4636172"
         "74a27334cb4007333333333333ce00015f909193a6736561726368a27333cd0f"
         "a0"},
        {DispatchRequestMessage{"cart", makeRequest()},
         "000000289305029aa463617274a362757947cdffff02c3cd0258cd09c492a273"
         "32a273339192a27334cd0384"},
        {QueuedMessage{72}, "000000059305039148"},
        {DecisionMessage{
             {{0, 73}, "s5", RefusalReason::ServerLimit, Millis(250)}},
         "0000000b9305049449a2733505ccfa"},
        {FinishMessage{"cart", 74, DispatchResult::ConnectionLost, Millis(1200),
                       AnswerReport{NamedLimit{7.5},
                                    ReportedLoad{4, 12, 6, 300}, Millis(1501)}},
         "0000001d93050597a4636172744a05cd04b0ca40f0000094040c06cd012ccd05"
         "dd"},
        {FinishMessage{"cart", 75, DispatchResult::NotHeld, Millis(13),
                       AnswerReport{}},
         "0000000c93050594a4636172744b030d"},
        {WithdrawMessage{"cart", 76}, "0000000a93050692a4636172744c"},
        {KeyMapMessage{"cart",
                       {800, 900, {{0, 999, "s6"}, {1000, 65535, "s7"}}}},
         "0000002293050794a463617274cd0320cd0384929300cd03e7a2733693cd03e8"
         "cdffffa27337"},
        {NotHeldMessage{"cart", 54321}, "0000000c93050892a463617274cdd431"},
        {KeyMapRequest{"search"}, "0000000b93050991a6736561726368"}};
  }

  /// As above.
  static std::vector<Example> stateExamples() {
    const Evacuations Zones{{2, 90}, {"zb", "zc"}};
    return {{StateRequest{false, true}, "0000000693050a92c2c3"},
            {StateMessage{"{}", {makeServer()}, Zones},
             "0000003d93050b93a27b7d9199a27331a463617274ab31302e312e302e313a38"
             "30a27a610cc3cf0000019ae646f065ce00011170cd012c93025a92a27a62a27a"
             "63"},
            {CrashMessage{~0ULL, "s8@5", false, Millis(0)},
             "0000001293050c92cfffffffffffffffffa473384035"},
            {ListingMessage{30,
                            20,
                            {1, 1200000},
                            40,
                            50,
                            60,
                            true,
                            {{"s1", true, makeServer()}, {"s9", false, {}}},
                            {"s10"},
                            Zones},
             "0000004f93050d9b1e1401ce00124f8028323cc39299a27331a463617274ab31"
             "302e312e302e313a3830a27a610cc3cf0000019ae646f065ce00011170cd012c"
             "91a2733991a373313093025a92a27a62a27a63"},
            {ConfigurationMessage{"{\"a\":1}", Zones},
             "0000001693050e92a77b2261223a317d93025a92a27a62a27a63"},
            {FollowMessage{true}, "0000000593050f91c3"},
            {HostsMessage{StoreTime{2, 77000}, {makeHost("h2", 22)}},
             "0000002893051094c302ce00012cc89195a26832a931302e302e302e3232a37a"
             "6832cf0000019ae646f01616"},
            {HostsMessage{std::nullopt, {makeHost("h3", 300)}},
             "0000002793051094c200009195a26833aa31302e302e302e333030a37a6833cf"
             "0000019ae646f12ccd012c"},
            {LeavingMessage{"s11", 1764800000111},
             "0000001193051192a3733131cf0000019ae646f06f"},
            {EvacuationsMessage{Zones}, "0000000e9305129193025a92a27a62a27a63"},
            {RelayMessage{77, "s12", "GET / HTTP/1.1\r\n\r\n",
                          std::string{'\xff', '\0', 'x'}, "id-1", true, false,
                          Millis(700)},
             "0000002d930513984da3733132c412474554202f20485454502f312e310d0a0d"
             "0ac403ff0078c40469642d31c3c2cd02bc"},
            {RelayAnswerMessage{
                 78, DispatchResult::Failed, true, false, Millis(160),
                 AnswerReport{NamedLimit{1.5}, ReportedLoad{3, 2, 8, 110},
                              Millis(31)},
                 true, Millis(2000), "HTTP/1.1 503 x\r\n\r\n", "\xfe"},
             "000000309305149c4e01c3c2cca0ca3fc00000940302086e1fc3cd07d0c41248"
             "5454502f312e312035303320780d0a0d0ac401fe"},
            {RelayAnswerMessage{79, DispatchResult::TimedOut, false, true,
                                Millis(161), AnswerReport{}, false, Millis(0),
                                "", ""},
             "000000139305149c4f06c2c3cca1c0c0c0c200c400c400"},
            {RelayCancelMessage{80}, "000000059305159150"}};
  }

  /// Messages without what may be absent.
  static std::vector<Example> shortExamples() {
    return {{HelloMessage{makeHost("h4", 4), {}, false, {}, {}},
             "000000229305009495a26834a831302e302e302e34a37a6834cf0000019ae646"
             "f0040490c290"},
            {RunningMessage{}, "00000006930501929090"},
            {DispatchRequestMessage{"search", DispatchRequest{}},
             "000000149305029aa6736561726368a000ff00c200009090"},
            {FinishMessage{"cart", 81, DispatchResult::Served, Millis(14),
                           AnswerReport{NamedLimit{}, {}, {}}},
             "0000000d93050595a46361727451000e00"},
            {FinishMessage{"cart", 82, DispatchResult::Refused, Millis(15),
                           AnswerReport{{}, {}, Millis(16)}},
             "0000000f93050597a46361727452020fc0c010"},
            {StateRequest{true, false}, "0000000693050a92c3c2"},
            {StateMessage{}, "0000000693050b92a090"},
            {ListingMessage{}, "0000000e93050d9a00000000000000c29090"},
            {ConfigurationMessage{"{}", {}}, "0000000793050e91a27b7d"},
            {FollowMessage{false}, "0000000593050f91c2"}};
  }

  static std::vector<Example> examples() {
    std::vector<Example> Out;
    for (const std::vector<Example> &Part :
         {dispatchExamples(), stateExamples(), shortExamples()})
      Out.insert(Out.end(), Part.begin(), Part.end());
    return Out;
  }
};

TEST_F(WireCompatibilityTest, Examples_Kinds_AreComplete) {
  std::set<std::size_t> Kinds;
  for (const Example &Item : examples())
    Kinds.insert(Item.m_message.index());
  EXPECT_EQ(Kinds.size(), std::variant_size_v<PeerMessage>);
}

TEST_F(WireCompatibilityTest, Encode_EachMessage_IsAsBefore) {
  for (const Example &Item : examples()) {
    std::string Bytes;
    encode(Item.m_message, Bytes);
    EXPECT_EQ(toHex(Bytes), Item.m_hex) << toText(Item.m_message);
  }
}

TEST_F(WireCompatibilityTest, Decode_EachEarlierMessage_IsAsMeant) {
  for (const Example &Item : examples()) {
    std::string Bytes = fromHex(Item.m_hex);
    const Result<std::vector<PeerMessage>> Decoded = decode(Bytes);
    ASSERT_TRUE(Decoded) << toText(Item.m_message);
    ASSERT_EQ(Decoded.value().size(), 1U) << toText(Item.m_message);
    EXPECT_TRUE(Decoded.value().front() == Item.m_message)
        << toText(Item.m_message);
  }
}

TEST_F(WireCompatibilityTest, Heartbeat_EncodedAndDecoded_IsAsBefore) {
  const std::string Beat =
      "9b0595a26831a831302e302e302e31a37a6831cf0000019ae646f00101c3c2cd"
      "06a4ce000186a0cf000000012a05f2009294a46361727404a26832cf0000019a"
      "e646f0ca94a673656172636806a26833cf0000019ae646f0cb9295a26834a831"
      "302e302e302e34a37a6834cf0000019ae646f0040495a26835a831302e302e30"
      "2e35a37a6835cf0000019ae646f00505c3c2";
  const std::string Reply =
      "9b0595a26836a831302e302e302e36a37a6836cf0000019ae646f00606c2c300"
      "00009090c2c3";
  EXPECT_EQ(toHex(encodeHeartbeat(makeHeartbeat())), Beat);
  EXPECT_EQ(toHex(encodeHeartbeat(makeReply())), Reply);
  const Result<Heartbeat> DecodedBeat = decodeHeartbeat(fromHex(Beat));
  ASSERT_TRUE(DecodedBeat);
  EXPECT_TRUE(DecodedBeat.value() == makeHeartbeat());
  const Result<Heartbeat> DecodedReply = decodeHeartbeat(fromHex(Reply));
  ASSERT_TRUE(DecodedReply);
  EXPECT_TRUE(DecodedReply.value() == makeReply());
}

TEST_F(WireCompatibilityTest, OwnershipRecord_EncodedAndDecoded_IsAsBefore) {
  const std::string Text =
      R"({"earlier":[[15,"h2",1764800000302,5000],[16,"",0,7000]],)"
      R"("granter":"h1","granter_life":1764800000301,)"
      R"("lives":[["s1",1764800000401],["s2",402]],)"
      R"("ranges":[[0,999,0,31,1,30],[1000,65535,1,32]],"term":1048593})";
  EXPECT_EQ(toJson(makeRecord()), Text);
  const Result<OwnershipRecord> Read = ownershipFromJson(Text);
  ASSERT_TRUE(Read);
  EXPECT_EQ(Read.value(), makeRecord());
}

TEST_F(WireCompatibilityTest, HostRow_EncodedAndDecoded_IsAsBefore) {
  const std::string Text = R"({"ip":"10.0.0.7","life":1764800000007,)"
                           R"("name":"h7","weight":7,"zone":"zh7"})";
  EXPECT_EQ(toJson(makeHost("h7", 7)), Text);
  const Result<HostInfo> Read = hostFromJson(Text);
  ASSERT_TRUE(Read);
  EXPECT_EQ(Read.value(), makeHost("h7", 7));
}

// Both enumerations travel as numbers: a value added before the last one would
// give another meaning to the numbers of the version before.
TEST_F(WireCompatibilityTest, Enumerations_Numbers_AreAsBefore) {
  const std::vector<RefusalReason> Reasons{
      RefusalReason::None,          RefusalReason::NoServer,
      RefusalReason::Overloaded,    RefusalReason::NoRetryBudget,
      RefusalReason::ServerBackoff, RefusalReason::ServerLimit};
  for (std::size_t I = 0; I < Reasons.size(); ++I)
    EXPECT_EQ(static_cast<std::size_t>(Reasons[I]), I);
  const std::vector<DispatchResult> Results{
      DispatchResult::Served,      DispatchResult::Failed,
      DispatchResult::Refused,     DispatchResult::NotHeld,
      DispatchResult::Unreachable, DispatchResult::ConnectionLost,
      DispatchResult::TimedOut,    DispatchResult::Withdrawn};
  for (std::size_t I = 0; I < Results.size(); ++I)
    EXPECT_EQ(static_cast<std::size_t>(Results[I]), I);
}

// A host of the version before reads the two elements that it knows. It has
// seen the crash, so that the message tells it nothing new.
TEST_F(WireCompatibilityTest, Encode_VoidCrash_BeginsLikeTheCrash) {
  std::string Bytes;
  encode(CrashMessage{~0ULL, "s8@5", true, Millis(0)}, Bytes);
  EXPECT_EQ(toHex(Bytes), "0000001393050c93cfffffffffffffffffa473384035c3");
  const Result<std::vector<PeerMessage>> Decoded = decode(Bytes);
  ASSERT_TRUE(Decoded);
  EXPECT_TRUE(Decoded.value().front() ==
              PeerMessage(CrashMessage{~0ULL, "s8@5", true, Millis(0)}));
}

// A later version may name reasons that this one does not know.
TEST_F(WireCompatibilityTest, Decode_UnknownReason_IsARefusal) {
  constexpr std::size_t DecisionKind = 4;
  std::string Bytes =
      makeFrame(ProtocolVersion, DecisionKind, Json::array({7, "", 99, 250}));
  const Result<std::vector<PeerMessage>> Decoded = decode(Bytes);
  ASSERT_TRUE(Decoded);
  const DispatchDecision &Decision =
      std::get<DecisionMessage>(Decoded.value().front()).m_decision;
  EXPECT_TRUE(Decision.m_server.empty());
  EXPECT_NE(Decision.m_reason, RefusalReason::None);
  EXPECT_STREQ(toText(Decision.m_reason), "unknown");
  EXPECT_EQ(Decision.m_retryAfter, Millis(250));
}

// A later version may append elements to a message.
TEST_F(WireCompatibilityTest, Decode_AddedElement_IsIgnored) {
  constexpr std::size_t QueuedKind = 3;
  std::string Bytes =
      makeFrame(ProtocolVersion, QueuedKind, Json::array({7, "added"}));
  const Result<std::vector<PeerMessage>> Decoded = decode(Bytes);
  ASSERT_TRUE(Decoded);
  EXPECT_TRUE(Decoded.value().front() == PeerMessage(QueuedMessage{7}));
}

// A later version may send kinds that this one does not know. They must not be
// taken for another kind, and must not end the process.
TEST_F(WireCompatibilityTest, Decode_UnknownKind_IsMalformed) {
  const std::vector<Json> Kinds{std::variant_size_v<PeerMessage>, 1000,
                                std::uint64_t(1) << 31U, "hello", nullptr};
  for (const Json &Kind : Kinds) {
    const std::string Unknown =
        makeFrame(ProtocolVersion, Kind, Json::array({7, "x"}));
    std::string Buffer = Unknown;
    const Result<std::vector<PeerMessage>> Decoded = decode(Buffer);
    ASSERT_FALSE(Decoded) << Kind.dump();
    EXPECT_EQ(Decoded.error(), ControlErrc::Malformed) << Kind.dump();
    EXPECT_EQ(Buffer, Unknown) << Kind.dump();
  }
}

TEST_F(WireCompatibilityTest, Decode_OtherProtocolVersion_IsWrongVersion) {
  std::string Buffer = makeFrame(ProtocolVersion + 1, 3, Json::array({7}));
  const Result<std::vector<PeerMessage>> Decoded = decode(Buffer);
  ASSERT_FALSE(Decoded);
  EXPECT_EQ(Decoded.error(), ControlErrc::WrongVersion);
}

} // namespace
} // namespace tamarackdrum::gateway
