/// \file
/// What the gateway needs from its platform. An adapter implements these.

#ifndef TAMARACKDRUM_GATEWAY_PORTS_H
#define TAMARACKDRUM_GATEWAY_PORTS_H

#include "tamarackdrum/gateway/configuration.h"
#include "tamarackdrum/gateway/key-granter.h"
#include "tamarackdrum/gateway/retry-window.h"
#include "tamarackdrum/gateway/roster.h"
#include "tamarackdrum/gateway/store-time.h"

#include <boost/asio/awaitable.hpp>

namespace tamarackdrum::gateway {

/// Names of the HTTP headers that the gateway reads and sets.
struct HeaderNames {
  std::string m_requestId;
  std::string m_deadlineMs;
  std::string m_expectServer; ///< Id of the only server that may run it.
  std::string m_notRun;       ///< Set by servers that did not run a request.
  std::string m_key;          ///< Key of a request to a keyed service.
  std::string m_leaving;      ///< "1" in all answers of a server that leaves.

  bool operator==(const HeaderNames &) const = default;
};

/// Settings of one gateway process.
struct GatewaySettings {
  HostInfo m_host;
  std::string m_clientAddress;        ///< Where clients connect, IP and port.
  std::string m_readyAddress;         ///< Where readiness is asked for.
  std::uint16_t m_peerPort = 0;       ///< TCP and UDP, for the other hosts.
  std::string m_metricsAddress;       ///< Empty: no metrics are served.
  std::vector<std::string> m_seedIps; ///< Hosts to ask first; may be stale.
  /// The whole site starts for the first time: no traffic comes yet.
  bool m_isFirstStart = false;
  /// From the store's answer until no request may go to a server that leaves.
  Millis m_drainBound{2000};
  /// From the store's answer until a configuration must be in force.
  Millis m_applyBound{2000};
  Millis m_stopTimeout{6000}; ///< From the stop signal to the kill.
  RetryPolicy m_retries;
  std::size_t m_memoryLimitBytes = 256U << 20U; ///< Of the whole process.
  HeaderNames m_headers;

  bool operator==(const GatewaySettings &) const = default;
};

/// A record and the version that a conditional write of it has to name.
struct VersionedOwnership {
  OwnershipRecord m_record; ///< Term 0 if there is none yet.
  RowVersion m_version;
  std::int64_t m_storeMs = 0; ///< Steady time of the store at the read.

  bool operator==(const VersionedOwnership &) const = default;
};

/// All rows of the server registry.
struct ServerListing {
  std::vector<ServerRow> m_rows;
  StoreTime m_at; ///< Before the read.

  bool operator==(const ServerListing &) const = default;
};

/// The hosts that the store lists.
struct HostListing {
  std::vector<HostInfo> m_hosts;
  StoreTime m_at; ///< Of the read.

  bool operator==(const HostListing &) const = default;
};

/// A configuration and its text, as peers pass it on.
struct DecodedConfiguration {
  Configuration m_configuration;
  std::string m_text;

  bool operator==(const DecodedConfiguration &) const = default;
};

/// The platform's store. All errors are of TableErrc.
class GatewayStore {
public:
  template <typename T> using Task = boost::asio::awaitable<Result<T>>;

  virtual ~GatewayStore() = default;

  /// Returns the newest era that an answer of the store has named.
  virtual std::uint64_t era() const = 0;

  virtual Task<ServerListing> readServers() = 0;

  /// Returns the configuration, or waits up to \p Wait for one that is newer
  /// than the last that this call returned. Without news: TableErrc::Conflict.
  virtual Task<DecodedConfiguration> awaitConfiguration(Millis Wait) = 0;

  /// Decodes the text of a configuration that a peer has passed on.
  virtual Result<DecodedConfiguration>
  decodeConfiguration(const std::string &Text) const = 0;

  /// Returns the record of this era or, with version 0, the last one before.
  virtual Task<VersionedOwnership> readOwnership(std::string Service) = 0;
  /// Writes \p Record if the row still has \p Version; returns the new one.
  /// TableErrc::Conflict: the row has another version, or a later era has
  /// begun. TableErrc::Unsettled: it may stand, or may come to stand later.
  virtual Task<RowVersion> writeOwnership(std::string Service,
                                          OwnershipRecord Record,
                                          RowVersion Version) = 0;

  /// Enters hosts, in one call and as many of them as it takes. Returns their
  /// number.
  virtual Task<std::size_t> addHosts(std::vector<HostInfo> Hosts) = 0;
  virtual Task<HostListing> readHosts() = 0;
};

/// Answer to a GrantCall.
struct GrantReply {
  GrantResult m_result = GrantResult::NoAnswer;
  std::string m_handover;

  bool operator==(const GrantReply &) const = default;
};

/// Calls to backend servers about the keys that they hold.
class KeyServers {
public:
  virtual ~KeyServers() = default;
  virtual boost::asio::awaitable<GrantReply> call(GrantCall Call,
                                                  Millis Timeout) = 0;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_PORTS_H
