/// \file
/// Feeds Metrics with what callers are told and with samples of the view, the
/// lease and the dispatch counters.

#ifndef TAMARACKDRUM_METRICS_SAMPLER_H
#define TAMARACKDRUM_METRICS_SAMPLER_H

#include "tamarackdrum/metrics.h"
#include "tamarackdrum/view-keeper.h"

namespace tamarackdrum {

/// The sampler. All dependencies outlive it. Thread-safe.
class MetricsSampler {
public:
  MetricsSampler(Metrics &Recorded, const ViewKeeper &Keeper,
                 const Router &Routes, HttpHandler Handler)
      : m_metrics(Recorded), m_keeper(Keeper), m_router(Routes),
        m_handler(std::move(Handler)) {}

  /// Samples until the executor stops.
  boost::asio::awaitable<void> run();

  /// Answers a call by the handler and records what the caller is told.
  boost::asio::awaitable<HttpResponse> onCall(const HttpRequest &Call);

private:
  void sampleDispatches(std::int64_t Now);

  Metrics &m_metrics;
  const ViewKeeper &m_keeper;
  const Router &m_router;
  const HttpHandler m_handler;
};

} // namespace tamarackdrum

#endif // TAMARACKDRUM_METRICS_SAMPLER_H
