/// \file
/// A request that crashes servers, through separate processes.

#include "site.h"

#include <gtest/gtest.h>

namespace tamarackdrum::test {
namespace {

constexpr std::size_t HostCount = 3;
constexpr std::size_t ServerCount = 6;

/// Three hosts and six servers of "pages", which crash on "/pages/poison".
class PoisonProcessTest : public testing::Test {
protected:
  PoisonProcessTest() {
    ClassTarget Pages;
    Pages.m_name = "pages";
    m_site.declareClass(Pages);
    for (std::size_t I = 0; I < ServerCount; ++I)
      m_site.addServer("pages-" + std::to_string(I), "pages");
    m_site.startHosts(HostCount);
    for (const SiteServer &Server : m_site.servers())
      fetch(Server.m_port, boost::beast::http::verb::post, "/fault",
            R"({"crash_on":"poison"})");
  }

  std::size_t countAlive() {
    std::size_t Alive = 0;
    for (const SiteServer &Server : m_site.servers())
      Alive += fetch(Server.m_port, boost::beast::http::verb::get, "/health")
                   ? 1U
                   : 0U;
    return Alive;
  }

  bool isRefused(std::size_t Host) {
    const std::optional<HttpResponse> Reply =
        m_site.call(Host, "/pages/poison");
    return Reply && Reply->result_int() == 422 &&
           (*Reply)["Tamarack-Outcome"] == "not-run" &&
           (*Reply)["Tamarack-Reason"] == "poisoned";
  }

  Site m_site;
};

TEST_F(PoisonProcessTest, Poison_AfterFewCrashes_IsRefusedEverywhere) {
  ASSERT_TRUE(m_site.awaitReady());
  ASSERT_EQ(countAlive(), ServerCount);
  ASSERT_TRUE(eventually([&] { return isRefused(0); }));
  for (std::size_t Host = 1; Host < HostCount; ++Host)
    ASSERT_TRUE(eventually(
        [&] { return m_site.status(Host)["poisoned"].asUInt64() == 1; }));
  const std::size_t Alive = countAlive();
  EXPECT_GE(Alive, 1U);
  RecordProperty("servers_lost", static_cast<int>(ServerCount - Alive));
  // The other hosts know by the evidence alone: they lose no server.
  for (std::size_t Host = 1; Host < HostCount; ++Host)
    EXPECT_TRUE(isRefused(Host));
  EXPECT_EQ(countAlive(), Alive);
  for (std::size_t Host = 0; Host < HostCount; ++Host)
    for (int Page = 0; Page < 5; ++Page) {
      const std::string Target = "/pages/" + std::to_string(Page);
      EXPECT_TRUE(eventually([&] {
        const std::optional<HttpResponse> Reply = m_site.call(Host, Target);
        return Reply && Reply->result_int() == 200;
      })) << Target;
    }
  EXPECT_EQ(countAlive(), Alive);
}

} // namespace
} // namespace tamarackdrum::test
