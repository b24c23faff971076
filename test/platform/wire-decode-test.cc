#include "platform/wire-decode.h"

#include "platform/standin/wire-encode.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace tamarackdrum::platform {
namespace {

using Json = nlohmann::json;
using namespace gateway;

/// A configuration with one route that is split between two services.
class DecodeConfigurationTest : public testing::Test {
protected:
  DecodeConfigurationTest() {
    m_value = Json::parse(R"({
      "version": "r7",
      "services": {"sheets": {}, "quotes": {"sharded": true}},
      "routes": {"one": {"host": "a.example", "prefix": "/x/",
        "kind": "safe", "attempts": 2,
        "traffic_split": [{"service": "sheets", "weight": 3},
                          {"service": "quotes", "weight": 1}]}}})");
  }

  Json &route() { return m_value["routes"]["one"]; }
  Json &part(int Index) { return route()["traffic_split"][Index]; }

  Result<DecodedConfiguration> decode() {
    m_reason.clear();
    return decodeConfiguration(m_value.dump(), m_reason);
  }

  Json m_value;
  std::string m_reason;
};

TEST_F(DecodeConfigurationTest, SplitRoute_Valid_KeepsItsWeights) {
  const Result<DecodedConfiguration> Read = decode();
  ASSERT_TRUE(Read) << m_reason;
  const Route &Got = Read.value().m_configuration.m_routes.at(0);
  EXPECT_EQ(Got.m_parts,
            (std::vector<RoutePart>{{"sheets", 3}, {"quotes", 1}}));
}

// If downloads count as unsafe, they are not repeated on another server when a
// server breaks off, and the client gets no answer.
TEST_F(DecodeConfigurationTest, Kind_Download_IsSafe) {
  route()["kind"] = "download";
  EXPECT_EQ(decode().value().m_configuration.m_routes.at(0).m_kind,
            RequestKind::Safe);
}

TEST_F(DecodeConfigurationTest, Kind_Unknown_IsUnsafe) {
  route()["kind"] = "something";
  EXPECT_EQ(decode().value().m_configuration.m_routes.at(0).m_kind,
            RequestKind::Unsafe);
}

TEST_F(DecodeConfigurationTest, ColdServers_WithoutALimit_HaveNone) {
  m_value["services"]["quotes"]["cold_per_s"] = 20;
  m_value["services"]["quotes"]["cold_s"] = 2.5;
  const Result<DecodedConfiguration> Read = decode();
  ASSERT_TRUE(Read) << m_reason;
  const auto &Services = Read.value().m_configuration.m_services;
  EXPECT_EQ(Services.at("quotes").m_cold, (ColdPolicy{20, Millis(2500)}));
  EXPECT_EQ(Services.at("sheets").m_cold, ColdPolicy{});
  m_value["services"]["quotes"]["cold_per_s"] = -1;
  EXPECT_FALSE(decode());
}

// A configuration in force must not be refused for a path that only probes use.
TEST_F(DecodeConfigurationTest, HealthPath_NotUsable_CountsAsNone) {
  m_value["services"]["sheets"]["health_path"] = "/healthz";
  EXPECT_EQ(
      decode().value().m_configuration.m_services.at("sheets").m_healthPath,
      "/healthz");
  for (const Json &Path : {Json(), Json(7), Json(""), Json("healthz"),
                           Json("/a b"), Json("/a\r\nb")}) {
    m_value["services"]["sheets"]["health_path"] = Path;
    const Result<DecodedConfiguration> Read = decode();
    ASSERT_TRUE(Read) << m_reason;
    EXPECT_EQ(Read.value().m_configuration.m_services.at("sheets").m_healthPath,
              "");
  }
}

TEST_F(DecodeConfigurationTest, Weight_Negative_IsNamed) {
  part(0)["weight"] = -1;
  EXPECT_FALSE(decode());
  EXPECT_EQ(m_reason, "weight of route one");
}

TEST_F(DecodeConfigurationTest, Weights_AllZero_AreNamed) {
  part(0)["weight"] = 0;
  part(1)["weight"] = 0;
  EXPECT_FALSE(decode());
  EXPECT_EQ(m_reason, "weights of route one");
}

TEST_F(DecodeConfigurationTest, Weight_OneIsZero_ServiceGetsNoRequests) {
  part(1)["weight"] = 0;
  const Result<DecodedConfiguration> Read = decode();
  ASSERT_TRUE(Read) << m_reason;
  RouteTable Table(Read.value().m_configuration);
  for (int I = 0; I < 20; ++I)
    EXPECT_EQ(Table.nextService(Table.configuration().m_routes.at(0)),
              "sheets");
}

TEST_F(DecodeConfigurationTest, Part_UnknownService_IsNamed) {
  part(1)["service"] = "gone";
  EXPECT_FALSE(decode());
  EXPECT_EQ(m_reason, "service of route one");
}

// The conversion of such a number to an integer is undefined, or makes a bound
// unlimited.
TEST_F(DecodeConfigurationTest, Number_OutOfRange_IsNamed) {
  const Json Valid = m_value;
  for (const char *Path :
       {"/routes/one/timeout_ms", "/routes/one/slo_ms", "/routes/one/priority",
        "/routes/one/attempts", "/services/sheets/max_conns",
        "/limits/max_header_bytes", "/limits/max_body_bytes",
        "/limits/header_timeout_ms", "/limits/idle_timeout_ms"})
    for (const char *Text :
         {"-1", "1e300", "-1e300", "1e18", "18446744073709551615"}) {
      const Json::json_pointer Member(Path);
      m_value = Valid;
      m_value[Member] = Json::parse(Text);
      EXPECT_FALSE(decode()) << Path << ' ' << Text;
      EXPECT_EQ(m_reason, Member.back()) << Text;
      m_value[Member] = 10;
      EXPECT_TRUE(decode()) << Path << ' ' << m_reason;
    }
}

TEST_F(DecodeConfigurationTest, Version_NoNumber_IsMalformed) {
  for (const char *Version : {"r", "7", "r7x", ""}) {
    m_value["version"] = Version;
    EXPECT_FALSE(decode()) << Version;
  }
}

/// An entry of the server registry with one changed member.
class DecodeServerTest : public testing::Test {
protected:
  DecodeServerTest() {
    m_value = Json::parse(R"({
      "address": "10.0.0.1:9000", "born": 1772253264373,
      "info": {"service": "sheets", "version": "v1", "zone": "a", "slots": 4},
      "status": {"state": "ready", "seq": 3, "cold_left_ms": 250}})");
  }

  /// Returns whether the entry is readable with \p Text as its member at
  /// \p Path.
  bool isReadable(const char *Path, const std::string &Text) const {
    const char *Marker = "MARKER";
    Json Changed = m_value;
    Changed[Json::json_pointer(Path)] = Marker;
    std::string Out = Changed.dump();
    const std::string Quoted = quote(Marker);
    Out.replace(Out.find(Quoted), Quoted.size(), Text);
    return decodeServer("a", Out).m_isReadable;
  }

  static std::string quote(const std::string &Text) {
    return Json(Text).dump();
  }

  Json m_value;
};

TEST_F(DecodeServerTest, Entry_Valid_IsRead) {
  const ServerRow Row = decodeServer("a", m_value.dump());
  ASSERT_TRUE(Row.m_isReadable);
  EXPECT_EQ(Row.m_entry.m_slots, 4U);
  EXPECT_EQ(Row.m_entry.m_warmUpLeft, Millis(250));
  EXPECT_EQ(Row.m_entry.m_startMs, 1772253264373);
}

// An entry with 2^31 slots would draw all requests of its service.
TEST_F(DecodeServerTest, Slots_OutOfRange_IsUnreadable) {
  EXPECT_TRUE(isReadable("/info/slots", "65535"));
  for (const char *Text : {"0", "-1", "65536", "2147483648", "4294967296",
                           "4294967297", "18446744073709551615", "1e9"})
    EXPECT_FALSE(isReadable("/info/slots", Text)) << Text;
}

// The conversion of such a number to an integer is undefined.
TEST_F(DecodeServerTest, ColdTime_OutOfRange_IsUnreadable) {
  EXPECT_TRUE(isReadable("/status/cold_left_ms", "0"));
  EXPECT_TRUE(isReadable("/status/cold_left_ms", "1500.5"));
  for (const char *Text : {"-1", "1e300", "-1e300", "1e18", "600001"})
    EXPECT_FALSE(isReadable("/status/cold_left_ms", Text)) << Text;
}

// A negative count or start would count as newer or older than all others.
TEST_F(DecodeServerTest, CountOrStart_OutOfRange_IsUnreadable) {
  for (const char *Path : {"/status/seq", "/born"})
    for (const char *Text : {"-1", "-9223372036854775808",
                             "18446744073709551615", "1e30", "1.5", "\"7\""})
      EXPECT_FALSE(isReadable(Path, Text)) << Path << ' ' << Text;
  EXPECT_FALSE(isReadable("/born", "9223372036854775807"));
}

TEST_F(DecodeServerTest, Address_NamesNoServer_IsUnreadable) {
  for (const char *Text : {"10.0.0.1:0", "10.0.0.1:70000", "10.0.0.1:-1",
                           "0.0.0.0:9000", "224.0.0.1:9000", "name:9000", ""})
    EXPECT_FALSE(isReadable("/address", quote(Text))) << Text;
}

TEST_F(DecodeServerTest, Name_TooLong_IsUnreadable) {
  const std::string Long = quote(std::string(201, 'x'));
  EXPECT_FALSE(isReadable("/info/service", Long));
  EXPECT_FALSE(isReadable("/info/zone", Long));
}

TEST_F(DecodeServerTest, Member_DeeplyNested_IsUnreadable) {
  constexpr std::size_t Depth = 200000;
  std::string Nested(Depth, '[');
  Nested.append(Depth, ']');
  for (const char *Path : {"/info/slots", "/status", "/born"})
    EXPECT_FALSE(isReadable(Path, Nested)) << Path;
}

TEST(DecodeSettingsTest, Bound_OutOfRange_IsAFault) {
  const Json Valid =
      Json::parse(standin::encodeSettings(GatewaySettings{}, "127.0.0.1:1"));
  ASSERT_TRUE(decodeSettings(Valid.dump()).m_faults.empty());
  Json Unknown = Valid;
  Unknown["bounds"].push_back("unknown=-1");
  EXPECT_TRUE(decodeSettings(Unknown.dump()).m_faults.empty());
  for (const char *Text : {"grace_s=1e300", "grace_s=-1", "drain_ms=inf",
                           "contact_ms=nan", "evac_ms=1e19"}) {
    Json Changed = Valid;
    Changed["bounds"].push_back(Text);
    const DecodedSettings Read = decodeSettings(Changed.dump());
    ASSERT_EQ(Read.m_faults.size(), 1U) << Text;
    EXPECT_EQ(Read.m_faults[0].m_path, "$.bounds");
    EXPECT_EQ(Read.m_faults[0].m_found, Text);
  }
}

TEST(DecodeSettingsTest, EvacuationBound_NotSet_ShortensNoOtherBound) {
  GatewaySettings Settings;
  const auto Decode = [&Settings] {
    return decodeSettings(standin::encodeSettings(Settings, "127.0.0.1:1"))
        .m_settings.m_evacuationBound;
  };
  EXPECT_EQ(Decode(), Millis::max());
  Settings.m_evacuationBound = Millis(5000);
  EXPECT_EQ(Decode(), Millis(5000));
}

} // namespace
} // namespace tamarackdrum::platform
