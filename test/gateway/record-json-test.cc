#include "tamarackdrum/gateway/record-json.h"

#include <gtest/gtest.h>

namespace tamarackdrum::gateway {
namespace {

class RecordJsonTest : public testing::Test {
protected:
  /// Returns a record of \p Ranges ranges on \p Servers servers. Every third
  /// range is moving.
  static OwnershipRecord makeRecord(std::size_t Ranges, std::size_t Servers) {
    constexpr std::int64_t StartMs = 1764800000000;
    OwnershipRecord Out;
    Out.m_term = 17;
    Out.m_granter = "host-a-07";
    Out.m_granterStartMs = StartMs;
    Out.m_earlier = {{15, "host-a-02", StartMs - 9, StartMs + 5000},
                     {16, "host-b-01", StartMs - 7, StartMs + 7000}};
    for (std::size_t I = 0; I < Ranges; ++I) {
      RangeRecord Item;
      Item.m_from = static_cast<Key>(KeyCount * I / Ranges);
      Item.m_to = static_cast<Key>(KeyCount * (I + 1) / Ranges - 1);
      Item.m_owner = {"server-" + std::to_string(I % Servers),
                      StartMs + static_cast<std::int64_t>(I % Servers)};
      Item.m_fence = 100000 + I;
      if (I % 3 == 0) {
        Item.m_previousOwner = {"server-" + std::to_string((I + 1) % Servers),
                                StartMs};
        Item.m_previousFence = Item.m_fence - 1;
      }
      Out.m_ranges.push_back(std::move(Item));
    }
    return Out;
  }
};

TEST_F(RecordJsonTest, Ownership_EncodedAndDecoded_IsEqual) {
  const OwnershipRecord Subject = makeRecord(10, 4);
  const Result<OwnershipRecord> Read = ownershipFromJson(toJson(Subject));
  ASSERT_TRUE(Read);
  EXPECT_EQ(Read.value(), Subject);
}

TEST_F(RecordJsonTest, Ownership_MaxRanges_FitsOneRow) {
  constexpr std::size_t RowBytes = 65536; // Row limit of the platform's store.
  // Ranges are merged more slowly than split, so the limit can be exceeded.
  const OwnershipRecord Subject =
      makeRecord(PlacementPolicy().m_maxRanges * 5 / 4, 300);
  EXPECT_LT(toJson(Subject).size(), RowBytes);
}

TEST_F(RecordJsonTest, Ownership_UnknownInstance_IsMalformed) {
  std::string Text = toJson(makeRecord(2, 2));
  const std::size_t At = Text.find("\"lives\":[");
  ASSERT_NE(At, std::string::npos);
  Text = Text.replace(Text.find('[', At),
                      Text.find("]]", At) + 2 - Text.find('[', At), "[]");
  EXPECT_FALSE(ownershipFromJson(Text));
  EXPECT_FALSE(ownershipFromJson("{}"));
  EXPECT_FALSE(ownershipFromJson("no json"));
}

} // namespace
} // namespace tamarackdrum::gateway
