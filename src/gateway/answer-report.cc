#include "tamarackdrum/gateway/answer-report.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace tamarackdrum::gateway {
namespace {

constexpr std::size_t RequiredFigures = 3;
constexpr std::size_t MaxFigures = 4;

} // namespace

std::optional<ReportedLoad> parseReportedLoad(std::string_view Text) {
  std::array<unsigned, MaxFigures> Figures{0, 0, 0, 100};
  std::size_t Count = 0;
  const char *Next = Text.data();
  const char *const End = Text.data() + Text.size();
  while (Count < MaxFigures) {
    const auto [Rest, Error] = std::from_chars(Next, End, Figures.at(Count));
    if (Error != std::errc())
      return std::nullopt;
    ++Count;
    Next = Rest;
    if (Next == End)
      break;
    if (*Next != ',')
      return std::nullopt;
    ++Next;
  }
  if (Next != End || Count < RequiredFigures || Figures[3] == 0)
    return std::nullopt;
  return ReportedLoad{Figures[0], Figures[1], Figures[2], Figures[3]};
}

std::optional<Millis> parseColdTime(std::string_view Text) {
  std::int64_t Value = 0;
  const char *const End = Text.data() + Text.size();
  const auto [Rest, Error] = std::from_chars(Text.data(), End, Value);
  if (Error != std::errc() || Rest != End || Value < 0 ||
      Value > MaxColdTime.count())
    return std::nullopt;
  return Millis(Value);
}

} // namespace tamarackdrum::gateway
