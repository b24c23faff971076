#include "tamarackdrum/peek.h"

#include <gtest/gtest.h>

#include <array>
#include <sys/socket.h>
#include <unistd.h>

namespace tamarackdrum {
namespace {

class PeekTest : public testing::Test {
protected:
  PeekTest() { ::socketpair(AF_UNIX, SOCK_STREAM, 0, m_ends.data()); }
  ~PeekTest() override {
    ::close(m_ends[0]);
    closePeer();
  }

  void closePeer() {
    if (m_ends[1] >= 0)
      ::close(m_ends[1]);
    m_ends[1] = -1;
  }

  std::array<int, 2> m_ends{-1, -1};
};

TEST_F(PeekTest, Peek_NothingArrived_IsSilent) {
  EXPECT_EQ(peek(m_ends[0]), PeekResult::Silent);
}

TEST_F(PeekTest, Peek_BytesArrived_TheyStay) {
  ASSERT_EQ(::write(m_ends[1], "x", 1), 1);
  EXPECT_EQ(peek(m_ends[0]), PeekResult::Bytes);
  EXPECT_EQ(peek(m_ends[0]), PeekResult::Bytes);
}

TEST_F(PeekTest, Peek_PeerClosed_IsClosed) {
  closePeer();
  EXPECT_EQ(peek(m_ends[0]), PeekResult::Closed);
}

} // namespace
} // namespace tamarackdrum
