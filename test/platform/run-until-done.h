/// \file
/// Runs a coroutine to its end among stand-ins that share its context.

#ifndef TAMARACKDRUM_RUN_UNTIL_DONE_H
#define TAMARACKDRUM_RUN_UNTIL_DONE_H

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <optional>

namespace tamarackdrum::platform {

template <typename Value>
Value runUntilDone(boost::asio::io_context &Context,
                   boost::asio::awaitable<Value> Task) {
  std::optional<Value> Out;
  boost::asio::co_spawn(
      Context,
      [&]() -> boost::asio::awaitable<void> {
        Out.emplace(co_await std::move(Task));
      },
      boost::asio::detached);
  while (!Out)
    Context.run_one();
  return std::move(*Out);
}

} // namespace tamarackdrum::platform

#endif // TAMARACKDRUM_RUN_UNTIL_DONE_H
