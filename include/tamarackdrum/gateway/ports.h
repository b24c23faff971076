/// \file
/// Interfaces and settings that a platform adapter provides to the gateway.

#ifndef TAMARACKDRUM_GATEWAY_PORTS_H
#define TAMARACKDRUM_GATEWAY_PORTS_H

#include "tamarackdrum/gateway/cold-server.h"
#include "tamarackdrum/gateway/configuration.h"
#include "tamarackdrum/gateway/evacuations.h"
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
  std::string m_expectServer; ///< Id of the only server that may run a request.
  std::string m_notRun;       ///< Set by a server that did not run a request.
  std::string m_key;          ///< Key of a request to a keyed service.
  std::string m_leaving;      ///< "1" in all answers of a leaving server.
  std::string m_rateLimit;    ///< Requests per second that a server takes.
  std::string m_load;         ///< See parseReportedLoad().
  std::string m_coldLeftMs;   ///< Time for which a server is still cold.

  bool operator==(const HeaderNames &) const = default;
};

/// Settings of one gateway process.
struct GatewaySettings {
  HostInfo m_host;
  std::string m_clientAddress;        ///< IP address and port for clients.
  std::string m_readyAddress;         ///< Address of the readiness check.
  std::uint16_t m_peerPort = 0;       ///< TCP and UDP, for the other hosts.
  std::string m_metricsAddress;       ///< Empty: no metrics are served.
  std::vector<std::string> m_seedIps; ///< First hosts to ask; may be outdated.
  /// The whole site starts for the first time: no traffic arrives yet.
  bool m_isFirstStart = false;
  /// Longest time from the store's answer until no request goes to a leaving
  /// server.
  Millis m_drainBound{2000};
  /// Longest time from the store's answer until a configuration is in force.
  Millis m_applyBound{2000};
  /// Longest time from the store's answer until no request goes to a server of
  /// an evacuated zone. The default does not shorten m_applyBound, since both
  /// are read by the same calls.
  Millis m_evacuationBound = Millis::max();
  /// Longest time from the start of a partition between this host and all
  /// servers until its requests are served; 0: the case is not handled.
  Millis m_contactBound{0};
  Millis m_stopTimeout{6000}; ///< From the stop signal to the kill.
  RetryPolicy m_retries;
  ColdBound m_coldBound;
  std::size_t m_memoryLimitBytes = 256U << 20U; ///< Of the whole process.
  HeaderNames m_headers;

  bool operator==(const GatewaySettings &) const = default;
};

/// An ownership record and the row version that a conditional write must name.
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

/// A configuration and the text it was decoded from, which peers pass on.
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

  /// Returns the configuration, or waits up to \p Wait for a newer one than the
  /// last that this call returned. TableErrc::Conflict: there is none.
  virtual Task<DecodedConfiguration> awaitConfiguration(Millis Wait) = 0;

  /// Returns the evacuated zones as of the last answer of awaitConfiguration(),
  /// which waits for changes of these, too.
  virtual const Evacuations &evacuations() const = 0;

  /// Decodes the text of a configuration that a peer has passed on.
  virtual Result<DecodedConfiguration>
  decodeConfiguration(const std::string &Text) const = 0;

  /// Returns the record of the current era. If there is none, the version
  /// number is 0 and the record is the last one of an earlier era.
  virtual Task<VersionedOwnership> readOwnership(std::string Service) = 0;
  /// Writes \p Record if the row still has \p Version; returns the new version.
  /// TableErrc::Conflict: the row has another version, or a later era has
  /// begun. TableErrc::Unsettled: the write may be applied, now or later.
  virtual Task<RowVersion> writeOwnership(std::string Service,
                                          OwnershipRecord Record,
                                          RowVersion Version) = 0;

  /// Adds hosts to the list of hosts in one call, as many of them as one call
  /// takes. Returns their number.
  virtual Task<std::size_t> addHosts(std::vector<HostInfo> Hosts) = 0;
  virtual Task<HostListing> readHosts() = 0;
};

/// Answer to a GrantCall.
struct GrantReply {
  GrantResult m_result = GrantResult::NoAnswer;
  std::string m_handover;
  /// When the call was written to its connection. TimePoint{}: not at all, or
  /// the connection has been closed after the answer.
  TimePoint m_writtenAt{};

  bool operator==(const GrantReply &) const = default;
};

/// Calls to backend servers about the keys that they hold.
class KeyServers {
public:
  virtual ~KeyServers() = default;
  /// Sends \p Call and waits for the answer until \p Deadline. Nothing is sent
  /// after that, because the granter no longer waits for the hold that would
  /// begin.
  virtual boost::asio::awaitable<GrantReply> call(GrantCall Call,
                                                  TimePoint Deadline) = 0;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_PORTS_H
