/// \file
/// Keys of a lost server are served again by another one.

#include "site.h"

#include <gtest/gtest.h>

namespace tamarackdrum::test {
namespace {

/// Three hosts and three servers of one keyed class.
class ServerLossTest : public testing::Test {
protected:
  ServerLossTest() {
    ClassTarget Stock;
    Stock.m_name = "stock";
    Stock.m_keyed = true;
    m_site.declareClass(Stock);
    for (int I = 0; I < 3; ++I)
      m_site.addServer("stock-" + std::to_string(I), "stock");
    m_site.startHosts(3);
  }

  /// Returns a key that \p Server owns.
  std::string keyOf(const std::string &Server) {
    for (int Key = 0;; ++Key) {
      const std::string Target = "/stock/sheet-" + std::to_string(Key);
      const std::optional<HttpResponse> Answer = m_site.call(0, Target);
      if (Answer && parseJson(Answer->body()).value()["server"] == Server)
        return Target;
    }
  }

  bool isServed(std::size_t Host, const std::string &Target) {
    const std::optional<HttpResponse> Answer = m_site.call(Host, Target);
    return Answer && Answer->result_int() == 200;
  }

  /// Waits until every host serves \p Target; records the time it took.
  bool awaitServed(const std::string &Target,
                   const std::vector<std::size_t> &Hosts) {
    const TimePoint Start = BootClock::now();
    const bool Served = eventually([&] {
      return std::all_of(Hosts.begin(), Hosts.end(), [&](std::size_t Host) {
        return isServed(Host, Target);
      });
    });
    const Millis Gap =
        std::chrono::duration_cast<Millis>(BootClock::now() - Start);
    RecordProperty("served_again_ms", std::to_string(Gap.count()));
    std::cout << "served again after " << Gap.count() << " ms\n";
    return Served;
  }

  Site m_site;
};

TEST_F(ServerLossTest, KilledServer_ItsKeysAreServedByAnother) {
  ASSERT_TRUE(m_site.awaitReady());
  const std::string Target = keyOf("stock-1");
  m_site.servers()[1].m_child->kill();
  EXPECT_TRUE(awaitServed(Target, {0, 1, 2}));
}

TEST_F(ServerLossTest, FrozenServer_ItsKeysAreServedByAnother) {
  ASSERT_TRUE(m_site.awaitReady());
  const std::string Target = keyOf("stock-1");
  m_site.servers()[1].m_child->signal(SIGSTOP);
  EXPECT_TRUE(awaitServed(Target, {0, 1, 2}));
  m_site.servers()[1].m_child->signal(SIGCONT);
}

TEST_F(ServerLossTest, FrozenServerAndFrozenPlanner_KeysAreServedByTheRest) {
  ASSERT_TRUE(m_site.awaitReady());
  const std::string Target = keyOf("stock-1");
  m_site.hosts()[0].m_child->signal(SIGSTOP);
  m_site.servers()[1].m_child->signal(SIGSTOP);
  EXPECT_TRUE(awaitServed(Target, {1, 2}));
  m_site.hosts()[0].m_child->signal(SIGCONT);
  m_site.servers()[1].m_child->signal(SIGCONT);
  EXPECT_TRUE(m_site.awaitReady());
}

} // namespace
} // namespace tamarackdrum::test
