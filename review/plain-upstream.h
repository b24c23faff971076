/// \file
/// A server that runs requests one per connection and answers HEAD without a
/// body.

#ifndef TAMARACKDRUM_REVIEW_PLAIN_UPSTREAM_H
#define TAMARACKDRUM_REVIEW_PLAIN_UPSTREAM_H

#include "review-site.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace tamarackdrum::review {

struct PlainUpstreamOptions {
  gateway::ServerEntry m_entry;
  Millis m_workTime{30}; ///< Of each request.
  /// Returns, for the connection from local port \p Port of a gateway, a
  /// function that tells whether its path drops all bytes at present; may be
  /// null.
  std::function<std::function<bool()>(std::uint16_t Port)> m_pathOf;
};

class PlainUpstream {
public:
  PlainUpstream(boost::asio::io_context &Context, PlainUpstreamOptions Options,
                Record &Notes);

  const gateway::ServerEntry &entry() const;

  /// Refuses new connections and resets the others, as the end of the process
  /// does.
  void crash();
  /// Returns whether it runs a request for \p Target.
  bool isRunning(const std::string &Target) const;

private:
  struct State;
  std::shared_ptr<State> m_state;
};

/// Returns the body with which a server answers the request \p Id.
std::string bodyFor(const std::string &Id);

} // namespace tamarackdrum::review

#endif // TAMARACKDRUM_REVIEW_PLAIN_UPSTREAM_H
