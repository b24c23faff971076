/// \file
/// Asks servers whose state is unknown whether they are cold; see ColdState.

#ifndef TAMARACKDRUM_GATEWAY_COLD_PROBER_H
#define TAMARACKDRUM_GATEWAY_COLD_PROBER_H

#include "tamarackdrum/gateway/admission.h"
#include "tamarackdrum/gateway/connection.h"
#include "tamarackdrum/gateway/contact-monitor.h"
#include "tamarackdrum/gateway/event-log.h"
#include "tamarackdrum/gateway/gateway-metrics.h"

namespace tamarackdrum::gateway {

/// What came of a probe.
enum class ColdProbeResult {
  Warm,
  Cold,
  Unreadable, ///< The answer has a time left that cannot be read.
  Rejected,   ///< Another status, or the answer of another server.
  Failed      ///< No answer in time.
};

/// Returns the name of \p Value for logs and metrics.
const char *toText(ColdProbeResult Value) noexcept;

struct ColdProbeAnswer {
  ColdProbeResult m_result = ColdProbeResult::Failed;
  Millis m_left{0};     ///< Time for which the server stays cold.
  TimePoint m_sentAt{}; ///< The request was sent then or later.

  bool operator==(const ColdProbeAnswer &) const = default;
};

/// Sends GET on \p HealthPath to \p Server over a new connection, so that the
/// answer is not one to an earlier request.
boost::asio::awaitable<ColdProbeAnswer> askIfCold(ConnectionPool &Pool,
                                                  HeaderNames Names,
                                                  ServerEntry Server,
                                                  std::string HealthPath);

/// Sends the probes of the services that this host coordinates.
class ColdProber {
public:
  ColdProber(boost::asio::any_io_executor Executor, ConnectionPool &Pool,
             HeaderNames Names, Admission &Dispatches, ContactMonitor &Contacts,
             EventLog &Log, GatewayMetrics &Metrics)
      : m_executor(std::move(Executor)), m_pool(Pool),
        m_names(std::move(Names)), m_admission(Dispatches),
        m_contacts(Contacts), m_log(Log), m_metrics(Metrics) {}

  /// Sends the probes that are due by \p Config. A host that may be cut off
  /// from the servers sends none.
  void tick(const Configuration &Config);

private:
  boost::asio::awaitable<void> probe(std::string Service, ServerEntry Server,
                                     std::string HealthPath);

  boost::asio::any_io_executor m_executor;
  ConnectionPool &m_pool;
  const HeaderNames m_names;
  Admission &m_admission;
  ContactMonitor &m_contacts;
  EventLog &m_log;
  GatewayMetrics &m_metrics;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_COLD_PROBER_H
