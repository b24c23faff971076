#include "tamarackdrum/outcome.h"

#include "tamarackdrum/error.h"

#include <gtest/gtest.h>

namespace tamarackdrum {
namespace {

TEST(Verdict_OfFailure, BeforeAnyByteWasSent_IsNotRun) {
  for (const HttpErrc Code : {HttpErrc::ConnectFailed, HttpErrc::PoolExhausted,
                              HttpErrc::ConnectTimedOut}) {
    const Verdict Got = verdictOfFailure(Code);
    EXPECT_EQ(Got.m_outcome, Outcome::NotRun);
    EXPECT_GT(Got.m_retryAfter, Millis(0));
  }
}

TEST(Verdict_OfFailure, AfterAByteWasSent_IsUnknown) {
  for (const HttpErrc Code :
       {HttpErrc::SendFailed, HttpErrc::ReplyTorn, HttpErrc::TimedOut})
    EXPECT_EQ(verdictOfFailure(Code).m_outcome, Outcome::Unknown);
}

TEST(Verdict_OfReply, RefusedBeforeRun_IsNotRunWithTheServersWish) {
  const Verdict Got = verdictOfReply({503, true, Millis(2000)});
  EXPECT_EQ(Got.m_outcome, Outcome::NotRun);
  EXPECT_EQ(Got.m_reason, RouteErrc::ServerRefused);
  EXPECT_EQ(Got.m_retryAfter, Millis(2000));
  EXPECT_EQ(verdictOfReply({504, true}).m_outcome, Outcome::NotRun);
}

TEST(Verdict_OfReply, WithoutTheProof_IsNeverNotRun) {
  EXPECT_EQ(verdictOfReply({503, false}).m_outcome, Outcome::Answered);
  EXPECT_EQ(verdictOfReply({504, false}).m_outcome, Outcome::Unknown);
  EXPECT_EQ(verdictOfReply({200, true}).m_outcome, Outcome::Answered);
}

TEST(Verdict_OfRefusal, ThatIsFinal_GivesNoTimeToComeBack) {
  for (const RouteErrc Code : {RouteErrc::UnknownClass, RouteErrc::IdMissing,
                               RouteErrc::Poisoned, RouteErrc::DeadlinePassed})
    EXPECT_EQ(verdictOfRefusal(Code).m_retryAfter, Millis(0));
  EXPECT_GT(verdictOfRefusal(RouteErrc::Overloaded).m_retryAfter, Millis(0));
}

TEST(Repeatable, OnceOnlyAfterUnknown_IsNever) {
  ClassTarget Orders;
  Orders.m_onceOnly = true;
  const Verdict Torn = verdictOfFailure(HttpErrc::ReplyTorn);
  EXPECT_FALSE(isRepeatable(Torn, Orders));
  EXPECT_TRUE(isRepeatable(verdictOfFailure(HttpErrc::ConnectFailed), Orders));
  EXPECT_TRUE(isRepeatable(Torn, ClassTarget{}));
  EXPECT_FALSE(isRepeatable(Verdict{}, ClassTarget{}));
}

TEST(Combine, NotRunAfterUnknown_StaysUnknown) {
  const Verdict Torn = verdictOfFailure(HttpErrc::ReplyTorn);
  const Verdict Refused = verdictOfRefusal(RouteErrc::Overloaded);
  EXPECT_EQ(combine(Torn, Refused), Torn);
  EXPECT_EQ(combine(Refused, Torn), Torn);
  EXPECT_EQ(combine(Torn, Verdict{}), Verdict{});
}

} // namespace
} // namespace tamarackdrum
