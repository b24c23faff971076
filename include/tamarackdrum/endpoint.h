/// \file
/// Network addresses in text form.

#ifndef TAMARACKDRUM_ENDPOINT_H
#define TAMARACKDRUM_ENDPOINT_H

#include "tamarackdrum/core.h"

#include <boost/asio/ip/tcp.hpp>

namespace tamarackdrum {

using Endpoint = boost::asio::ip::tcp::endpoint;

/// Parses "IP:PORT", e.g. `parseEndpoint("127.0.0.1:8080")`.
/// Errors: std::errc::invalid_argument.
Result<Endpoint> parseEndpoint(std::string_view Text);

} // namespace tamarackdrum

#endif // TAMARACKDRUM_ENDPOINT_H
