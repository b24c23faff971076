/// \file
/// Time limit for the reads of a connection that leaves its socket open.

#ifndef TAMARACKDRUM_READ_LIMIT_H
#define TAMARACKDRUM_READ_LIMIT_H

#include "tamarackdrum/core.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>

namespace tamarackdrum {

/// Cancels the reads of a stream that last too long. The timeout of the stream
/// itself closes the socket, so that no refusal can be sent, and discards bytes
/// that arrive as it expires. Used only on the executor of the stream, which
/// has to outlive it.
class ReadLimit {
public:
  explicit ReadLimit(boost::beast::tcp_stream &Stream)
      : m_state(std::make_shared<State>(Stream)) {}

  /// Cancels the reads that are pending after \p Time, until end().
  void begin(Millis Time) {
    m_state->m_hasExpired = false;
    m_state->m_stream.expires_never();
    cancelAfter(m_state, Time, ++m_state->m_number);
  }
  void end() {
    ++m_state->m_number;
    m_state->m_timer.cancel();
  }
  /// Returns whether the last limit has cancelled a read.
  bool hasExpired() const { return m_state->m_hasExpired; }

private:
  struct State {
    explicit State(boost::beast::tcp_stream &Stream)
        : m_stream(Stream), m_timer(Stream.get_executor()) {}

    boost::beast::tcp_stream &m_stream;
    boost::asio::steady_timer m_timer;
    std::uint64_t m_number = 0; ///< Of the limit in force.
    bool m_hasExpired = false;
  };

  /// Pause before a cancellation that hit no read is repeated.
  static constexpr Millis RepeatPause{5};

  /// Repeats the cancellation, because an operation may be between two reads.
  static void cancelAfter(const std::shared_ptr<State> &Item, Millis Time,
                          std::uint64_t Number) {
    Item->m_timer.expires_after(Time);
    Item->m_timer.async_wait([Weak = std::weak_ptr<State>(Item),
                              Number](boost::system::error_code Error) {
      const std::shared_ptr<State> Known = Weak.lock();
      // A timer that has expired can no longer be cancelled.
      if (Error || Known == nullptr || Known->m_number != Number)
        return;
      Known->m_hasExpired = true;
      Known->m_stream.cancel();
      cancelAfter(Known, RepeatPause, Number);
    });
  }

  std::shared_ptr<State> m_state;
};

} // namespace tamarackdrum

#endif // TAMARACKDRUM_READ_LIMIT_H
