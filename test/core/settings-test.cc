#include "tamarackdrum/settings.h"

#include <gtest/gtest.h>

namespace tamarackdrum {
namespace {

const std::string UsedName = "a name that is not used before in this array";
const std::string UsedAddress =
    "an address that is not used before in this array";
const std::string LongDeadline =
    "a whole number from 1 to 1000 (max_dispatch_ms)";

constexpr const char *Valid = R"({
  "name": "entry-1", "zone": "a", "shared_key": "0123456789",
  "caller_address": "127.0.0.1:1", "control_address": "127.0.0.1:2",
  "platform_address": "127.0.0.1:3"})";

TEST(SettingsTest, Valid_HasNoFaults) {
  const SettingsReport Report = parseSettings(Valid);
  EXPECT_TRUE(Report.m_faults.empty());
  EXPECT_EQ(Report.m_settings.m_zone, "a");
}

TEST(SettingsTest, EveryFault_IsListedWithItsPath) {
  const SettingsReport Report = parseSettings(
      R"({"name": 3, "zone": "a", "shared_key": "0123456789", "colour": 1,
          "caller_address": "127.0.0.1:1", "control_address": "127.0.0.1:2",
          "lease": {"renew_ms": 500, "lease_ms": 600}})");
  ASSERT_EQ(Report.m_faults.size(), 3U);
  EXPECT_EQ(Report.m_faults[0].m_path, "$.name");
  EXPECT_EQ(Report.m_faults[1].m_path, "$.lease.renew_ms");
  EXPECT_EQ(Report.m_faults[2].m_path, "$.colour");
}

/// Returns the faults of \p Bootstrap in otherwise valid settings, each as
/// "path: expected".
std::vector<std::string> bootstrapFaults(const std::string &Bootstrap) {
  std::string Text = Valid;
  Text.insert(Text.rfind('}'), ", \"bootstrap\": " + Bootstrap);
  std::vector<std::string> Out;
  for (const SettingsFault &Fault : parseSettings(Text).m_faults)
    Out.push_back(Fault.m_path + ": " + Fault.m_expected);
  return Out;
}

TEST(SettingsTest, Classes_FaultsWithin_AreListedWithTheirPaths) {
  const std::vector<std::string> Faults = bootstrapFaults(R"({"classes": [
      {"name": "a", "weight": 3, "keyed": "yes"},
      {"name": "b", "once_only": true, "idempotent": true},
      {"name": "b", "deadline_ms": 5000},
      {"name": "c/d", "availability": 1, "prefer": "speed"},
      {"keyed": true}, 7]})");
  const std::vector<std::string> Expected = {
      "$.bootstrap.classes[0].keyed: true or false",
      "$.bootstrap.classes[0].weight: no such member",
      "$.bootstrap.classes[1].idempotent: false, since once_only is true",
      "$.bootstrap.classes[2].name: " + UsedName,
      "$.bootstrap.classes[2].deadline_ms: " + LongDeadline,
      "$.bootstrap.classes[3].name: letters, digits, '.', '_' and '-'",
      "$.bootstrap.classes[3].availability: a number above 0 and below 1",
      "$.bootstrap.classes[3].prefer: \"availability\" or \"stability\"",
      "$.bootstrap.classes[4].name: a non-empty string",
      "$.bootstrap.classes[5]: an object"};
  EXPECT_EQ(Faults, Expected);
}

TEST(SettingsTest, Servers_FaultsWithin_AreListedWithTheirPaths) {
  const std::vector<std::string> Faults = bootstrapFaults(R"({
      "classes": [{"name": "a"}],
      "servers": [
      {"name": "s0", "class": "a", "address": "localhost:1", "slots": 0},
      {"name": "s1", "class": "b", "address": "127.0.0.1:1"},
      {"name": "s1", "class": "a", "address": "127.0.0.1:1"},
      {"name": "s2", "class": "a", "address": "127.0.0.1:9", "slots": -1}]})");
  const std::vector<std::string> Expected = {
      "$.bootstrap.servers[0].address: an address, \"IP:PORT\"",
      "$.bootstrap.servers[0].slots: a whole number from 1 to 1000",
      "$.bootstrap.servers[2].name: " + UsedName,
      "$.bootstrap.servers[2].address: " + UsedAddress,
      "$.bootstrap.servers[3].slots: a whole number, 0 or more",
      "$.bootstrap.servers[1].class: a declared class"};
  EXPECT_EQ(Faults, Expected);
}

TEST(SettingsTest, Group_WithThisProcessElsewhere_IsAFault) {
  const std::vector<std::string> Faults = bootstrapFaults(R"({"group": [
      {"name": "entry-1", "address": "127.0.0.1:7", "zone": "a"},
      {"name": "entry-2", "address": "127.0.0.1:8", "zone": ""}]})");
  const std::vector<std::string> Expected = {
      "$.bootstrap.group[1].zone: a non-empty string",
      "$.bootstrap.group[0].address: control_address, since the name is that "
      "of this process"};
  EXPECT_EQ(Faults, Expected);
}

TEST(SettingsTest, Address_Syntax) {
  for (const char *Good : {"127.0.0.1:1", "::1:65535"})
    EXPECT_TRUE(isAddress(Good)) << Good;
  for (const char *Bad : {"", "127.0.0.1", "host:1", "127.0.0.1:0",
                          "127.0.0.1:65536", "127.0.0.1:1x", "127.0.0.1:"})
    EXPECT_FALSE(isAddress(Bad)) << Bad;
}

TEST(SettingsTest, TextThatIsNotJson_IsOneFault) {
  const SettingsReport Report = parseSettings("{");
  ASSERT_EQ(Report.m_faults.size(), 1U);
  EXPECT_EQ(Report.m_faults[0].m_path, "$");
}

} // namespace
} // namespace tamarackdrum
