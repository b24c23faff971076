#include "tamarackdrum/hot-keys.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace tamarackdrum {
namespace {

RC_GTEST_PROP(HotKeySketchProperty, Counts_OfAnyStream_AreLowerBounds,
              (const std::vector<std::uint8_t> &Stream)) {
  HotKeySketch Sketch(2);
  std::map<std::uint64_t, std::uint64_t> Naive;
  for (const std::uint8_t Key : Stream) {
    Sketch.add(Key);
    ++Naive[Key];
  }
  RC_ASSERT(Sketch.total() == Stream.size());
  for (const KeyCount &Key : Sketch.top(100))
    RC_ASSERT(Key.m_count <= Naive[Key.m_hash]);
}

TEST(HotKeySketchTest, HotKey_AmongManyCold_IsFoundFirst) {
  HotKeySketch Sketch(64);
  constexpr std::uint64_t Hot = 12345;
  for (std::uint64_t I = 0; I < 20000; ++I) {
    Sketch.add(I * 2654435761U);
    if (I % 20 == 0)
      Sketch.add(Hot);
  }
  const std::vector<KeyCount> Top = Sketch.top(1);
  ASSERT_EQ(Top.size(), 1U);
  EXPECT_EQ(Top[0].m_hash, Hot);
  EXPECT_GT(Top[0].m_count, 500U);
  Sketch.reset();
  EXPECT_TRUE(Sketch.top(1).empty());
}

} // namespace
} // namespace tamarackdrum
