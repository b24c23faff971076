/// \file
/// Starts the project's programs for process tests and ends just these.

#ifndef TAMARACKDRUM_PROCESS_GROUP_H
#define TAMARACKDRUM_PROCESS_GROUP_H

#include "child-process.h"
#include "tamarackdrum/blocking.h"
#include "tamarackdrum/http.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fstream>
#include <json/value.h>
#include <thread>
#include <unistd.h>

namespace tamarackdrum::test {

using tamarackdrum::Child;

/// Returns a port of the loopback address that was free just now. Ports are
/// taken below the ephemeral range, so that no outgoing connection of another
/// process can take them before they are bound.
inline std::uint16_t freePort() {
  static std::uint16_t Next =
      static_cast<std::uint16_t>(12000 + (::getpid() * 61) % 18000);
  for (;;) {
    Next = Next >= 30000 ? 12000 : static_cast<std::uint16_t>(Next + 1);
    boost::asio::io_context Context;
    boost::asio::ip::tcp::acceptor Acceptor(Context);
    boost::system::error_code Error;
    Acceptor.open(boost::asio::ip::tcp::v4(), Error);
    Acceptor.bind({boost::asio::ip::address_v4::loopback(), Next}, Error);
    if (!Error)
      return Next;
  }
}

/// A blocking call. Returns no response if the exchange failed.
inline std::optional<HttpResponse>
fetch(std::uint16_t Port, boost::beast::http::verb Method,
      const std::string &Target, const std::string &Body = {},
      const std::map<std::string, std::string> &Headers = {},
      Millis Timeout = Millis(10000)) {
  HttpClient Client(HttpClientLimits{});
  HttpRequest Request(Method, Target, 11);
  Request.set(boost::beast::http::field::host, "127.0.0.1");
  for (const std::pair<const std::string, std::string> &Header : Headers)
    Request.set(Header.first, Header.second);
  Request.body() = Body;
  const Result<HttpResponse> Reply =
      runBlocking(Client.send({boost::asio::ip::address_v4::loopback(), Port},
                              Request, BootClock::now() + Timeout));
  if (!Reply)
    return std::nullopt;
  return Reply.value();
}

/// Polls \p Condition; returns whether it held within \p Limit.
template <typename Predicate>
bool eventually(Predicate Condition, Millis Limit = Millis(60000)) {
  constexpr Millis Step{20};
  const TimePoint End = BootClock::now() + Limit;
  while (BootClock::now() < End) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(Step);
  }
  return Condition();
}

} // namespace tamarackdrum::test

#endif // TAMARACKDRUM_PROCESS_GROUP_H
