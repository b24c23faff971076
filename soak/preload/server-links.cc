/// \file
/// Preloaded into host processes by `tamarack-soak --cut-off`: sends
/// connections to the servers over proxies of the host's own.
///
/// On loopback, all hosts connect from 127.0.0.1, so that a listener cannot
/// tell them apart. An address in the /24 network TAMARACK_SOAK_SERVERS is
/// replaced by the same one in the /24 network TAMARACK_SOAK_LINKS.

#include <arpa/inet.h>
#include <cstdlib>
#include <cstring>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace {

constexpr in_addr_t HostMask = 0xFF; ///< Of a /24 network.

/// Returns the network named by \p Variable in host byte order; 0: none.
in_addr_t networkOf(const char *Variable) {
  const char *Text = std::getenv(Variable);
  in_addr Out{};
  if (Text == nullptr || ::inet_pton(AF_INET, Text, &Out) != 1)
    return 0;
  return ntohl(Out.s_addr) & ~HostMask;
}

} // namespace

extern "C" int connect(int Socket, const sockaddr *Address, socklen_t Size) {
  using Function = int (*)(int, const sockaddr *, socklen_t);
  static const Function Next =
      reinterpret_cast<Function>(::dlsym(RTLD_NEXT, "connect"));
  static const in_addr_t Servers = networkOf("TAMARACK_SOAK_SERVERS");
  static const in_addr_t Links = networkOf("TAMARACK_SOAK_LINKS");
  sockaddr_in Target{};
  if (Servers == 0 || Links == 0 || Address->sa_family != AF_INET ||
      Size < sizeof(Target))
    return Next(Socket, Address, Size);
  std::memcpy(&Target, Address, sizeof(Target));
  const in_addr_t Ip = ntohl(Target.sin_addr.s_addr);
  if ((Ip & ~HostMask) != Servers)
    return Next(Socket, Address, Size);
  Target.sin_addr.s_addr = htonl(Links | (Ip & HostMask));
  return Next(Socket, reinterpret_cast<const sockaddr *>(&Target),
              sizeof(Target));
}
