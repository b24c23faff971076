/// \file
/// Forwards TCP connections on loopback and harms them on request.

#ifndef TAMARACKDRUM_FAULT_PROXY_H
#define TAMARACKDRUM_FAULT_PROXY_H

#include "tamarackdrum/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <memory>

namespace tamarackdrum::soak {

/// What is wrong with a link.
enum class LinkFault {
  None,
  Refused,       ///< New connections are reset.
  Delayed,       ///< Bytes arrive later, in both directions.
  Silent,        ///< Bytes are lost in both directions, connections stay open.
  DropToTarget,  ///< Bytes to the target are lost.
  DropFromTarget ///< Bytes from the target are lost.
};

/// Connections that lost bytes are reset when the fault ends: what was lost
/// never arrives.
class FaultProxy {
public:
  /// Binds at once; throws boost::system::system_error if it cannot.
  FaultProxy(boost::asio::io_context &Context, const Endpoint &Listen,
             const Endpoint &Target);
  ~FaultProxy();
  FaultProxy(const FaultProxy &) = delete;
  FaultProxy &operator=(const FaultProxy &) = delete;

  void setFault(LinkFault Fault, Millis Delay = Millis(0));
  /// Applies to new connections.
  void setTarget(const Endpoint &Target);
  void resetConnections();
  Endpoint address() const;

private:
  struct State;
  std::shared_ptr<State> m_state;
};

} // namespace tamarackdrum::soak

#endif // TAMARACKDRUM_FAULT_PROXY_H
