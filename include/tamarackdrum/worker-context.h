/// \file
/// The execution context of a program that stops with work still pending.

#ifndef TAMARACKDRUM_WORKER_CONTEXT_H
#define TAMARACKDRUM_WORKER_CONTEXT_H

#include <boost/asio/io_context.hpp>

namespace tamarackdrum {

/// An io_context whose suspended coroutines can be destroyed before the
/// objects that they refer to. Those objects own sockets, so that the context
/// itself has to outlive them.
class WorkerContext : public boost::asio::io_context {
public:
  using io_context::io_context;

  /// Destroys all pending handlers and suspended coroutines. No thread may be
  /// in run() any more, and nothing may be started afterwards.
  void dropPending() { shutdown(); }
};

} // namespace tamarackdrum

#endif // TAMARACKDRUM_WORKER_CONTEXT_H
