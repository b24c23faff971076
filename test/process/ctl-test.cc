/// \file
/// The operators' command against real processes.

#include "site.h"

#include <gmock/gmock.h>

namespace tamarackdrum::test {
namespace {

using testing::HasSubstr;

/// What a run of tamarackctl gave.
struct CtlRun {
  int m_code = 0;
  std::string m_output;
};

class CtlTest : public testing::Test {
protected:
  CtlTest() {
    ClassTarget Stock;
    Stock.m_name = "stock";
    Stock.m_keyed = true;
    m_site.declareClass(Stock);
    m_site.addServer("stock-0", "stock");
    m_site.addServer("stock-1", "stock");
    m_site.startHosts(3);
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "tamarackctl-XXXXXX")
            .string();
    m_directory = ::mkdtemp(Pattern.data());
  }
  ~CtlTest() override { std::filesystem::remove_all(m_directory); }

  std::string controlOf(std::size_t Host) {
    return "127.0.0.1:" + std::to_string(m_site.hosts()[Host].m_controlPort);
  }

  CtlRun ctl(const std::string &Control, std::vector<std::string> Words) {
    const std::string Log = m_directory + "/out";
    std::filesystem::remove(Log);
    std::vector<std::string> Line{std::string(TAMARACKDRUM_BIN_DIR) +
                                      "/tamarackctl",
                                  "--control", Control, "--key", SharedKey};
    Line.insert(Line.end(), Words.begin(), Words.end());
    CtlRun Out;
    Out.m_code = Child(Line, Log).wait();
    std::ifstream File(Log);
    std::ostringstream Text;
    Text << File.rdbuf();
    Out.m_output = Text.str();
    return Out;
  }

  std::string write(const std::string &Text) {
    const std::string Name = m_directory + "/file.json";
    std::ofstream(Name) << Text;
    return Name;
  }

  std::uint64_t generation() {
    return m_site.status(0)["view"]["generation"].asUInt64();
  }

  Site m_site;
  std::string m_directory;
};

constexpr const char *TwoClasses =
    R"({"classes": [{"name": "browse"}, {"name": "stock", "keyed": true}]})";

TEST_F(CtlTest, ClassApply_SameFileTwice_CommitsOnce) {
  ASSERT_TRUE(m_site.awaitReady());
  const std::string File = write(TwoClasses);
  EXPECT_EQ(ctl(controlOf(0), {"class", "diff", File}).m_output, "+ browse\n");
  EXPECT_THAT(ctl(controlOf(0), {"class", "apply", File}).m_output,
              HasSubstr("accepted, in force at generation"));
  const std::uint64_t Applied = generation();
  const CtlRun Again = ctl(controlOf(1), {"class", "apply", File});
  EXPECT_EQ(Again.m_code, 0);
  EXPECT_THAT(Again.m_output, HasSubstr("no change"));
  ASSERT_TRUE(m_site.awaitReady());
  EXPECT_EQ(generation(), Applied);
  EXPECT_THAT(ctl(controlOf(2), {"class", "diff", File}).m_output,
              HasSubstr("no difference"));
}

TEST_F(CtlTest, Control_UnreachableProcess_NextOneIsTried) {
  ASSERT_TRUE(m_site.awaitReady());
  const std::string Nobody = "127.0.0.1:" + std::to_string(freePort());
  const CtlRun Run =
      ctl(Nobody + "," + controlOf(1), {"server", "recall", "stock-0"});
  EXPECT_EQ(Run.m_code, 0);
  EXPECT_THAT(Run.m_output, HasSubstr("accepted"));
  EXPECT_EQ(ctl(Nobody, {"status"}).m_code, 3);
}

TEST_F(CtlTest, Restore_BasedOnAnOlderGeneration_NamesWhatItLostTo) {
  ASSERT_TRUE(m_site.awaitReady());
  const std::string Seen = std::to_string(generation());
  ASSERT_EQ(ctl(controlOf(0), {"server", "recall", "stock-0"}).m_code, 0);
  const std::string Recalled = std::to_string(generation());
  const CtlRun Run =
      ctl(controlOf(0), {"server", "restore", "stock-0", "--based-on", Seen});
  EXPECT_EQ(Run.m_code, 1);
  EXPECT_THAT(Run.m_output, HasSubstr("refused: superseded"));
  EXPECT_THAT(Run.m_output,
              HasSubstr("stock-0 is recalled since generation " + Recalled));
}

TEST_F(CtlTest, Recall_OfTheLastServers_IsRefusedWithTheClass) {
  ASSERT_TRUE(m_site.awaitReady());
  const CtlRun Run =
      ctl(controlOf(0), {"server", "recall", "stock-0", "stock-1"});
  EXPECT_EQ(Run.m_code, 1);
  EXPECT_THAT(Run.m_output, HasSubstr("class stock would be left"));
  EXPECT_THAT(ctl(controlOf(0), {"server", "recall", "oak"}).m_output,
              HasSubstr("oak is not declared"));
}

TEST_F(CtlTest, Change_WithoutMajority_IsCommittedButNotInForce) {
  ASSERT_TRUE(m_site.awaitReady());
  m_site.hosts()[1].m_child->kill();
  m_site.hosts()[2].m_child->kill();
  const CtlRun Run = ctl(controlOf(0), {"server", "recall", "stock-0"});
  EXPECT_EQ(Run.m_code, 4);
  EXPECT_THAT(Run.m_output, HasSubstr("committed, but not yet in force"));
  EXPECT_THAT(Run.m_output, Not(HasSubstr("accepted")));
}

TEST_F(CtlTest, Report_EqualsTheRecordsOfTheServers) {
  ASSERT_TRUE(m_site.awaitReady());
  constexpr int Calls = 30;
  for (int I = 0; I < Calls; ++I)
    ASSERT_EQ(m_site
                  .call(static_cast<std::size_t>(I % 3),
                        "/stock/sheet-" + std::to_string(I))
                  ->result_int(),
              200U);
  const std::size_t First = m_site.records(0).size();
  const std::size_t Second = m_site.records(1).size();
  ASSERT_EQ(First + Second, static_cast<std::size_t>(Calls));
  const double Expected =
      2.0 * static_cast<double>(std::max(First, Second)) / Calls;
  Json::Value Class;
  // Dispatches are sampled, so the last ones appear a moment later.
  EXPECT_TRUE(eventually([&] {
    const CtlRun Run = ctl(controlOf(0), {"--json", "report"});
    Class = parseJson(Run.m_output).value()["classes"][0];
    return std::abs(Class["imbalance"].asDouble() - Expected) < 1e-9;
  }));
  EXPECT_EQ(Class["calls"].asInt(), Calls);
  EXPECT_EQ(Class["answered"].asInt(), Calls);
  EXPECT_EQ(Class["churn"].asInt(), 0);
}

TEST_F(CtlTest, Report_WithAnUnreachableProcess_SaysSo) {
  ASSERT_TRUE(m_site.awaitReady());
  m_site.hosts()[2].m_child->kill();
  const std::string Page = m_directory + "/page.html";
  EXPECT_THAT(ctl(controlOf(0), {"report", "--html", Page}).m_output,
              HasSubstr("NOT REACHED: entry-2"));
  EXPECT_TRUE(std::filesystem::exists(Page));
}

TEST_F(CtlTest, MemberRemove_OfAnEndedProcess_TakesItOutOfTheView) {
  ASSERT_TRUE(m_site.awaitReady());
  m_site.hosts()[2].m_child->kill();
  const CtlRun Run = ctl(controlOf(0), {"member", "remove", "entry-2"});
  EXPECT_EQ(Run.m_code, 0) << Run.m_output;
  EXPECT_TRUE(eventually(
      [&] { return m_site.status(0)["view"]["members"].size() == 2; }));
}

TEST_F(CtlTest, Watch_PrintsAsManyChangesAsAskedFor) {
  ASSERT_TRUE(m_site.awaitReady());
  const CtlRun Run = ctl(controlOf(0), {"watch", "--count", "1"});
  EXPECT_EQ(Run.m_code, 0);
  EXPECT_THAT(Run.m_output, HasSubstr("stock-0 (stock) new -> serving"));
}

TEST_F(CtlTest, Metrics_WithoutKey_AreServedAndRpcIsNot) {
  ASSERT_TRUE(m_site.awaitReady());
  const std::uint16_t Port = m_site.hosts()[0].m_controlPort;
  const std::optional<HttpResponse> Text =
      fetch(Port, boost::beast::http::verb::get, "/metrics");
  ASSERT_TRUE(Text);
  EXPECT_THAT(Text->body(), HasSubstr("tamarack_lease_held"));
  EXPECT_EQ(fetch(Port, boost::beast::http::verb::post, "/rpc/operator", "{}")
                ->result_int(),
            401U);
}

} // namespace
} // namespace tamarackdrum::test
