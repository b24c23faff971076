/// \file
/// Structured log with limited volume and non-blocking output.

#ifndef TAMARACKDRUM_GATEWAY_EVENT_LOG_H
#define TAMARACKDRUM_GATEWAY_EVENT_LOG_H

#include "tamarackdrum/core.h"

#include <initializer_list>
#include <variant>

namespace tamarackdrum::gateway {

/// A named value of a log line.
struct LogField {
  std::string_view m_name;
  std::variant<std::string_view, std::int64_t, double, bool> m_value;

  LogField(std::string_view Name, std::string_view Value)
      : m_name(Name), m_value(Value) {}
  LogField(std::string_view Name, const std::string &Value)
      : m_name(Name), m_value(std::string_view(Value)) {}
  LogField(std::string_view Name, const char *Value)
      : m_name(Name), m_value(std::string_view(Value)) {}
  LogField(std::string_view Name, bool Value) : m_name(Name), m_value(Value) {}
  LogField(std::string_view Name, double Value)
      : m_name(Name), m_value(Value) {}
  LogField(std::string_view Name, Millis Value)
      : m_name(Name), m_value(static_cast<std::int64_t>(Value.count())) {}
  template <std::integral T>
  LogField(std::string_view Name, T Value)
      : m_name(Name), m_value(static_cast<std::int64_t>(Value)) {}
};

/// Limits of the log.
struct LogPolicy {
  /// Lines per second; further lines are dropped and counted.
  unsigned m_linesPerSecond = 300;
  /// Part of these for lines about single requests, so that lines about the
  /// state of the process are not dropped under load.
  unsigned m_requestLinesPerSecond = 200;
  /// Bytes buffered while the reader of the output is slow.
  std::size_t m_bufferBytes = 256U << 10U;

  bool operator==(const LogPolicy &) const = default;
};

/// Writes JSON lines such as
/// `{"unix_ms":1712,"host":"h1","event":"stop","reason":"signal"}`.
class EventLog {
public:
  EventLog(LogPolicy Policy, std::string Host, int Descriptor);

  /// Writes a line about the state or an action of the process.
  void write(std::string_view Event, std::initializer_list<LogField> Fields);

  /// Writes a line about a single request.
  void writeRequest(std::string_view Event,
                    std::initializer_list<LogField> Fields);

  /// Writes buffered lines to the descriptor as far as it accepts them without
  /// blocking.
  void flush();

  /// Returns the number of lines dropped since the start.
  std::uint64_t droppedLines() const { return m_droppedLines; }

private:
  /// Counts a line against the limits. Returns false and counts it as dropped
  /// if they are reached.
  bool reserveLine(bool IsRequest);
  void appendLine(std::string_view Event,
                  std::initializer_list<LogField> Fields);

  const LogPolicy m_policy;
  const std::string m_host;
  const int m_descriptor;
  std::string m_buffer;
  std::int64_t m_currentSecond = 0;
  unsigned m_linesInSecond = 0;
  unsigned m_requestLinesInSecond = 0;
  std::uint64_t m_droppedLines = 0;
  std::uint64_t m_reportedDroppedLines = 0;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_EVENT_LOG_H
