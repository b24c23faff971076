#include "tamarackdrum/host-list.h"

#include <gtest/gtest.h>

namespace tamarackdrum {
namespace {

/// A group of two.
class MemberWatchTest : public testing::Test {
protected:
  MemberWatchTest() {
    m_view.m_members = {{"entry-1", "", ""}, {"entry-2", "", ""}};
  }

  View m_view;
  MemberWatch m_watch;
};

TEST_F(MemberWatchTest, NeverListed_IsNotDropped) {
  m_watch.noteList({"entry-1"});
  EXPECT_TRUE(m_watch.droppedMembers(m_view).empty());
}

TEST_F(MemberWatchTest, ListedAndThenNot_IsDropped) {
  m_watch.noteList({"entry-1", "entry-2"});
  m_watch.noteList({"entry-1"});
  EXPECT_EQ(m_watch.droppedMembers(m_view),
            std::vector<std::string>{"entry-2"});
}

} // namespace
} // namespace tamarackdrum
