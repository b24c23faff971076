/// \file
/// tamarackctl: the operators' command.
///
/// Exit codes: 0 done, 1 refused or not in force, 2 bad command line, 3 no
/// process could be reached.

#include "tamarackdrum/blocking.h"
#include "tamarackdrum/rpc.h"
#include "tamarackdrum/view-json.h"

#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

namespace po = boost::program_options;

namespace tamarackdrum {
namespace {

constexpr int ExitDone = 0;
constexpr int ExitRefused = 1;
constexpr int ExitUsage = 2;
constexpr int ExitUnreachable = 3;
constexpr Millis CallTimeout{10000};

/// Command line of tamarackctl.
struct Options {
  std::string m_address;
  std::string m_sharedKey;
  bool m_json = false;
  bool m_allowEmptyClass = false;
  std::uint64_t m_basedOn = 0;
  std::vector<std::string> m_words;
};

constexpr const char *Usage =
    "Usage: tamarackctl --control IP:PORT --key KEY COMMAND\n"
    "  class apply FILE\n"
    "  server join FILE\n"
    "  server leave|recall|restore NAME...\n"
    "  status\n";

std::string makeOperation() {
  std::random_device Device;
  std::ostringstream Out;
  Out << std::hex << Device() << Device() << Device();
  return Out.str();
}

std::optional<Options> parseOptions(int Argc, char **Argv) {
  Options Out;
  po::options_description Known("Options");
  Known.add_options()("help", "print this help")(
      "control", po::value(&Out.m_address), "control address of any process")(
      "key", po::value(&Out.m_sharedKey),
      "shared key")("json", po::bool_switch(&Out.m_json), "print JSON")(
      "based-on", po::value(&Out.m_basedOn),
      "refuse if a server was changed after this generation")(
      "allow-empty-class", po::bool_switch(&Out.m_allowEmptyClass),
      "allow a change that leaves a class without servers")(
      "words", po::value(&Out.m_words), "command");
  po::positional_options_description Positional;
  Positional.add("words", -1);
  po::variables_map Values;
  po::store(po::command_line_parser(Argc, Argv)
                .options(Known)
                .positional(Positional)
                .run(),
            Values);
  po::notify(Values);
  if (Values.count("help") > 0 || Out.m_words.empty() ||
      Out.m_address.empty()) {
    std::cout << Usage << Known;
    return std::nullopt;
  }
  return Out;
}

Result<Json::Value> callProcess(const Options &Line, const std::string &Method,
                                const Json::Value &Parameters) {
  const Result<Endpoint> Peer = parseEndpoint(Line.m_address);
  if (!Peer)
    return std::error_code(ControlErrc::Unreachable);
  HttpClient Client(HttpClientLimits{});
  RpcClient Rpc(Client, Peer.value(), Line.m_sharedKey, "/rpc/operator");
  return runBlocking(Rpc.call(Method, Parameters, CallTimeout));
}

Result<Json::Value> readFile(const std::string &Name) {
  std::ifstream File(Name);
  if (!File)
    return std::make_error_code(std::errc::no_such_file_or_directory);
  std::ostringstream Text;
  Text << File.rdbuf();
  return parseJson(Text.str());
}

int printOutcome(const Options &Line, const Result<Json::Value> &Outcome) {
  if (!Outcome) {
    std::cerr << "refused: " << Outcome.error().message() << '\n';
    return Outcome.error() == ControlErrc::Unreachable ? ExitUnreachable
                                                       : ExitRefused;
  }
  if (Line.m_json)
    std::cout << toText(Outcome.value()) << '\n';
  else
    std::cout << "accepted, in force at generation "
              << Outcome.value()["generation"].asUInt64() << '\n';
  return ExitDone;
}

int applyClassFile(const Options &Line) {
  const Result<Json::Value> File = readFile(Line.m_words[2]);
  if (!File || !File.value().isObject()) {
    std::cerr << "cannot read " << Line.m_words[2] << '\n';
    return ExitUsage;
  }
  Json::Value Parameters;
  Parameters["classes"] = File.value()["classes"];
  Parameters["operation"] = makeOperation();
  return printOutcome(Line, callProcess(Line, "classes", Parameters));
}

std::optional<ServerAction> parseAction(const std::string &Word) {
  for (const ServerAction Action :
       {ServerAction::Join, ServerAction::Leave, ServerAction::Recall,
        ServerAction::Restore})
    if (Word == toText(Action))
      return Action;
  return std::nullopt;
}

int changeServers(const Options &Line) {
  const std::optional<ServerAction> Action = parseAction(Line.m_words[1]);
  if (!Action) {
    std::cerr << Usage;
    return ExitUsage;
  }
  ServerChange Change;
  Change.m_action = *Action;
  Change.m_operation = makeOperation();
  Change.m_basedOn = Line.m_basedOn;
  Change.m_allowEmptyClass = Line.m_allowEmptyClass;
  if (*Action != ServerAction::Join) {
    for (std::size_t I = 2; I < Line.m_words.size(); ++I)
      Change.m_servers.push_back({Line.m_words[I]});
    return printOutcome(Line, callProcess(Line, "change", toJson(Change)));
  }
  const Result<Json::Value> File = readFile(Line.m_words[2]);
  if (!File || !File.value().isObject()) {
    std::cerr << "cannot read " << Line.m_words[2] << '\n';
    return ExitUsage;
  }
  for (const Json::Value &Item : File.value()["servers"]) {
    const Result<ServerRecord> Server = serverFromJson(Item);
    if (!Server) {
      std::cerr << "not a server: " << toText(Item) << '\n';
      return ExitUsage;
    }
    Change.m_servers.push_back(Server.value());
  }
  return printOutcome(Line, callProcess(Line, "change", toJson(Change)));
}

int printStatus(const Options &Line) {
  const Result<Json::Value> Status =
      callProcess(Line, "status", Json::Value(Json::objectValue));
  if (!Status || Line.m_json)
    return printOutcome(Line, Status);
  const Json::Value &Value = Status.value();
  std::cout << "process " << Value["process"].asString() << ", generation "
            << Value["view"]["generation"].asUInt64() << ", settled "
            << Value["settled"].asUInt64() << ", lease "
            << (Value["has_lease"].asBool() ? "held" : "lost") << '\n';
  for (const Json::Value &Server : Value["view"]["servers"])
    std::cout << "  " << Server["name"].asString() << "  "
              << Server["class"].asString() << "  "
              << Server["state"].asString()
              << (Server["suspended"].asBool() ? " (suspended)" : "") << '\n';
  return ExitDone;
}

int run(int Argc, char **Argv) {
  const std::optional<Options> Line = parseOptions(Argc, Argv);
  if (!Line)
    return ExitUsage;
  const std::vector<std::string> &Words = Line->m_words;
  if (Words[0] == "status")
    return printStatus(*Line);
  if (Words.size() >= 3 && Words[0] == "class" && Words[1] == "apply")
    return applyClassFile(*Line);
  if (Words.size() >= 3 && Words[0] == "server")
    return changeServers(*Line);
  std::cerr << Usage;
  return ExitUsage;
}

} // namespace
} // namespace tamarackdrum

int main(int Argc, char **Argv) {
  try {
    return tamarackdrum::run(Argc, Argv);
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << '\n';
    return tamarackdrum::ExitUsage;
  }
}
