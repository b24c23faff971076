// Messages of a kind that a host does not know, as hosts of a later version may
// send them during an upgrade.

#include "gateway-host-fixture.h"

#include "tamarackdrum/gateway/peer-message.h"

#include <nlohmann/json.hpp>

namespace tamarackdrum::gateway {
namespace {

using namespace test;

class UnknownMessageTest : public GatewayHostTest {
protected:
  /// A connection of a peer to the first host.
  struct Link {
    bool m_isClosed = false;
    std::string m_received;
  };

  static std::string hello() {
    std::string Out;
    // A host with a small processor share does not become a candidate.
    encode(HelloMessage{{"later", "127.0.0.9", "zone-a", 9, 1}, {}, false},
           Out);
    return Out;
  }

  static std::string unknownMessage() {
    const std::vector<std::uint8_t> Body = nlohmann::json::to_msgpack(
        {5, std::variant_size_v<PeerMessage>, {"anything"}});
    std::string Out(4, '\0');
    Out.back() = static_cast<char>(Body.size());
    Out.append(Body.begin(), Body.end());
    return Out;
  }

  asio::awaitable<void> run(std::string Bytes, std::shared_ptr<Link> Out) {
    asio::ip::tcp::socket Socket(m_context);
    const Endpoint Peer(asio::ip::address_v4::loopback(), m_peerPort);
    const auto [Error] = co_await Socket.async_connect(Peer, UseTuple);
    EXPECT_FALSE(Error);
    co_await asio::async_write(Socket, asio::buffer(Bytes), UseTuple);
    std::string Piece(4096, '\0');
    while (!Out->m_isClosed) {
      const auto [ReadError, Count] =
          co_await Socket.async_read_some(asio::buffer(Piece), UseTuple);
      Out->m_received.append(Piece, 0, Count);
      Out->m_isClosed = static_cast<bool>(ReadError);
    }
  }

  /// Sends \p Bytes over a new link.
  std::shared_ptr<Link> open(std::string Bytes) {
    const std::shared_ptr<Link> Out = std::make_shared<Link>();
    asio::co_spawn(m_context, run(std::move(Bytes), Out), asio::detached);
    return Out;
  }
};

// A host that went on after such a message, or ended, would lose more than the
// link to the later version.
TEST_F(UnknownMessageTest, Link_UnknownKind_IsClosedAndHostServesOn) {
  startAll();
  std::string Question = hello();
  encode(StateRequest{true, true}, Question);
  const std::shared_ptr<Link> Other = open(Question);
  ASSERT_TRUE(runUntil([Other] { return !Other->m_received.empty(); }));
  const std::shared_ptr<Link> Damaged = open(hello() + unknownMessage());
  EXPECT_TRUE(runUntil([Damaged] { return Damaged->m_isClosed; }));
  EXPECT_TRUE(m_hosts[0]->isReady());
  EXPECT_EQ(send(get("/web/")).m_status, 200U);
  EXPECT_FALSE(Other->m_isClosed);
  const std::shared_ptr<Link> Next = open(Question);
  EXPECT_TRUE(runUntil([Next] { return !Next->m_received.empty(); }));
  EXPECT_FALSE(Next->m_isClosed);
}

} // namespace
} // namespace tamarackdrum::gateway
