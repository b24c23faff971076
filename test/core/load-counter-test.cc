#include "tamarackdrum/load-counter.h"

#include <gtest/gtest.h>

namespace tamarackdrum {
namespace {

TEST(LoadCounterTest, IsolatedKey_CountsAsKeyOnly) {
  LoadCounter Counter;
  Counter.record(7, 3, false);
  Counter.record(8, 3, true);
  const SliceLoads Loads = Counter.take("stock");
  EXPECT_EQ(Loads.m_workClass, "stock");
  EXPECT_EQ(Loads.m_slices[3], 1U);
  EXPECT_EQ(Loads.m_keys.size(), 2U);
}

TEST(LoadCounterTest, Take_StartsTheNextWindow) {
  LoadCounter Counter;
  Counter.record(7, 3, false);
  (void)Counter.take("stock");
  const SliceLoads Loads = Counter.take("stock");
  EXPECT_EQ(Loads.m_slices[3], 0U);
  EXPECT_TRUE(Loads.m_keys.empty());
}

} // namespace
} // namespace tamarackdrum
