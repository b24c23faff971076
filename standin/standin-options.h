/// \file
/// Start-up shared by the stand-ins: address option, workers, signals.

#ifndef TAMARACKDRUM_STANDIN_OPTIONS_H
#define TAMARACKDRUM_STANDIN_OPTIONS_H

#include "tamarackdrum/http.h"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <iostream>
#include <thread>
#include <vector>

namespace tamarackdrum {

/// Serves \p Handler at \p Listen until SIGTERM or SIGINT.
inline int runStandin(const std::string &Listen, unsigned Workers,
                      boost::asio::io_context &Context, HttpHandler Handler,
                      HttpLimits Limits = {}) {
  const Result<Endpoint> Address = parseEndpoint(Listen);
  if (!Address) {
    std::cerr << "bad address " << Listen << '\n';
    return 2;
  }
  HttpServer Server(Context, Address.value(), Limits, std::move(Handler));
  Server.start();
  boost::asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait(
      [&](const boost::system::error_code &, int) { Context.stop(); });
  std::cout << "listening on " << Server.address() << std::endl;
  std::vector<std::jthread> Threads;
  for (unsigned I = 0; I < Workers; ++I)
    Threads.emplace_back([&] { Context.run(); });
  Threads.clear();
  return 0;
}

} // namespace tamarackdrum

#endif // TAMARACKDRUM_STANDIN_OPTIONS_H
