#include "tamarackdrum/load-window.h"

#include "tamarackdrum/planner.h"

#include <gtest/gtest.h>

namespace tamarackdrum {
namespace {

class LoadWindowTest : public ::testing::Test {
protected:
  void SetUp() override {
    ClassTarget Stock;
    Stock.m_name = "stock";
    Stock.m_keyed = true;
    m_view.m_classes.push_back(Stock);
    m_view.m_servers.push_back({"s1", "stock", "127.0.0.1:1"});
    m_view = assignSlices(m_view);
    m_view.m_assignments[0].m_hotKeys.push_back(
        {7, m_view.m_assignments[0].m_slices[0]});
    m_window.follow(m_view);
  }

  View m_view;
  LoadWindow m_window;
};

TEST_F(LoadWindowTest, Counts_OfAWindow_AreBySliceAndKey) {
  m_window.count("stock", 7);
  m_window.count("stock", 8);
  m_window.count("stock", 8);
  m_window.count("other", 8);
  const ClassLoads Loads = m_window.take();
  ASSERT_EQ(Loads.size(), 1U);
  EXPECT_EQ(Loads[0].m_slices[0], 2U);
  EXPECT_EQ(Loads[0].m_keys, (std::vector<KeyCount>{{7, 1}, {8, 2}}));
}

TEST_F(LoadWindowTest, Take_StartsAnEmptyWindow) {
  m_window.count("stock", 7);
  m_window.take();
  EXPECT_EQ(m_window.take()[0].m_keys, (std::vector<KeyCount>{{7, 0}}));
}

TEST_F(LoadWindowTest, Follow_WithTheSameKeys_KeepsTheCounts) {
  m_window.count("stock", 8);
  m_window.follow(m_view);
  EXPECT_EQ(m_window.take()[0].m_slices[0], 1U);
  m_window.count("stock", 8);
  m_view.m_assignments[0].m_hotKeys.clear();
  m_window.follow(m_view);
  EXPECT_EQ(m_window.take()[0].m_slices[0], 0U);
}

TEST(AddLoadsTest, Reports_OfTwoProcesses_AreSummed) {
  ClassLoads Sum{{"stock", {1, 2}, {{7, 1}}}};
  addLoads(Sum, {{"stock", {3, 4}, {{7, 2}}}, {"status", {1}, {}}});
  EXPECT_EQ(Sum[0].m_slices, (std::vector<std::uint64_t>{4, 6}));
  EXPECT_EQ(Sum.size(), 2U);
}

} // namespace
} // namespace tamarackdrum
