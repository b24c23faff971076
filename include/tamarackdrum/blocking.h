/// \file
/// Runs a coroutine to its end on the calling thread, for command-line tools
/// and tests.

#ifndef TAMARACKDRUM_BLOCKING_H
#define TAMARACKDRUM_BLOCKING_H

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <optional>

namespace tamarackdrum {

/// Returns the result of \p Task, which runs in \p Context among what else is
/// there.
template <typename Value>
Value runBlocking(boost::asio::io_context &Context,
                  boost::asio::awaitable<Value> Task) {
  std::optional<Value> Out;
  boost::asio::co_spawn(
      Context,
      [&]() -> boost::asio::awaitable<void> {
        Out.emplace(co_await std::move(Task));
      },
      boost::asio::detached);
  while (!Out && Context.run_one() > 0)
    continue;
  return std::move(Out).value();
}

/// Returns the result of \p Task, e.g. `runBlocking(Client.send(...))`.
template <typename Value>
Value runBlocking(boost::asio::awaitable<Value> Task) {
  boost::asio::io_context Context;
  Value Out = runBlocking(Context, std::move(Task));
  Context.run();
  return Out;
}

} // namespace tamarackdrum

#endif // TAMARACKDRUM_BLOCKING_H
