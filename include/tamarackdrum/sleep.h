/// \file
/// A pause of a coroutine.

#ifndef TAMARACKDRUM_SLEEP_H
#define TAMARACKDRUM_SLEEP_H

#include "tamarackdrum/core.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace tamarackdrum {

/// Resumes the caller after \p Time, e.g. `co_await sleepFor(Millis(20));`.
inline boost::asio::awaitable<void> sleepFor(Millis Time) {
  boost::asio::steady_timer Timer(co_await boost::asio::this_coro::executor,
                                  Time);
  boost::system::error_code Ignored;
  co_await Timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, Ignored));
}

} // namespace tamarackdrum

#endif // TAMARACKDRUM_SLEEP_H
