/// \file
/// Opens many caller connections to one tamarackd, makes one call on each,
/// keeps them open, and prints the memory of the process.
///
/// Usage: idle-connections HOST:PORT PID [COUNT]

#include "tamarackdrum/http.h"

#include <boost/asio.hpp>
#include <fstream>
#include <iostream>

namespace asio = boost::asio;

namespace tamarackdrum {
namespace {

constexpr int DefaultCount = 10000;
constexpr std::size_t AnswerBytes = 12; ///< "HTTP/1.1 200"

/// Returns the resident memory of \p Pid in KB, or 0.
long residentKb(const std::string &Pid) {
  std::ifstream File("/proc/" + Pid + "/status");
  std::string Line;
  while (std::getline(File, Line))
    if (Line.starts_with("VmRSS:"))
      return std::strtol(Line.c_str() + Line.find_first_of("0123456789"),
                         nullptr, 10);
  return 0;
}

/// Returns whether the call on a new connection got an answer.
bool callOnce(asio::ip::tcp::socket &Socket, const Endpoint &Address) {
  const std::string Call =
      "GET /none HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
  boost::system::error_code Error;
  Socket.connect(Address, Error);
  if (Error)
    return false;
  asio::write(Socket, asio::buffer(Call), Error);
  std::array<char, AnswerBytes> Answer{};
  return !Error &&
         asio::read(Socket, asio::buffer(Answer), Error) == Answer.size();
}

int run(int Argc, char **Argv) {
  if (Argc < 3)
    return 2;
  const Result<Endpoint> Address = parseEndpoint(Argv[1]);
  const int Count = Argc > 3 ? std::atoi(Argv[3]) : DefaultCount;
  if (!Address || Count <= 0)
    return 2;
  asio::io_context Context;
  std::vector<asio::ip::tcp::socket> Open;
  const long Before = residentKb(Argv[2]);
  for (int I = 0; I < Count; ++I) {
    Open.emplace_back(Context);
    if (!callOnce(Open.back(), Address.value())) {
      std::cerr << "connection " << I << " failed\n";
      return 1;
    }
  }
  std::cout << Count << " connections: resident memory " << Before
            << " KB before, " << residentKb(Argv[2]) << " KB with them\n";
  return 0;
}

} // namespace
} // namespace tamarackdrum

int main(int Argc, char **Argv) { return tamarackdrum::run(Argc, Argv); }
