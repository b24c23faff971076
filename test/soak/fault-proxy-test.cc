#include "fault-proxy.h"

#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <thread>

namespace tamarackdrum::soak {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// The proxy runs on its own thread; the test is both client and target.
class FaultProxyTest : public testing::Test {
protected:
  FaultProxyTest()
      : m_target(m_endpointContext, {asio::ip::address_v4::loopback(), 0}),
        m_clientSocket(m_endpointContext), m_targetSocket(m_endpointContext) {
    m_subject.emplace(m_context,
                      tcp::endpoint{asio::ip::address_v4::loopback(), 0},
                      m_target.local_endpoint());
    m_address = m_subject->address();
    m_thread = std::thread([this] { m_context.run(); });
  }
  ~FaultProxyTest() override {
    inContext([this] { m_subject.reset(); });
    m_context.stop();
    m_thread.join();
  }

  template <typename Action> void inContext(Action Wanted) {
    asio::post(m_context, asio::use_future(Wanted)).get();
  }

  void connect() {
    m_clientSocket.connect(m_address);
    m_target.accept(m_targetSocket);
  }

  static void send(tcp::socket &To, const std::string &Text) {
    asio::write(To, asio::buffer(Text));
  }

  /// Returns \p Count bytes, or those that came before an error.
  static std::string receive(tcp::socket &From, std::size_t Count) {
    std::string Out(Count, ' ');
    boost::system::error_code Error;
    Out.resize(asio::read(From, asio::buffer(Out), Error));
    return Out;
  }

  asio::io_context m_endpointContext;
  tcp::acceptor m_target;
  tcp::socket m_clientSocket;
  tcp::socket m_targetSocket;
  asio::io_context m_context{1};
  std::optional<FaultProxy> m_subject;
  tcp::endpoint m_address;
  std::thread m_thread;
};

TEST_F(FaultProxyTest, Forward_NoFault_BothDirectionsWork) {
  connect();
  send(m_clientSocket, "there");
  EXPECT_EQ(receive(m_targetSocket, 5), "there");
  send(m_targetSocket, "back");
  EXPECT_EQ(receive(m_clientSocket, 4), "back");
}

TEST_F(FaultProxyTest, Silent_BytesAreDropped_ConnectionEndsWithTheFault) {
  connect();
  inContext([this] { m_subject->setFault(LinkFault::Silent); });
  send(m_clientSocket, "lost");
  std::this_thread::sleep_for(Millis(100));
  EXPECT_EQ(m_targetSocket.available(), 0U);
  inContext([this] { m_subject->setFault(LinkFault::None); });
  EXPECT_EQ(receive(m_targetSocket, 4), "");
  EXPECT_EQ(receive(m_clientSocket, 1), "");
}

TEST_F(FaultProxyTest, DropFromTarget_OnlyAnswersAreDropped) {
  connect();
  inContext([this] { m_subject->setFault(LinkFault::DropFromTarget); });
  send(m_clientSocket, "there");
  EXPECT_EQ(receive(m_targetSocket, 5), "there");
  send(m_targetSocket, "back");
  std::this_thread::sleep_for(Millis(100));
  EXPECT_EQ(m_clientSocket.available(), 0U);
}

TEST_F(FaultProxyTest, Delayed_BytesArriveLater) {
  connect();
  inContext([this] { m_subject->setFault(LinkFault::Delayed, Millis(150)); });
  const TimePoint Sent = BootClock::now();
  send(m_clientSocket, "there");
  EXPECT_EQ(receive(m_targetSocket, 5), "there");
  EXPECT_GE(BootClock::now() - Sent, Millis(140));
}

TEST_F(FaultProxyTest, Held_SenderCloses_BytesArriveAfterTheFault) {
  connect();
  inContext([this] { m_subject->setFault(LinkFault::Held); });
  send(m_clientSocket, "late");
  m_clientSocket.close();
  std::this_thread::sleep_for(Millis(100));
  EXPECT_EQ(m_targetSocket.available(), 0U);
  inContext([this] { m_subject->setFault(LinkFault::None); });
  EXPECT_EQ(receive(m_targetSocket, 4), "late");
}

TEST_F(FaultProxyTest, Held_SenderResets_BytesAreLost) {
  connect();
  inContext([this] { m_subject->setFault(LinkFault::Held); });
  send(m_clientSocket, "lost");
  m_clientSocket.set_option(asio::socket_base::linger(true, 0));
  m_clientSocket.close();
  std::this_thread::sleep_for(Millis(100));
  inContext([this] { m_subject->setFault(LinkFault::None); });
  EXPECT_EQ(receive(m_targetSocket, 4), "");
}

TEST_F(FaultProxyTest, Refused_NewConnectionsAreReset) {
  inContext([this] { m_subject->setFault(LinkFault::Refused); });
  m_clientSocket.connect(m_address);
  EXPECT_EQ(receive(m_clientSocket, 1), "");
}

TEST_F(FaultProxyTest, ResetConnections_OpenConnectionsEnd) {
  connect();
  send(m_clientSocket, "there");
  EXPECT_EQ(receive(m_targetSocket, 5), "there");
  inContext([this] { m_subject->resetConnections(); });
  EXPECT_EQ(receive(m_clientSocket, 1), "");
}

} // namespace
} // namespace tamarackdrum::soak
