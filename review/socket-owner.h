/// \file
/// Tells which gateway has opened a connection on loopback.

#ifndef TAMARACKDRUM_REVIEW_SOCKET_OWNER_H
#define TAMARACKDRUM_REVIEW_SOCKET_OWNER_H

#include <cstdint>
#include <optional>
#include <string>

namespace tamarackdrum::review {

/// Returns the settings file of the child process whose connection has \p Port
/// as its local port, or nothing if there is none. Reads /proc.
std::optional<std::string> settingsOfOwner(std::uint16_t Port);

} // namespace tamarackdrum::review

#endif // TAMARACKDRUM_REVIEW_SOCKET_OWNER_H
