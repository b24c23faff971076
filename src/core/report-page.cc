#include "tamarackdrum/report-page.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <iomanip>
#include <sstream>

namespace tamarackdrum {
namespace {

constexpr int ChartWidth = 960;
constexpr int ChartLeft = 120;
constexpr int LaneHeight = 44;
constexpr int ChartColumns = 240;
constexpr std::int64_t MillisPerSecond = 1000;

std::string escapeHtml(const std::string &Text) {
  std::string Out;
  for (const char Letter : Text) {
    if (Letter == '<')
      Out += "&lt;";
    else if (Letter == '>')
      Out += "&gt;";
    else if (Letter == '&')
      Out += "&amp;";
    else if (Letter == '"')
      Out += "&quot;";
    else
      Out += Letter;
  }
  return Out;
}

std::string formatTime(std::int64_t UnixMillis) {
  const std::time_t Seconds = UnixMillis / MillisPerSecond;
  std::tm Parts{};
  ::gmtime_r(&Seconds, &Parts);
  std::ostringstream Out;
  Out << std::put_time(&Parts, "%Y-%m-%dT%H:%M:%S") << '.' << std::setw(3)
      << std::setfill('0') << UnixMillis % MillisPerSecond << 'Z';
  return Out.str();
}

std::string formatNumber(double Value, int Digits) {
  std::ostringstream Out;
  Out << std::fixed << std::setprecision(Digits) << Value;
  return Out.str();
}

std::string formatShare(std::uint64_t Part, std::uint64_t Whole) {
  if (Whole == 0)
    return "-";
  return formatNumber(100.0 * static_cast<double>(Part) /
                          static_cast<double>(Whole),
                      3) +
         "%";
}

using Row = std::array<std::string, 11>;

const Row Header = {"CLASS",     "CALLS",   "ANSWERED",  "IN-LATENCY",
                    "IMBALANCE", "CHURN",   "UNAVAIL-S", "TARGET",
                    "BURN-5M",   "BURN-1H", "HOURS-LEFT"};

Row toRow(const ClassReport &Class) {
  return {Class.m_workClass,
          std::to_string(Class.m_calls),
          formatShare(Class.m_answered, Class.m_calls),
          formatShare(Class.m_good, Class.m_answered),
          Class.m_imbalance ? formatNumber(*Class.m_imbalance, 2) : "-",
          std::to_string(Class.m_churn),
          formatNumber(
              std::chrono::duration<double>(Class.m_unavailable).count(), 1),
          formatNumber(100 * Class.m_target, 3) + "%",
          formatNumber(Class.m_fastBurn, 2),
          formatNumber(Class.m_slowBurn, 2),
          Class.m_hoursLeft ? formatNumber(*Class.m_hoursLeft, 0) : "-"};
}

void printRow(std::ostream &Out, const Row &Cells) {
  constexpr int CellWidth = 11;
  Out << std::left << std::setw(CellWidth) << Cells[0] << std::right;
  for (std::size_t I = 1; I < Cells.size(); ++I)
    Out << ' ' << std::setw(CellWidth) << Cells[I];
  Out << '\n';
}

/// Says which processes the report covers, one line each.
std::vector<std::string> coverage(const SloReport &Report) {
  std::vector<std::string> Out;
  Out.push_back("window " + formatTime(Report.m_window.m_from) + " to " +
                formatTime(Report.m_window.m_to) + ", " +
                std::to_string(Report.m_processes.size()) + " processes");
  for (const MissingProcess &Missing : Report.m_missing)
    Out.push_back("NOT REACHED: " + Missing.m_process + " (" +
                  Missing.m_reason + "): its calls are not in this report");
  for (const std::string &Process : Report.m_partial)
    Out.push_back("partial: " + Process + " began to record in the window");
  return Out;
}

std::string describe(const TimelineEvent &Event) {
  switch (Event.m_kind) {
  case EventKind::LeaseLost:
    return Event.m_subject + " lost its lease";
  case EventKind::LeaseHeld:
    return Event.m_subject + " holds a lease again";
  case EventKind::ServerChanged:
    break;
  }
  return Event.m_subject + " " + Event.m_detail + ", generation " +
         std::to_string(Event.m_generation);
}

std::string describe(const MoveEvent &Move) {
  return Move.m_workClass + ": " + std::to_string(Move.m_moves) +
         " slices changed owner, generation " +
         std::to_string(Move.m_generation);
}

/// Horizontal position of a time in the chart.
double positionOf(const SloReport &Report, std::int64_t Time) {
  const double Length =
      static_cast<double>(Report.m_window.m_to - Report.m_window.m_from);
  const double Part =
      Length <= 0 ? 0
                  : static_cast<double>(Time - Report.m_window.m_from) / Length;
  return ChartLeft + Part * (ChartWidth - ChartLeft);
}

void printLaneName(std::ostream &Out, int Lane, const std::string &Name) {
  Out << "<text x=\"0\" y=\"" << Lane * LaneHeight + 28 << "\">"
      << escapeHtml(Name) << "</text><line x1=\"" << ChartLeft << "\" x2=\""
      << ChartWidth << "\" y1=\"" << (Lane + 1) * LaneHeight << "\" y2=\""
      << (Lane + 1) * LaneHeight << "\" stroke=\"#ccc\"/>\n";
}

/// Prints a mark with a tool tip.
void printMark(std::ostream &Out, const SloReport &Report, int Lane,
               std::int64_t Time, const char *Colour, const std::string &Text) {
  Out << "<rect x=\"" << positionOf(Report, Time) - 2 << "\" y=\""
      << Lane * LaneHeight + 6 << "\" width=\"5\" height=\"" << LaneHeight - 10
      << "\" fill=\"" << Colour << "\"><title>" << formatTime(Time) << " "
      << escapeHtml(Text) << "</title></rect>\n";
}

/// Calls of one column of the chart.
struct ColumnCalls {
  std::uint64_t m_answered = 0;
  std::uint64_t m_refused = 0;
};

std::vector<ColumnCalls> toColumns(const SloReport &Report,
                                   const std::vector<CallBucket> &Calls) {
  std::vector<ColumnCalls> Out(ChartColumns);
  const std::int64_t Length =
      std::max<std::int64_t>(1, Report.m_window.m_to - Report.m_window.m_from);
  for (const CallBucket &Bucket : Calls) {
    const std::int64_t Offset =
        Bucket.m_index * BucketWidth.count() - Report.m_window.m_from;
    ColumnCalls &Column = Out[static_cast<std::size_t>(std::clamp<std::int64_t>(
        Offset * ChartColumns / Length, 0, ChartColumns - 1))];
    Column.m_answered += Bucket.m_answered;
    Column.m_refused += Bucket.m_calls - Bucket.m_answered;
  }
  return Out;
}

/// Prints the calls of a class: answered in grey, the others in red on top.
void printCalls(std::ostream &Out, const SloReport &Report, int Lane,
                const std::vector<CallBucket> &Calls) {
  const std::vector<ColumnCalls> Columns = toColumns(Report, Calls);
  std::uint64_t Largest = 1;
  for (const ColumnCalls &Column : Columns)
    Largest = std::max(Largest, Column.m_answered + Column.m_refused);
  const double Width =
      static_cast<double>(ChartWidth - ChartLeft) / ChartColumns;
  const double Scale = (LaneHeight - 6) / static_cast<double>(Largest);
  for (std::size_t I = 0; I < Columns.size(); ++I) {
    const double Answered = Scale * static_cast<double>(Columns[I].m_answered);
    const double Refused = Scale * static_cast<double>(Columns[I].m_refused);
    const double Left = ChartLeft + Width * static_cast<double>(I);
    const double Bottom = (Lane + 1) * LaneHeight;
    if (Answered > 0)
      Out << "<rect x=\"" << Left << "\" y=\"" << Bottom - Answered
          << "\" width=\"" << Width << "\" height=\"" << Answered
          << "\" fill=\"#9ab\"/>";
    if (Refused > 0)
      Out << "<rect x=\"" << Left << "\" y=\"" << Bottom - Answered - Refused
          << "\" width=\"" << Width << "\" height=\"" << Refused
          << "\" fill=\"#c22\"><title>" << Columns[I].m_refused
          << " not answered</title></rect>";
  }
  Out << '\n';
}

void printChart(std::ostream &Out, const SloReport &Report) {
  const int Lanes = static_cast<int>(Report.m_calls.size()) + 3;
  Out << "<svg viewBox=\"0 0 " << ChartWidth << ' ' << Lanes * LaneHeight + 24
      << "\" width=\"100%\" font-family=\"sans-serif\" font-size=\"13\">\n";
  int Lane = 0;
  for (const CallsByClass::value_type &Entry : Report.m_calls) {
    printLaneName(Out, Lane, Entry.first);
    printCalls(Out, Report, Lane, Entry.second);
    ++Lane;
  }
  printLaneName(Out, Lane, "moves");
  for (const MoveEvent &Move : Report.m_moves)
    printMark(Out, Report, Lane, Move.m_unixMillis, "#27a", describe(Move));
  printLaneName(Out, Lane + 1, "servers");
  printLaneName(Out, Lane + 2, "leases");
  for (const TimelineEvent &Event : Report.m_events) {
    const bool IsServer = Event.m_kind == EventKind::ServerChanged;
    const bool IsLost = Event.m_kind == EventKind::LeaseLost;
    printMark(Out, Report, Lane + (IsServer ? 1 : 2), Event.m_unixMillis,
              IsServer ? "#d80" : (IsLost ? "#c22" : "#2a2"), describe(Event));
  }
  const int Bottom = Lanes * LaneHeight + 18;
  Out << "<text x=\"" << ChartLeft << "\" y=\"" << Bottom << "\">"
      << formatTime(Report.m_window.m_from) << "</text><text x=\"" << ChartWidth
      << "\" y=\"" << Bottom << "\" text-anchor=\"end\">"
      << formatTime(Report.m_window.m_to) << "</text>\n</svg>\n";
}

void printHtmlRow(std::ostream &Out, const Row &Cells, const char *Tag) {
  Out << "<tr>";
  for (const std::string &Cell : Cells)
    Out << '<' << Tag << '>' << escapeHtml(Cell) << "</" << Tag << '>';
  Out << "</tr>\n";
}

/// Returns moves and events as lines, sorted by time.
std::vector<std::pair<std::int64_t, std::string>>
eventLines(const SloReport &Report) {
  std::vector<std::pair<std::int64_t, std::string>> Lines;
  for (const MoveEvent &Move : Report.m_moves)
    Lines.emplace_back(Move.m_unixMillis, describe(Move));
  for (const TimelineEvent &Event : Report.m_events)
    Lines.emplace_back(Event.m_unixMillis, describe(Event));
  std::stable_sort(Lines.begin(), Lines.end(),
                   [](const std::pair<std::int64_t, std::string> &Left,
                      const std::pair<std::int64_t, std::string> &Right) {
                     return Left.first < Right.first;
                   });
  return Lines;
}

} // namespace

std::string toText(const SloReport &Report) {
  std::ostringstream Out;
  for (const std::string &Line : coverage(Report))
    Out << Line << '\n';
  printRow(Out, Header);
  for (const ClassReport &Class : Report.m_classes)
    printRow(Out, toRow(Class));
  return Out.str();
}

std::string toHtml(const SloReport &Report) {
  std::ostringstream Out;
  Out << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
         "<title>tamarackdrum report</title><style>body{font-family:sans-serif;"
         "max-width:70em;margin:2em auto}td,th{padding:.2em .6em;text-align:"
         "right}td:first-child,th:first-child{text-align:left}</style></head>"
         "<body>\n<h1>tamarackdrum report</h1>\n";
  for (const std::string &Line : coverage(Report))
    Out << "<p>" << escapeHtml(Line) << "</p>\n";
  Out << "<table>\n";
  printHtmlRow(Out, Header, "th");
  for (const ClassReport &Class : Report.m_classes)
    printHtmlRow(Out, toRow(Class), "td");
  Out << "</table>\n<h2>Time line</h2>\n"
         "<p>Calls by class: answered in grey, not answered in red.</p>\n";
  printChart(Out, Report);
  Out << "<h2>Events</h2>\n<ul>\n";
  for (const std::pair<std::int64_t, std::string> &Line : eventLines(Report))
    Out << "<li>" << formatTime(Line.first) << ' ' << escapeHtml(Line.second)
        << "</li>\n";
  Out << "</ul>\n</body></html>\n";
  return Out.str();
}

} // namespace tamarackdrum
