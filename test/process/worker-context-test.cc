#include "tamarackdrum/worker-context.h"

#include "process-group.h"

#include <gtest/gtest.h>

namespace tamarackdrum::test {
namespace {

namespace asio = boost::asio;

/// Notes its destruction, as a guard in a coroutine does.
class Guard {
public:
  explicit Guard(std::vector<std::string> &Order) : m_order(Order) {}
  Guard(const Guard &) = delete;
  Guard &operator=(const Guard &) = delete;
  ~Guard() { m_order.emplace_back("coroutine"); }

private:
  std::vector<std::string> &m_order;
};

class WorkerContextTest : public testing::Test {
protected:
  WorkerContextTest()
      : m_silent(m_context, {asio::ip::address_v4::loopback(), 0}) {}

  WorkerContext m_context;
  asio::ip::tcp::acceptor m_silent; ///< Takes connections, answers nothing.
  std::vector<std::string> m_order;
};

TEST_F(WorkerContextTest, DropPending_SuspendedCoroutine_IsDestroyedAtOnce) {
  const auto Wait = [this]() -> asio::awaitable<void> {
    const Guard Held(m_order);
    asio::steady_timer Never(m_context, Millis(3600000));
    co_await Never.async_wait(asio::use_awaitable);
  };
  asio::co_spawn(m_context, Wait, asio::detached);
  m_context.poll();
  m_context.dropPending();
  m_order.emplace_back("after");
  EXPECT_EQ(m_order, (std::vector<std::string>{"coroutine", "after"}));
}

TEST_F(WorkerContextTest, DropPending_CallWithoutAnswer_MayOutliveNoClient) {
  std::unique_ptr<HttpClient> Client =
      std::make_unique<HttpClient>(HttpClientLimits{});
  HttpRequest Request(boost::beast::http::verb::get, "/", 11);
  const auto Call = [&]() -> asio::awaitable<void> {
    co_await Client->send(m_silent.local_endpoint(), Request,
                          BootClock::now() + Millis(3600000));
  };
  asio::co_spawn(asio::make_strand(m_context), Call, asio::detached);
  asio::ip::tcp::socket Accepted(m_context);
  bool IsAccepted = false;
  m_silent.async_accept(
      Accepted, [&](boost::system::error_code Error) { IsAccepted = !Error; });
  while (!IsAccepted)
    m_context.run_one();
  m_context.poll();
  // The call gives its place back to the client that it was made by.
  m_context.dropPending();
  Client.reset();
}

} // namespace
} // namespace tamarackdrum::test
