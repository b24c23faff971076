/// \file
/// Claims over a running standin-platform: table writes a second and the
/// latency that a claim adds, for batch windows and rates. Bounded in time.
///
/// Usage: claim-bench IP:PORT

#include "tamarackdrum/claim-store.h"
#include "tamarackdrum/http-table.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <cstdio>
#include <thread>

namespace asio = boost::asio;

namespace tamarackdrum {
namespace {

constexpr std::chrono::seconds RunTime{4};
constexpr Millis TableTimeout{1000};

struct Sample {
  int m_rate;
  Millis m_window;
};

/// State of one run; its members are used on one thread.
struct Run {
  std::vector<std::int64_t> m_latencyUs;
  std::size_t m_failed = 0;
  std::size_t m_open = 0;
};

asio::awaitable<void> oneRequest(ClaimStore &Claims, std::string Id, Run &Out) {
  ++Out.m_open;
  const TimePoint Start = BootClock::now();
  const ClaimResult Claim = co_await Claims.claim("orders", Id);
  if (Claim.m_verdict == ClaimVerdict::Own) {
    Out.m_latencyUs.push_back(
        std::chrono::duration_cast<std::chrono::microseconds>(BootClock::now() -
                                                              Start)
            .count());
    Claims.settle(Claim.m_attempt, ClaimState::Done, {200, "text/plain", "ok"});
  } else {
    ++Out.m_failed;
  }
  --Out.m_open;
}

asio::awaitable<void> generate(ClaimStore &Claims, Sample Wanted, Run &Out) {
  const asio::any_io_executor Executor = co_await asio::this_coro::executor;
  asio::steady_timer Timer(Executor);
  const std::chrono::nanoseconds Gap =
      std::chrono::nanoseconds(std::chrono::seconds(1)) / Wanted.m_rate;
  const std::int64_t Count = Wanted.m_rate * RunTime.count();
  const std::string Prefix = std::to_string(unixMillis()) + "-";
  const asio::steady_timer::time_point Start =
      asio::steady_timer::clock_type::now();
  for (std::int64_t I = 0; I < Count; ++I) {
    Timer.expires_at(Start + Gap * I);
    co_await Timer.async_wait(asio::use_awaitable);
    asio::co_spawn(Executor,
                   oneRequest(Claims, Prefix + std::to_string(I), Out),
                   asio::detached);
  }
  while (Out.m_open > 0 || Claims.unsettled() > 0) {
    Timer.expires_after(Millis(1));
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

void measure(const Endpoint &Platform, Sample Wanted) {
  asio::io_context Context;
  HttpClient Client(HttpClientLimits{});
  HttpTable Table(Client, Platform, "claim-bench", TableTimeout);
  ClaimSettings Config;
  Config.m_batch.m_window = Wanted.m_window;
  ClaimStore Claims(Config, "bench", 1, Context, Table);
  Run Out;
  asio::co_spawn(Context, generate(Claims, Wanted, Out), asio::detached);
  Context.run();
  std::vector<std::int64_t> &Sorted = Out.m_latencyUs;
  std::sort(Sorted.begin(), Sorted.end());
  if (Sorted.empty())
    return;
  std::printf("%d %ld %zu %zu %.1f %.2f %.2f\n", Wanted.m_rate,
              Wanted.m_window.count(), Sorted.size(), Out.m_failed,
              static_cast<double>(Claims.counters().m_batches.load()) /
                  static_cast<double>(RunTime.count()),
              static_cast<double>(Sorted[Sorted.size() / 2]) / 1000,
              static_cast<double>(Sorted[Sorted.size() * 99 / 100]) / 1000);
}

} // namespace
} // namespace tamarackdrum

int main(int Argc, char **Argv) {
  using tamarackdrum::Millis;
  const tamarackdrum::Result<tamarackdrum::Endpoint> Platform =
      tamarackdrum::parseEndpoint(Argc == 2 ? Argv[1] : "");
  if (!Platform) {
    std::puts("usage: claim-bench IP:PORT");
    return 2;
  }
  std::puts("requests/s window-ms claimed failed table-writes/s p50-ms p99-ms");
  for (const int Rate : {50, 500})
    for (const Millis Window : {Millis(1), Millis(5), Millis(20)})
      tamarackdrum::measure(Platform.value(), {Rate, Window});
  return 0;
}
