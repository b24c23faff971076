#include "tamarackdrum/settings.h"

#include <gtest/gtest.h>

namespace tamarackdrum {
namespace {

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

TEST(SettingsTest, TextThatIsNotJson_IsOneFault) {
  const SettingsReport Report = parseSettings("{");
  ASSERT_EQ(Report.m_faults.size(), 1U);
  EXPECT_EQ(Report.m_faults[0].m_path, "$");
}

} // namespace
} // namespace tamarackdrum
