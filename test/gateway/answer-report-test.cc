#include "tamarackdrum/gateway/answer-report.h"

#include <gtest/gtest.h>

namespace tamarackdrum::gateway {
namespace {

TEST(AnswerReportTest, Parse_ThreeFigures_DurationIsUsual) {
  EXPECT_EQ(parseReportedLoad("3,0,8"), (ReportedLoad{3, 0, 8, 100}));
}

TEST(AnswerReportTest, Parse_FourFigures_LastIsDuration) {
  EXPECT_EQ(parseReportedLoad("4,12,4,300"), (ReportedLoad{4, 12, 4, 300}));
}

// A damaged header must not make a server look idle or infinitely slow.
TEST(AnswerReportTest, Parse_Malformed_IsNothing) {
  for (const char *Text :
       {"", "3", "3,0", "3,0,", "3,0,8,", "3,0,8,100,1", "-3,0,8", "a,0,8",
        "3, 0,8", "3,0,8,0", "99999999999,0,8"})
    EXPECT_FALSE(parseReportedLoad(Text)) << Text;
}

TEST(AnswerReportTest, ParseColdTime_NoTime_IsNothing) {
  EXPECT_EQ(parseColdTime("1500"), Millis(1500));
  for (const char *Text : {"", "-1", "1.5", "x", "600001"})
    EXPECT_FALSE(parseColdTime(Text)) << Text;
}

} // namespace
} // namespace tamarackdrum::gateway
