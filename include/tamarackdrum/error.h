/// \file
/// Error codes of the project, one enumeration and category per area.

#ifndef TAMARACKDRUM_ERROR_H
#define TAMARACKDRUM_ERROR_H

#include <system_error>

namespace tamarackdrum {

/// Why a request got no answer. Each but ServerCancelled means "not run".
enum class RouteErrc {
  UnknownClass = 1, ///< No class of this name is declared.
  KeyMissing,       ///< The class is keyed and the request has no key.
  IdMissing,        ///< The class is once-only and there is no request id.
  NoLease,          ///< This process holds no view lease.
  SliceMoving,      ///< The slice changes owner and the new owner must wait.
  NoServer,         ///< The class has no server that takes work.
  Overloaded,       ///< Every eligible server is at its limit.
  Poisoned,         ///< The request is known to crash servers.
  Stopping,         ///< This process is shutting down.
  BudgetExhausted,  ///< The class has no retry budget left.
  ClaimUnavailable, ///< A once-only claim cannot be recorded now.
  DeadlineInvalid,  ///< The caller's deadline is not a positive number.
  DeadlinePassed,   ///< No time is left for a dispatch.
  ServerRefused,    ///< The server refused the request before it ran.
  ServerCancelled,  ///< The server cut the run off: the outcome is unknown.
};

/// Failures of the platform's table service.
enum class TableErrc {
  Unavailable = 1, ///< No connection, or refused before it was applied.
  Conflict,        ///< A condition of the transaction did not hold.
  Unsettled,       ///< Sent, and the reply was lost: applied or not.
  Malformed,       ///< The reply could not be understood.
};

/// Failures of one HTTP exchange.
enum class HttpErrc {
  ConnectFailed = 1, ///< No connection: nothing was sent.
  SendFailed,        ///< The request was sent in part.
  ReplyTorn,         ///< The reply ended early or was malformed.
  TimedOut,          ///< No whole reply by the deadline.
  PoolExhausted,     ///< Every connection to the peer is in use.
  ConnectTimedOut,   ///< No connection by the deadline: nothing was sent.
};

/// Failures of a change that an operator asked for.
enum class ChangeErrc {
  Malformed = 1,    ///< The declaration or command is not valid.
  UnknownServer,    ///< A named server was never declared.
  Superseded,       ///< A concurrent change of the same server came first.
  EmptiesClass,     ///< The change would take the last server of a class.
  NotInForce,       ///< Committed, but not yet promised by a majority.
  TableUnavailable, ///< The table service cannot be reached.
  GroupChanging,    ///< An earlier change of the group has not settled.
  Unsettled,        ///< Sent to the table; not known whether it stands.
};

/// Failures of control calls between processes.
enum class ControlErrc {
  Unauthorized = 1, ///< The shared key is missing or wrong.
  WrongVersion,     ///< The caller speaks another protocol version.
  Malformed,        ///< The call or its reply could not be understood.
  Unreachable,      ///< The process did not answer in time.
};

std::error_code make_error_code(RouteErrc Code) noexcept;
std::error_code make_error_code(TableErrc Code) noexcept;
std::error_code make_error_code(HttpErrc Code) noexcept;
std::error_code make_error_code(ChangeErrc Code) noexcept;
std::error_code make_error_code(ControlErrc Code) noexcept;

} // namespace tamarackdrum

template <>
struct std::is_error_code_enum<tamarackdrum::RouteErrc> : std::true_type {};
template <>
struct std::is_error_code_enum<tamarackdrum::TableErrc> : std::true_type {};
template <>
struct std::is_error_code_enum<tamarackdrum::HttpErrc> : std::true_type {};
template <>
struct std::is_error_code_enum<tamarackdrum::ChangeErrc> : std::true_type {};
template <>
struct std::is_error_code_enum<tamarackdrum::ControlErrc> : std::true_type {};

#endif // TAMARACKDRUM_ERROR_H
