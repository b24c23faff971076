#include "tamarackdrum/error.h"

#include <array>
#include <string>

namespace tamarackdrum {
namespace {

/// Category whose messages are a table indexed by code value.
template <std::size_t Size> class TableCategory : public std::error_category {
public:
  TableCategory(const char *Name, std::array<const char *, Size> Messages)
      : m_name(Name), m_messages(Messages) {}

  const char *name() const noexcept override { return m_name; }

  std::string message(int Code) const override {
    const std::size_t Index = static_cast<std::size_t>(Code);
    return Index < Size ? m_messages[Index] : "unknown";
  }

private:
  const char *m_name;
  std::array<const char *, Size> m_messages;
};

const TableCategory<16> RouteCategory(
    "route",
    {"ok", "unknown-class", "key-missing", "request-id-missing", "no-lease",
     "slice-moving", "no-server", "overloaded", "poisoned", "stopping",
     "retry-budget-exhausted", "claim-unavailable", "deadline-invalid",
     "deadline-passed", "server-refused", "server-cancelled"});
const TableCategory<5> TableServiceCategory("table", {"ok", "table-unavailable",
                                                      "conflict", "unsettled",
                                                      "malformed-reply"});
const TableCategory<7>
    HttpCategory("http", {"ok", "connect-failed", "send-failed", "reply-torn",
                          "timed-out", "pool-exhausted", "connect-timed-out"});
const TableCategory<9> ChangeCategory("change",
                                      {"ok", "malformed", "unknown-server",
                                       "superseded", "empties-class",
                                       "not-in-force", "table-unavailable",
                                       "group-changing", "unsettled"});
const TableCategory<5> ControlCategory("control",
                                       {"ok", "unauthorized", "wrong-version",
                                        "malformed", "unreachable"});

} // namespace

std::error_code make_error_code(RouteErrc Code) noexcept {
  return {static_cast<int>(Code), RouteCategory};
}

std::error_code make_error_code(TableErrc Code) noexcept {
  return {static_cast<int>(Code), TableServiceCategory};
}

std::error_code make_error_code(HttpErrc Code) noexcept {
  return {static_cast<int>(Code), HttpCategory};
}

std::error_code make_error_code(ChangeErrc Code) noexcept {
  return {static_cast<int>(Code), ChangeCategory};
}

std::error_code make_error_code(ControlErrc Code) noexcept {
  return {static_cast<int>(Code), ControlCategory};
}

} // namespace tamarackdrum
