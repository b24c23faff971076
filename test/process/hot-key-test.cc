/// \file
/// A hot key gets a slice of its own, and its server gives other keys away.

#include "site.h"

#include <gtest/gtest.h>

namespace tamarackdrum::test {
namespace {

/// Three hosts and three servers of one keyed class, with short load windows.
class HotKeyTest : public testing::Test {
protected:
  HotKeyTest() {
    ClassTarget Stock;
    Stock.m_name = "stock";
    Stock.m_keyed = true;
    m_site.declareClass(Stock);
    m_site.setLoadWindow(Millis(300));
    for (int I = 0; I < 3; ++I)
      m_site.addServer("stock-" + std::to_string(I), "stock",
                       {"--work-ms", "1"});
    m_site.startHosts(3);
  }

  Json::Value hotKeys(std::size_t Host) {
    return m_site.status(Host)["view"]["assignments"][0]["hot_keys"];
  }

  Site m_site;
};

TEST_F(HotKeyTest, HotKey_IsIsolatedAtEveryHostAndKeepsOneOwner) {
  ASSERT_TRUE(m_site.awaitReady());
  int Call = 0;
  const bool IsIsolated = eventually([&] {
    for (int I = 0; I < 20; ++I, ++Call) {
      const std::size_t Host = static_cast<std::size_t>(Call % 3);
      m_site.call(Host, "/stock/popular");
      m_site.call(Host, "/stock/sheet-" + std::to_string(Call));
    }
    return !hotKeys(0).empty();
  });
  ASSERT_TRUE(IsIsolated);
  ASSERT_TRUE(eventually([&] {
    return !hotKeys(1).empty() && hotKeys(1) == hotKeys(0) &&
           hotKeys(2) == hotKeys(0);
  }));
  EXPECT_EQ(hotKeys(0)[0][3].asUInt64(), hashKey("popular"));
}

} // namespace
} // namespace tamarackdrum::test
