#include "tamarackdrum/gateway/event-log.h"

#include <iterator>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <spdlog/fmt/fmt.h>
#include <unistd.h>

namespace tamarackdrum::gateway {
namespace {

/// Largest single write: PIPE_BUF, up to which a write does not block if poll()
/// reports the pipe as writable.
constexpr std::size_t PieceBytes = 4096;

/// Returns whether \p Text needs no escapes in JSON.
bool isPlain(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), [](char Byte) {
    return Byte >= ' ' && Byte < 0x7f && Byte != '"' && Byte != '\\';
  });
}

void appendValue(std::string &Out, std::string_view Text) {
  if (isPlain(Text)) {
    Out.append("\"").append(Text).append("\"");
    return;
  }
  Out += nlohmann::json(Text).dump(-1, ' ', true,
                                   nlohmann::json::error_handler_t::replace);
}

void appendValue(std::string &Out, std::int64_t Value) {
  fmt::format_to(std::back_inserter(Out), "{}", Value);
}

void appendValue(std::string &Out, double Value) {
  fmt::format_to(std::back_inserter(Out), "{:.3f}", Value);
}

void appendValue(std::string &Out, bool Value) {
  Out += Value ? "true" : "false";
}

} // namespace

EventLog::EventLog(LogPolicy Policy, std::string Host, int Descriptor)
    : m_policy(Policy), m_host(std::move(Host)), m_descriptor(Descriptor) {}

bool EventLog::reserveLine(bool IsRequest) {
  const std::int64_t Second = std::chrono::duration_cast<std::chrono::seconds>(
                                  BootClock::now().time_since_epoch())
                                  .count();
  if (Second != m_currentSecond) {
    m_currentSecond = Second;
    m_linesInSecond = 0;
    m_requestLinesInSecond = 0;
  }
  const bool HasRoom =
      m_linesInSecond < m_policy.m_linesPerSecond &&
      m_buffer.size() < m_policy.m_bufferBytes &&
      (!IsRequest || m_requestLinesInSecond < m_policy.m_requestLinesPerSecond);
  if (!HasRoom) {
    ++m_droppedLines;
    return false;
  }
  ++m_linesInSecond;
  m_requestLinesInSecond += IsRequest ? 1 : 0;
  return true;
}

void EventLog::write(std::string_view Event,
                     std::initializer_list<LogField> Fields) {
  if (reserveLine(false))
    appendLine(Event, Fields);
}

void EventLog::writeRequest(std::string_view Event,
                            std::initializer_list<LogField> Fields) {
  if (reserveLine(true))
    appendLine(Event, Fields);
}

void EventLog::appendLine(std::string_view Event,
                          std::initializer_list<LogField> Fields) {
  fmt::format_to(std::back_inserter(m_buffer),
                 R"({{"unix_ms":{},"host":"{}","event":"{}")", unixMillis(),
                 m_host, Event);
  for (const LogField &Item : Fields) {
    m_buffer.append(",\"").append(Item.m_name).append("\":");
    std::visit([this](const auto &Value) { appendValue(m_buffer, Value); },
               Item.m_value);
  }
  m_buffer += "}\n";
}

void EventLog::flush() {
  if (m_droppedLines != m_reportedDroppedLines) {
    const std::uint64_t Count = m_droppedLines - m_reportedDroppedLines;
    m_reportedDroppedLines = m_droppedLines;
    fmt::format_to(std::back_inserter(m_buffer),
                   "{{\"unix_ms\":{},\"host\":\"{}\",\"event\":\"log-dropped\","
                   "\"lines\":{}}}\n",
                   unixMillis(), m_host, Count);
  }
  std::size_t Written = 0;
  while (Written < m_buffer.size()) {
    pollfd Ready{m_descriptor, POLLOUT, 0};
    if (::poll(&Ready, 1, 0) != 1 || (Ready.revents & POLLOUT) == 0)
      break;
    const std::size_t Length = std::min(PieceBytes, m_buffer.size() - Written);
    const ssize_t Count =
        ::write(m_descriptor, m_buffer.data() + Written, Length);
    // A failure of the output cannot be reported. The lines stay buffered, and
    // new ones count as dropped once the buffer is full.
    if (Count <= 0)
      break;
    Written += static_cast<std::size_t>(Count);
  }
  m_buffer.erase(0, Written);
}

} // namespace tamarackdrum::gateway
