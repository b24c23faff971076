/// \file
/// Calls from several threads to the hosts of a Site, and a checker that reads
/// the records of all servers for overlapping runs of one key.

#ifndef TAMARACKDRUM_KEYED_LOAD_H
#define TAMARACKDRUM_KEYED_LOAD_H

#include "site.h"

#include <tuple>

namespace tamarackdrum::test {

inline constexpr std::size_t LoadKeys = 4;

inline std::string loadTarget(std::size_t Key) {
  return "/stock/sheet-" + std::to_string(Key % LoadKeys);
}

/// Calls a few keys of class "stock" in turn at each host, several at once,
/// until it is destroyed.
class KeyedLoad {
public:
  explicit KeyedLoad(Site &Where) : m_site(Where) {
    constexpr std::size_t ThreadsPerHost = 3;
    for (std::size_t Host = 0; Host < Where.hosts().size(); ++Host)
      for (std::size_t I = 0; I < ThreadsPerHost; ++I)
        m_threads.emplace_back([this, Host, I] { run(Host, Host + I); });
  }
  ~KeyedLoad() {
    m_stop = true;
    for (std::thread &Each : m_threads)
      Each.join();
  }
  KeyedLoad(const KeyedLoad &) = delete;
  KeyedLoad &operator=(const KeyedLoad &) = delete;

private:
  void run(std::size_t Host, std::size_t Key) {
    constexpr Millis CallTimeout{1000};
    const std::uint16_t Port = m_site.hosts()[Host].m_callerPort;
    for (; !m_stop; ++Key)
      fetch(Port, boost::beast::http::verb::post, loadTarget(Key), "body", {},
            CallTimeout);
  }

  Site &m_site;
  std::atomic<bool> m_stop{false};
  std::vector<std::thread> m_threads;
};

/// One run at a server, on the clock that all processes of a host share.
struct ServerRun {
  std::string m_target;
  std::string m_server;
  std::int64_t m_startNs;
  std::int64_t m_endNs;
};

/// Reads the runs of all servers, sorted by target and start. A run that has
/// not ended ends now.
inline std::vector<ServerRun> readRuns(Site &Where) {
  std::vector<ServerRun> Runs;
  for (std::size_t I = 0; I < Where.servers().size(); ++I)
    for (const Json::Value &Item : Where.records(I)) {
      const std::int64_t End = Item["end_ns"].asInt64();
      Runs.push_back(
          {Item["target"].asString(), Where.servers()[I].m_name,
           Item["start_ns"].asInt64(),
           End != 0 ? End : BootClock::now().time_since_epoch().count()});
    }
  std::sort(Runs.begin(), Runs.end(),
            [](const ServerRun &Left, const ServerRun &Right) {
              return std::tie(Left.m_target, Left.m_startNs) <
                     std::tie(Right.m_target, Right.m_startNs);
            });
  return Runs;
}

/// Describes each pair of runs of one target at two servers at once.
inline std::vector<std::string>
findOverlaps(const std::vector<ServerRun> &Runs) {
  std::vector<std::string> Out;
  for (auto A = Runs.begin(); A != Runs.end(); ++A)
    for (auto B = A + 1; B != Runs.end() && B->m_target == A->m_target &&
                         B->m_startNs < A->m_endNs;
         ++B)
      if (A->m_server != B->m_server)
        Out.push_back(A->m_target + " at " + A->m_server + " and " +
                      B->m_server);
  return Out;
}

} // namespace tamarackdrum::test

#endif // TAMARACKDRUM_KEYED_LOAD_H
