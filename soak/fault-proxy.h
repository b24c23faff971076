/// \file
/// TCP proxy on loopback that injects link faults.

#ifndef TAMARACKDRUM_FAULT_PROXY_H
#define TAMARACKDRUM_FAULT_PROXY_H

#include "tamarackdrum/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <memory>

namespace tamarackdrum::soak {

/// Fault of a link.
enum class LinkFault {
  None,
  Refused,       ///< New connections are reset.
  Held,          ///< Bytes and ends of streams wait until the fault changes.
  Delayed,       ///< Bytes in both directions are delayed.
  Silent,        ///< Bytes in both directions are dropped, without a close.
  DropToTarget,  ///< Bytes to the target are dropped.
  DropFromTarget ///< Bytes from the target are dropped.
};

/// Forwards connections to a target. A connection that has dropped bytes is
/// reset when the fault changes, since its stream has a gap. Bytes that are
/// held are lost if their sender resets the connection, as on a path that
/// fails.
class FaultProxy {
public:
  /// Listens on \p Listen; throws boost::system::system_error on failure.
  FaultProxy(boost::asio::io_context &Context, const Endpoint &Listen,
             const Endpoint &Target);
  ~FaultProxy();
  FaultProxy(const FaultProxy &) = delete;
  FaultProxy &operator=(const FaultProxy &) = delete;

  void setFault(LinkFault Fault, Millis Delay = Millis(0));
  /// Sets the target of new connections.
  void setTarget(const Endpoint &Target);
  void resetConnections();
  Endpoint address() const;

private:
  struct State;
  std::shared_ptr<State> m_state;
};

} // namespace tamarackdrum::soak

#endif // TAMARACKDRUM_FAULT_PROXY_H
