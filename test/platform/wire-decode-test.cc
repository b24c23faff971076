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

TEST_F(DecodeConfigurationTest, Version_NoNumber_IsMalformed) {
  for (const char *Version : {"r", "7", "r7x", ""}) {
    m_value["version"] = Version;
    EXPECT_FALSE(decode()) << Version;
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
