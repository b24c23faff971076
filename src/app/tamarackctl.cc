/// \file
/// tamarackctl: the operators' command.
///
/// Exit codes: 0 done, 1 refused, 2 bad command line or file, 3 no process
/// could be reached, 4 committed but not yet in force.

#include "ctl-commands.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>

namespace po = boost::program_options;

namespace tamarackdrum {
namespace {

constexpr const char *Usage =
    "Usage: tamarackctl --control IP:PORT[,IP:PORT...] COMMAND\n"
    "  class apply FILE                 declare the classes of FILE\n"
    "  class diff FILE                  print what apply would change\n"
    "  server join FILE                 declare the servers of FILE\n"
    "  server leave|recall|restore NAME...   change many in one commit\n"
    "  member remove NAME...            processes that have ended for good\n"
    "  status                           processes, lease, servers\n"
    "  report                           measures of each class\n"
    "  watch                            print each new generation\n"
    "The shared key is read from --key-file, --key or TAMARACK_KEY.\n";

/// Returns the processes of a list such as "IP:PORT,IP:PORT".
std::optional<std::vector<Endpoint>>
parseProcesses(const std::vector<std::string> &Lists) {
  std::vector<Endpoint> Out;
  for (const std::string &List : Lists) {
    std::vector<std::string> Texts;
    boost::algorithm::split(Texts, List, boost::algorithm::is_any_of(","));
    for (const std::string &Text : Texts) {
      const Result<Endpoint> Process = parseEndpoint(Text);
      if (!Process) {
        std::cerr << "--control: found \"" << Text << "\", expected IP:PORT\n";
        return std::nullopt;
      }
      Out.push_back(Process.value());
    }
  }
  return Out;
}

std::string readKey(const std::string &Key, const std::string &KeyFile) {
  if (!Key.empty())
    return Key;
  std::string Out;
  if (!KeyFile.empty()) {
    std::ifstream File(KeyFile);
    std::getline(File, Out);
    return Out;
  }
  const char *FromEnvironment = std::getenv("TAMARACK_KEY");
  return FromEnvironment == nullptr ? "" : FromEnvironment;
}

std::optional<CtlOptions> parseOptions(int Argc, char **Argv) {
  CtlOptions Out;
  std::vector<std::string> Lists;
  std::string Key;
  std::string KeyFile;
  po::options_description Known("Options");
  Known.add_options()("help", "print this help")(
      "control", po::value(&Lists)->composing(),
      "control addresses; the next one is tried if one is unreachable")(
      "key", po::value(&Key), "shared key")("key-file", po::value(&KeyFile),
                                            "file with the shared key")(
      "json", po::bool_switch(&Out.m_json),
      "print JSON")("based-on", po::value(&Out.m_basedOn),
                    "refuse if a server was changed after this generation")(
      "allow-empty-class", po::bool_switch(&Out.m_allowEmptyClass),
      "allow a change that leaves a class without servers")(
      "count", po::value(&Out.m_count), "end watch after this many changes")(
      "window", po::value(&Out.m_windowSeconds),
      "window of the report in seconds, at most 3600")(
      "html", po::value(&Out.m_htmlFile), "write the report as an HTML page")(
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
  const std::optional<std::vector<Endpoint>> Processes = parseProcesses(Lists);
  if (!Processes)
    return std::nullopt;
  if (Values.count("help") > 0 || Out.m_words.empty() || Processes->empty()) {
    std::cout << Usage << Known;
    return std::nullopt;
  }
  Out.m_processes = *Processes;
  Out.m_sharedKey = readKey(Key, KeyFile);
  return Out;
}

int run(int Argc, char **Argv) {
  const std::optional<CtlOptions> Line = parseOptions(Argc, Argv);
  if (!Line)
    return ExitUsage;
  const std::optional<int> Code = runCommand(*Line);
  if (Code)
    return *Code;
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
