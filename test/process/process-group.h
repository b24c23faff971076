/// \file
/// Starts the project's programs for process tests and ends just these.

#ifndef TAMARACKDRUM_PROCESS_GROUP_H
#define TAMARACKDRUM_PROCESS_GROUP_H

#include "tamarackdrum/blocking.h"
#include "tamarackdrum/http.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <json/value.h>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace tamarackdrum::test {

/// One child process, killed at the end of its life.
class Child {
public:
  Child(std::vector<std::string> Words, const std::string &LogFile) {
    std::vector<char *> Pointers;
    for (std::string &Word : Words)
      Pointers.push_back(Word.data());
    Pointers.push_back(nullptr);
    posix_spawn_file_actions_t Actions;
    posix_spawn_file_actions_init(&Actions);
    posix_spawn_file_actions_addopen(&Actions, 1, LogFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&Actions, 1, 2);
    if (::posix_spawn(&m_pid, Pointers[0], &Actions, nullptr, Pointers.data(),
                      environ) != 0)
      m_pid = -1;
    posix_spawn_file_actions_destroy(&Actions);
  }
  Child(Child &&Other) noexcept : m_pid(std::exchange(Other.m_pid, -1)) {}
  Child &operator=(Child &&Other) noexcept {
    std::swap(m_pid, Other.m_pid);
    return *this;
  }
  Child(const Child &) = delete;
  Child &operator=(const Child &) = delete;
  ~Child() { kill(); }

  void signal(int Number) const {
    if (m_pid > 0)
      ::kill(m_pid, Number);
  }

  void kill() {
    signal(SIGKILL);
    wait();
  }

  /// Returns the exit code, or minus the signal that ended the process.
  int wait() {
    if (m_pid <= 0)
      return 0;
    int Status = 0;
    ::waitpid(m_pid, &Status, 0);
    m_pid = -1;
    return WIFEXITED(Status) ? WEXITSTATUS(Status) : -WTERMSIG(Status);
  }

private:
  pid_t m_pid = -1;
};

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
