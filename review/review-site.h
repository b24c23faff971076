/// \file
/// A small deployment for one case: the store, gateways as separate processes,
/// and the record of what was sent, answered and run.

#ifndef TAMARACKDRUM_REVIEW_SITE_H
#define TAMARACKDRUM_REVIEW_SITE_H

#include "child-process.h"
#include "platform/standin/row-store.h"
#include "tamarackdrum/gateway/configuration.h"
#include "tamarackdrum/gateway/server-directory.h"

#include <boost/asio/awaitable.hpp>
#include <filesystem>
#include <fstream>
#include <optional>
#include <vector>

namespace tamarackdrum::review {

using Ticks = boost::asio::awaitable<void>;

/// Exit codes of a case.
enum class Verdict { Held = 0, Broken = 1, NotRun = 2 };

/// What the script of a case passes on.
struct CaseOptions {
  bool m_hasTrouble = true;
  std::filesystem::path m_record;
  std::filesystem::path m_directory; ///< For settings and logs.
  std::string m_program;             ///< Path of tamarack-gateway.
};

/// Reads "--trouble 0|1 --record FILE --directory DIR --program PATH"; throws
/// std::invalid_argument if one is missing.
CaseOptions parseCaseOptions(int Argc, char **Argv);

/// Lines with the time since the start of the case, in ms.
class Record {
public:
  explicit Record(const std::filesystem::path &File)
      : m_out(File), m_startedAt(BootClock::now()) {}
  void add(const std::string &Line);

private:
  std::ofstream m_out;
  const TimePoint m_startedAt;
};

inline constexpr const char *HostName = "orders.example";
inline constexpr std::uint16_t ClientPort = 8548;
inline constexpr std::uint16_t ReadyPort = 8542;

class ReviewSite {
public:
  /// \p Network is the first two parts of all addresses, e.g. "127.91".
  ReviewSite(boost::asio::io_context &Context, const CaseOptions &Options,
             std::string Network, std::size_t HostCount, Record &Notes);

  platform::standin::RowStore &store() { return m_store; }
  std::string address(unsigned Third, std::size_t Fourth) const;
  std::string hostAddress(std::size_t Host) const {
    return address(0, Host + 1);
  }
  std::size_t hostCount() const { return m_hosts.size(); }

  void writeConfiguration(const gateway::Configuration &Config);
  /// Registers a server and reports for it until stopReports().
  void addServer(const gateway::ServerEntry &Entry);
  void stopReports(const std::string &Id) { m_servers.erase(Id); }
  void removeServer(const std::string &Id);

  void startHost(std::size_t Host);
  Child &process(std::size_t Host) { return m_hosts.at(Host).value(); }
  /// Returns whether all hosts are ready within \p Limit.
  boost::asio::awaitable<bool> awaitReady(Millis Limit);
  /// Ends all processes.
  void stop();

private:
  Ticks reportServers();
  std::string settingsOf(std::size_t Host) const;

  boost::asio::io_context &m_context;
  const CaseOptions m_options;
  const std::string m_network;
  Record &m_record;
  platform::standin::RowStore m_store;
  std::vector<std::optional<Child>> m_hosts;
  std::map<std::string, gateway::ServerEntry> m_servers;
};

/// Returns a route of HostName for \p Prefix.
gateway::Route makeRoute(const std::string &Prefix, const std::string &Service,
                         gateway::RequestKind Kind, Millis Timeout);

/// Runs \p Body in \p Context and returns its verdict; NotRun if it throws or
/// this process is told to stop.
int runCase(boost::asio::io_context &Context,
            boost::asio::awaitable<Verdict> Body);

} // namespace tamarackdrum::review

#endif // TAMARACKDRUM_REVIEW_SITE_H
