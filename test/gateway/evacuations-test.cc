#include "tamarackdrum/gateway/evacuations.h"

#include <gtest/gtest.h>

namespace tamarackdrum::gateway {
namespace {

// A restored store begins a new era and reuses row versions.
TEST(EvacuationsTest, IsNewer_EraAndVersionDiffer_EraDecides) {
  const Evacuations Unknown;
  const Evacuations First{{1, 90}, {"zone-a"}};
  EXPECT_TRUE(isNewer(First, Unknown));
  EXPECT_FALSE(isNewer(First, First));
  EXPECT_FALSE(isNewer({{1, 89}, {}}, First));
  EXPECT_TRUE(isNewer({{1, 91}, {}}, First));
  EXPECT_TRUE(isNewer({{2, 5}, {}}, First));
  EXPECT_FALSE(isNewer(First, {{2, 5}, {}}));
}

} // namespace
} // namespace tamarackdrum::gateway
