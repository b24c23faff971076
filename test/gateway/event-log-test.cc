#include "tamarackdrum/gateway/event-log.h"

#include <gtest/gtest.h>

#include <array>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace tamarackdrum::gateway {
namespace {

class EventLogTest : public testing::Test {
protected:
  EventLogTest() {
    EXPECT_EQ(::pipe(m_pipe.data()), 0);
    m_log.emplace(m_policy, "host-1", m_pipe[1]);
  }
  ~EventLogTest() override {
    for (int Descriptor : m_pipe)
      ::close(Descriptor);
  }

  /// Returns the lines written since the last call.
  std::vector<nlohmann::json> lines() {
    m_log->flush();
    std::string Bytes(1U << 16U, '\0');
    const ssize_t Count = ::read(m_pipe[0], Bytes.data(), Bytes.size());
    std::vector<nlohmann::json> Out;
    std::istringstream In(Bytes.substr(0, static_cast<std::size_t>(Count)));
    std::string Line;
    while (std::getline(In, Line))
      Out.push_back(nlohmann::json::parse(Line));
    return Out;
  }

  static std::size_t count(const std::vector<nlohmann::json> &Lines,
                           const std::string &Event) {
    return static_cast<std::size_t>(
        std::count_if(Lines.begin(), Lines.end(), [&](const auto &Item) {
          return Item["event"] == Event;
        }));
  }

  LogPolicy m_policy;
  std::array<int, 2> m_pipe{};
  std::optional<EventLog> m_log;
};

TEST_F(EventLogTest, Write_TextNeedsEscapes_IsOneJsonLine) {
  m_log->write("start", {{"text", "a \"b\"\n\xff"}, {"number", 7}});
  const std::vector<nlohmann::json> Result = lines();
  ASSERT_EQ(Result.size(), 1U);
  EXPECT_EQ(Result[0]["event"], "start");
  EXPECT_EQ(Result[0]["host"], "host-1");
  EXPECT_EQ(Result[0]["number"], 7);
}

// Guards against losing lines about state changes under load because lines
// about requests use up the limit.
TEST_F(EventLogTest, Write_RequestLimitReached_StateLineIsWritten) {
  // Twice the limit, since a new second may begin during the loop.
  for (unsigned I = 0; I < 2 * m_policy.m_linesPerSecond; ++I)
    m_log->writeRequest("request", {{"id", I}});
  m_log->write("coordinator", {});
  const std::vector<nlohmann::json> Result = lines();
  EXPECT_EQ(count(Result, "coordinator"), 1U);
  EXPECT_EQ(count(Result, "log-dropped"), 1U);
  EXPECT_LE(count(Result, "request"), 2 * m_policy.m_requestLinesPerSecond);
}

} // namespace
} // namespace tamarackdrum::gateway
