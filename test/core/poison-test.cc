#include "tamarackdrum/poison.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace tamarackdrum {
namespace {

constexpr std::int64_t NowMs = 10000000;
constexpr Fingerprint Poison = 7;
constexpr Fingerprint Innocent = 8;

class PoisonTest : public testing::Test {
protected:
  PoisonPolicy m_policy;
  PoisonRegistry m_registry{m_policy};
};

TEST_F(PoisonTest, Fingerprint_SeenAtTwoCrashes_IsRefused) {
  m_registry.noteCrash(Poison, "s1", NowMs);
  EXPECT_FALSE(m_registry.isPoisoned(Poison, NowMs));
  m_registry.noteCrash(Poison, "s2", NowMs + 1);
  EXPECT_TRUE(m_registry.isPoisoned(Poison, NowMs + 1));
  EXPECT_FALSE(m_registry.isPoisoned(Innocent, NowMs + 1));
}

TEST_F(PoisonTest, Fingerprint_SeenTwiceAtOneCrash_IsNotRefused) {
  m_registry.noteCrash(Poison, "s1", NowMs);
  m_registry.noteCrash(Poison, "s1", NowMs + 2000);
  EXPECT_FALSE(m_registry.isPoisoned(Poison, NowMs + 2000));
  m_registry.noteCrash(Poison, "s1", NowMs + 2001);
  EXPECT_TRUE(m_registry.isPoisoned(Poison, NowMs + 2001));
}

TEST_F(PoisonTest, Fingerprint_AnsweredBetweenCrashes_IsNotRefused) {
  m_registry.noteCrash(Innocent, "s1", NowMs);
  m_registry.noteAnswered(Innocent, NowMs + 10);
  m_registry.noteCrash(Innocent, "s2", NowMs + 20);
  EXPECT_FALSE(m_registry.isPoisoned(Innocent, NowMs + 20));
}

TEST_F(PoisonTest, Fingerprint_AnsweredBefore_IsRefusedAfterFourCrashesOnly) {
  m_registry.noteAnswered(Innocent, NowMs);
  for (int Crash = 1; Crash <= 4; ++Crash) {
    EXPECT_FALSE(m_registry.isPoisoned(Innocent, NowMs + Crash));
    m_registry.noteCrash(Innocent, "s" + std::to_string(Crash), NowMs + Crash);
  }
  EXPECT_TRUE(m_registry.isPoisoned(Innocent, NowMs + 4));
}

// A host counts from the start of its machine. A request that was never
// answered must not seem to have been until that start is longer ago than the
// time to live.
TEST_F(PoisonTest, Fingerprint_NeverAnsweredSoonAfterBoot_IsRefusedAsEver) {
  const std::int64_t SoonMs = m_policy.m_timeToLive.count() / 2;
  m_registry.noteCrash(Poison, "s1", SoonMs);
  m_registry.noteCrash(Poison, "s2", SoonMs + 1);
  EXPECT_TRUE(m_registry.isPoisoned(Poison, SoonMs + 1));
  m_registry.noteAnswered(Innocent, SoonMs);
  m_registry.noteCrash(Innocent, "s1", SoonMs + 1);
  m_registry.noteCrash(Innocent, "s2", SoonMs + 2);
  EXPECT_FALSE(m_registry.isPoisoned(Innocent, SoonMs + 2));
}

TEST_F(PoisonTest, Answer_AfterTwoCrashes_VoidsThemForOthersOnce) {
  m_policy.m_crashesToVoid = 2;
  PoisonRegistry Own(m_policy);
  Own.noteCrash(Innocent, "s1", NowMs);
  EXPECT_TRUE(Own.noteAnswered(Innocent, NowMs + 1).empty());
  Own.noteCrash(Innocent, "s2", NowMs + 2);
  EXPECT_EQ(Own.noteAnswered(Innocent, NowMs + 3),
            (std::vector<std::string>{"s1", "s2"}));
  EXPECT_TRUE(Own.noteAnswered(Innocent, NowMs + 4).empty());
  Own.noteCrash(Innocent, "s3", NowMs + 5);
  EXPECT_TRUE(Own.noteAnswered(Innocent, NowMs + 6).empty());
}

// The report may arrive after the message that voids it.
TEST_F(PoisonTest, VoidCrash_BeforeOrAfterItsReport_DoesNotCount) {
  m_registry.noteCrash(Innocent, "s1", NowMs);
  m_registry.noteCrash(Innocent, "s2", NowMs);
  m_registry.noteCrash(Innocent, "s3", NowMs);
  EXPECT_TRUE(m_registry.isPoisoned(Innocent, NowMs));
  m_registry.voidCrash(Innocent, "s1", NowMs + 1);
  m_registry.voidCrash(Innocent, "s2", NowMs + 1);
  m_registry.voidCrash(Innocent, "s4", NowMs + 1);
  m_registry.noteCrash(Innocent, "s4", NowMs + 2);
  EXPECT_EQ(m_registry.verdict(Innocent, NowMs + 2),
            (PoisonVerdict{1, m_policy.m_crashesIfAnswered, true}));
}

TEST_F(PoisonTest, Crashes_MoreThanAreKept_TheLatestCount) {
  for (int Crash = 0; Crash < 40; ++Crash) {
    m_registry.noteCrash(Innocent, "a" + std::to_string(Crash), NowMs + Crash);
    m_registry.noteAnswered(Innocent, NowMs + Crash);
  }
  for (int Crash = 0; Crash < 4; ++Crash)
    m_registry.noteCrash(Innocent, "z" + std::to_string(Crash), NowMs + 100);
  EXPECT_TRUE(m_registry.isPoisoned(Innocent, NowMs + 100));
}

TEST_F(PoisonTest, Trial_AfterTimeWithoutCrash_IsDueUntilOneCrashes) {
  m_policy.m_trialDelay = Millis(100);
  const Millis Wait(150);
  PoisonRegistry Own(m_policy);
  Own.noteCrash(Poison, "s1", NowMs);
  EXPECT_FALSE(Own.isTrialDue(Poison, NowMs + 1000, Wait));
  Own.noteCrash(Poison, "s2", NowMs);
  Own.noteCrash(Poison, "s3", NowMs + 50);
  EXPECT_FALSE(Own.isTrialDue(Poison, NowMs + 199, Wait));
  EXPECT_TRUE(Own.isTrialDue(Poison, NowMs + 200, Wait));
  Own.noteTrial(Poison, NowMs + 200);
  EXPECT_FALSE(Own.isTrialDue(Poison, NowMs + 349, Wait));
  EXPECT_TRUE(Own.isTrialDue(Poison, NowMs + 350, Wait));
  Own.noteCrash(Poison, "s4", NowMs + 210);
  EXPECT_FALSE(Own.isTrialDue(Poison, NowMs + 1000, Wait));
}

TEST_F(PoisonTest, Evidence_OverItsTimeToLive_IsForgotten) {
  m_registry.noteCrash(Poison, "s1", NowMs);
  m_registry.noteCrash(Poison, "s2", NowMs);
  const std::int64_t End = NowMs + m_policy.m_timeToLive.count();
  EXPECT_TRUE(m_registry.isPoisoned(Poison, End - 1));
  EXPECT_FALSE(m_registry.isPoisoned(Poison, End));
}

TEST_F(PoisonTest, Registry_WhenFull_StaysBoundedAndDropsTheExpired) {
  m_policy.m_maxEntries = 2;
  PoisonRegistry Small(m_policy);
  for (Fingerprint Request = 1; Request <= 3; ++Request)
    Small.noteCrash(Request, "s1", NowMs);
  EXPECT_EQ(Small.snapshot().size(), 2U);
  Small.noteCrash(4, "s1", NowMs + m_policy.m_timeToLive.count());
  EXPECT_EQ(Small.snapshot().size(), 1U);
}

TEST_F(PoisonTest, Evidence_FromJson_IsTheSame) {
  m_registry.noteCrash(Poison, "s1", NowMs);
  m_registry.noteCrash(~Fingerprint(0), "s2", NowMs);
  m_registry.noteAnswered(Poison, NowMs + 1);
  m_registry.voidCrash(Innocent, "s1", NowMs);
  const std::vector<PoisonEvidence> Sent = m_registry.snapshot();
  EXPECT_EQ(evidenceFromJson(toJson(Sent)).value(), Sent);
  Json::Value Bad(Json::arrayValue);
  Bad.append("text");
  EXPECT_FALSE(evidenceFromJson(Bad));
}

std::vector<std::vector<PoisonEvidence>> drawMessages() {
  std::vector<std::vector<PoisonEvidence>> Out;
  const int Count = *rc::gen::inRange(1, 8);
  for (int I = 0; I < Count; ++I) {
    PoisonRegistry Source{PoisonPolicy()};
    for (int Note = 0; Note < 3; ++Note) {
      const Fingerprint Request = *rc::gen::inRange<Fingerprint>(1, 4);
      const std::int64_t At = NowMs + *rc::gen::inRange(0, 9000);
      const char *Server = *rc::gen::element("s1", "s2", "s3");
      const int Kind = *rc::gen::inRange(0, 4);
      if (Kind == 0)
        Source.noteAnswered(Request, At);
      else if (Kind == 1)
        Source.voidCrash(Request, Server, At);
      else
        Source.noteCrash(Request, Server, At);
    }
    Out.push_back(Source.snapshot());
  }
  return Out;
}

RC_GTEST_PROP(PoisonPropertyTest, Evidence_InAnyOrderAndTwice_MergesToTheSame,
              ()) {
  const std::vector<std::vector<PoisonEvidence>> Messages = drawMessages();
  PoisonRegistry Forward{PoisonPolicy()};
  PoisonRegistry Backward{PoisonPolicy()};
  for (const std::vector<PoisonEvidence> &Message : Messages)
    Forward.merge(Message, NowMs);
  for (int Round = 0; Round < 2; ++Round)
    for (auto Message = Messages.rbegin(); Message != Messages.rend();
         ++Message)
      Backward.merge(*Message, NowMs);
  RC_ASSERT(Forward.snapshot() == Backward.snapshot());
}

} // namespace
} // namespace tamarackdrum
