#include "tamarackdrum/gateway/configuration.h"

#include <gtest/gtest.h>

namespace tamarackdrum::gateway {
namespace {

class RouteTableTest : public testing::Test {
protected:
  static Route makeRoute(std::string Name, std::string Prefix,
                         std::vector<RoutePart> Parts) {
    Route Out;
    Out.m_name = std::move(Name);
    Out.m_host = "shop.example";
    Out.m_prefix = std::move(Prefix);
    Out.m_parts = std::move(Parts);
    return Out;
  }

  static Configuration makeConfiguration() {
    Configuration Out;
    Out.m_version = 7;
    Out.m_routes = {makeRoute("root", "/", {{"web", 1}}),
                    makeRoute("cart", "/cart/", {{"cart", 1}}),
                    makeRoute("deep", "/cart/old/", {{"a", 90}, {"b", 10}})};
    Out.m_services["web"] = {"web", 10, false};
    return Out;
  }

  std::string nameOf(std::string_view Host, std::string_view Target) const {
    const Route *Found = m_table.match(Host, Target);
    return Found == nullptr ? "" : Found->m_name;
  }

  RouteTable m_table{makeConfiguration()};
};

TEST_F(RouteTableTest, Match_SeveralPrefixes_LongestWins) {
  EXPECT_EQ(nameOf("shop.example", "/cart/old/7"), "deep");
  EXPECT_EQ(nameOf("shop.example", "/cart/7"), "cart");
  EXPECT_EQ(nameOf("shop.example", "/cart"), "root");
  EXPECT_EQ(nameOf("shop.example", "/"), "root");
}

TEST_F(RouteTableTest, Match_HostWithPortAndCapitals_IgnoresBoth) {
  EXPECT_EQ(nameOf("Shop.Example:8080", "/cart/"), "cart");
}

TEST_F(RouteTableTest, Match_SlashesInQuery_AreIgnored) {
  EXPECT_EQ(nameOf("shop.example", "/x?next=/cart/old/"), "root");
}

TEST_F(RouteTableTest, Match_UnknownHostOrNoPath_ReturnsNull) {
  EXPECT_EQ(m_table.match("other.example", "/cart/"), nullptr);
  EXPECT_EQ(m_table.match("shop.example", "*"), nullptr);
  EXPECT_EQ(m_table.match("shop.example", ""), nullptr);
}

TEST_F(RouteTableTest, NextService_WeightedParts_SharesAreExact) {
  const Route *Split = m_table.match("shop.example", "/cart/old/");
  ASSERT_NE(Split, nullptr);
  int Second = 0;
  for (int I = 0; I < 100; ++I)
    Second += m_table.nextService(*Split) == "b" ? 1 : 0;
  EXPECT_EQ(Second, 10);
}

TEST_F(RouteTableTest, FindService_UnknownName_ReturnsNull) {
  EXPECT_NE(m_table.findService("web"), nullptr);
  EXPECT_EQ(m_table.findService("none"), nullptr);
}

} // namespace
} // namespace tamarackdrum::gateway
