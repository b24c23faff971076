/// \file
/// What can be told of a connection without reading from it.

#ifndef TAMARACKDRUM_PEEK_H
#define TAMARACKDRUM_PEEK_H

namespace tamarackdrum {

enum class PeekResult {
  Silent, ///< Open, and nothing has arrived.
  Bytes,  ///< Bytes have arrived.
  Closed  ///< The peer closed or reset it.
};

/// Looks at the socket \p Handle without waiting and without taking anything.
PeekResult peek(int Handle) noexcept;

} // namespace tamarackdrum

#endif // TAMARACKDRUM_PEEK_H
