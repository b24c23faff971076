#include "tamarackdrum/peek.h"

#include <cerrno>
#include <sys/socket.h>

namespace tamarackdrum {

PeekResult peek(int Handle) noexcept {
  char Byte = 0;
  const ssize_t Size = ::recv(Handle, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Size > 0)
    return PeekResult::Bytes;
  const bool IsSilent = Size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return IsSilent ? PeekResult::Silent : PeekResult::Closed;
}

} // namespace tamarackdrum
