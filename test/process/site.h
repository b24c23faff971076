/// \file
/// A small site for process tests: a platform, entry hosts and servers.

#ifndef TAMARACKDRUM_SITE_H
#define TAMARACKDRUM_SITE_H

#include "process-group.h"
#include "tamarackdrum/http-table.h"
#include "tamarackdrum/rpc.h"
#include "tamarackdrum/settings.h"
#include "tamarackdrum/view-json.h"

#include <filesystem>

namespace tamarackdrum::test {

inline constexpr const char *SharedKey = "process-test-key";

/// One entry host of a Site.
struct SiteHost {
  std::string m_name;
  std::uint16_t m_callerPort;
  std::uint16_t m_controlPort;
  std::string m_settingsFile;
  std::optional<Child> m_child;
};

/// One server of a Site.
struct SiteServer {
  std::string m_name;
  std::string m_workClass;
  std::uint16_t m_port;
  std::optional<Child> m_child;
};

/// Starts a platform stand-in at once, and hosts and servers on request.
class Site {
public:
  explicit Site(bool AllowFaults = true)
      : m_allowFaults(AllowFaults), m_platformPort(freePort()) {
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "tamarackdrum-XXXXXX")
            .string();
    m_directory = ::mkdtemp(Pattern.data());
    m_platform.emplace(std::vector<std::string>{program("standin-platform"),
                                                "--listen",
                                                address(m_platformPort)},
                       log("platform"));
    awaitPort(m_platformPort);
  }

  ~Site() {
    m_hosts.clear();
    m_servers.clear();
    m_platform.reset();
    std::filesystem::remove_all(m_directory);
  }
  Site(const Site &) = delete;
  Site &operator=(const Site &) = delete;

  /// Call it before startHosts().
  void setLoadWindow(Millis Window) { m_loadWindow = Window; }

  /// Call it before startHosts().
  void setMaxDispatch(Millis Time) { m_maxDispatch = Time; }

  void declareClass(const ClassTarget &Target) { m_classes.push_back(Target); }

  void addServer(const std::string &Name, const std::string &WorkClass,
                 std::vector<std::string> Extra = {}) {
    m_servers.push_back({Name, WorkClass, freePort(), std::nullopt});
    startServer(m_servers.size() - 1, std::move(Extra));
  }

  void startServer(std::size_t Index, std::vector<std::string> Extra = {}) {
    SiteServer &Server = m_servers[Index];
    std::vector<std::string> Words{program("standin-server"),
                                   "--listen",
                                   address(Server.m_port),
                                   "--name",
                                   Server.m_name,
                                   "--slots",
                                   "8"};
    Words.insert(Words.end(), Extra.begin(), Extra.end());
    Server.m_child.emplace(Words, log(Server.m_name));
    awaitPort(Server.m_port);
  }

  /// Starts \p Count hosts in as many zones.
  void startHosts(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I)
      m_hosts.push_back({"entry-" + std::to_string(I),
                         freePort(),
                         freePort(),
                         {},
                         std::nullopt});
    for (std::size_t I = 0; I < Count; ++I)
      startHost(I);
  }

  void startHost(std::size_t Index) {
    SiteHost &Host = m_hosts[Index];
    Host.m_settingsFile = m_directory + "/" + Host.m_name + ".json";
    std::ofstream(Host.m_settingsFile) << toText(settingsOf(Index));
    Host.m_child.emplace(std::vector<std::string>{program("tamarackd"),
                                                  "--settings",
                                                  Host.m_settingsFile},
                         log(Host.m_name));
    awaitPort(Host.m_controlPort);
  }

  /// Waits until every host serves under a settled view.
  bool awaitReady() {
    return eventually([&] {
      for (std::size_t I = 0; I < m_hosts.size(); ++I) {
        const Json::Value Status = status(I);
        if (!Status["has_lease"].asBool() ||
            Status["settled"].asUInt64() !=
                Status["view"]["generation"].asUInt64())
          return false;
      }
      return true;
    });
  }

  std::optional<HttpResponse>
  call(std::size_t Host, const std::string &Target,
       const std::map<std::string, std::string> &Headers = {}) {
    return fetch(m_hosts[Host].m_callerPort, boost::beast::http::verb::post,
                 Target, "body", Headers);
  }

  Result<Json::Value> control(std::size_t Host, const std::string &Method,
                              const Json::Value &Parameters) {
    HttpClient Client(HttpClientLimits{});
    RpcClient Rpc(
        Client,
        {boost::asio::ip::address_v4::loopback(), m_hosts[Host].m_controlPort},
        SharedKey, "/rpc/operator");
    return runBlocking(Rpc.call(Method, Parameters, Millis(10000)));
  }

  Json::Value status(std::size_t Host) {
    const Result<Json::Value> Status =
        control(Host, "status", Json::Value(Json::objectValue));
    return Status ? Status.value() : Json::Value(Json::objectValue);
  }

  Result<Json::Value> change(std::size_t Host, ServerAction Action,
                             const std::vector<std::string> &Names,
                             const std::string &Operation) {
    ServerChange Change;
    Change.m_action = Action;
    Change.m_operation = Operation;
    for (const std::string &Name : Names)
      Change.m_servers.push_back({Name});
    return control(Host, "change", toJson(Change));
  }

  void platformFault(const std::string &Text) {
    fetch(m_platformPort, boost::beast::http::verb::post, "/fault", Text);
  }

  /// Values of the table's rows whose key starts with \p Prefix.
  std::vector<std::string> tableValues(const std::string &Prefix) {
    const std::optional<HttpResponse> Reply =
        fetch(m_platformPort, boost::beast::http::verb::post, "/v1/read",
              toText(toJson(TableQuery{Prefix, true, 0})));
    std::vector<std::string> Out;
    const Result<std::vector<TableRow>> Rows =
        rowsFromJson(parseJson(Reply ? Reply->body() : "{}").value());
    for (const TableRow &Row : Rows.value())
      Out.push_back(Row.m_value);
    return Out;
  }

  Json::Value records(std::size_t Server) {
    const std::optional<HttpResponse> Reply = fetch(
        m_servers[Server].m_port, boost::beast::http::verb::get, "/records");
    return Reply ? parseJson(Reply->body()).value() : Json::Value();
  }

  std::vector<SiteHost> &hosts() { return m_hosts; }
  std::vector<SiteServer> &servers() { return m_servers; }

private:
  static std::string program(const std::string &Name) {
    return std::string(TAMARACKDRUM_BIN_DIR) + "/" + Name;
  }

  static std::string address(std::uint16_t Port) {
    return "127.0.0.1:" + std::to_string(Port);
  }

  std::string log(const std::string &Name) const {
    return m_directory + "/" + Name + ".log";
  }

  static void awaitPort(std::uint16_t Port) {
    eventually([&] {
      return fetch(Port, boost::beast::http::verb::get, "/health").has_value();
    });
  }

  Json::Value settingsOf(std::size_t Index) const {
    const SiteHost &Host = m_hosts[Index];
    Json::Value Out;
    Out["name"] = Host.m_name;
    Out["zone"] = "zone-" + std::to_string(Index);
    Out["caller_address"] = address(Host.m_callerPort);
    Out["control_address"] = address(Host.m_controlPort);
    Out["platform_address"] = address(m_platformPort);
    Out["shared_key"] = SharedKey;
    Out["table_poll_ms"] = 200;
    Out["allow_faults"] = m_allowFaults;
    Out["load_window_ms"] = Json::Int64(m_loadWindow.count());
    Out["lease"]["max_dispatch_ms"] = Json::Int64(m_maxDispatch.count());
    Json::Value &Bootstrap = Out["bootstrap"];
    for (std::size_t I = 0; I < m_hosts.size(); ++I)
      Bootstrap["group"].append(
          toJson(Member{m_hosts[I].m_name, address(m_hosts[I].m_controlPort),
                        "zone-" + std::to_string(I)}));
    for (const ClassTarget &Target : m_classes)
      Bootstrap["classes"].append(toJson(Target));
    for (const SiteServer &Server : m_servers)
      Bootstrap["servers"].append(toJson(ServerRecord{
          Server.m_name, Server.m_workClass, address(Server.m_port)}));
    return Out;
  }

  const bool m_allowFaults;
  std::uint16_t m_platformPort;
  Millis m_loadWindow{5000};
  Millis m_maxDispatch{1000};
  std::string m_directory;
  std::optional<Child> m_platform;
  std::vector<ClassTarget> m_classes;
  std::vector<SiteHost> m_hosts;
  std::vector<SiteServer> m_servers;
};

} // namespace tamarackdrum::test

#endif // TAMARACKDRUM_SITE_H
