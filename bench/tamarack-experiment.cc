/// \file
/// tamarack-experiment: runs a JSON experiment against real processes on this
/// machine and writes what callers and servers saw.
///
/// Exit codes: 0 done, 1 a key ran on two servers at once, a request id ran
/// twice or an answer was another request's, 2 bad command line or experiment.

#include "../test/process/site.h"

#include <boost/program_options.hpp>
#include <iostream>
#include <set>
#include <sstream>

namespace po = boost::program_options;

namespace tamarackdrum {
namespace {

constexpr int MaxSeconds = 120;
constexpr std::size_t MaxServers = 100;
constexpr std::size_t MaxHosts = 12;

/// One class of work with its servers and its load.
struct ExperimentClass {
  ClassTarget m_target;
  std::size_t m_servers = 1;
  int m_slots = 2;
  int m_workMs = 2;
  double m_rate = 100;
  std::size_t m_keys = 0;
};

/// One step at a time after the start of the load.
struct ExperimentStep {
  Millis m_at{0};
  std::string m_action;
  std::vector<std::string> m_servers;
  std::size_t m_host = 0;
};

struct Experiment {
  std::string m_name;
  std::uint32_t m_seed = 1;
  int m_seconds = 10;
  std::size_t m_hosts = 3;
  std::vector<ExperimentClass> m_classes;
  std::vector<ExperimentStep> m_steps;
};

ExperimentClass classOf(const Json::Value &Item) {
  ExperimentClass Out;
  Out.m_target.m_name = Item["name"].asString();
  Out.m_target.m_keyed = Item.get("keyed", false).asBool();
  Out.m_target.m_onceOnly = Item.get("once_only", false).asBool();
  Out.m_target.m_idempotent = !Out.m_target.m_onceOnly;
  if (Item.get("preference", "availability").asString() == "stability")
    Out.m_target.m_preference = Preference::Stability;
  Out.m_servers = Item.get("servers", 1).asUInt();
  Out.m_slots = Item.get("slots", Out.m_slots).asInt();
  Out.m_workMs = Item.get("work_ms", Out.m_workMs).asInt();
  Out.m_rate = Item.get("rate", Out.m_rate).asDouble();
  Out.m_keys = Item.get("keys", 0).asUInt();
  return Out;
}

/// Throws Json::Exception on values of the wrong type.
std::optional<Experiment> readExperiment(const std::string &File) {
  std::ifstream Stream(File);
  std::ostringstream Text;
  Text << Stream.rdbuf();
  const Result<Json::Value> Parsed = parseJson(Text.str());
  if (!Parsed || !Parsed.value().isObject())
    return std::nullopt;
  const Json::Value &Root = Parsed.value();
  Experiment Out;
  Out.m_name = Root["name"].asString();
  Out.m_seed = Root.get("seed", Out.m_seed).asUInt();
  Out.m_seconds = Root.get("seconds", Out.m_seconds).asInt();
  Out.m_hosts = Root.get("hosts", Json::UInt64(Out.m_hosts)).asUInt();
  std::size_t Servers = 0;
  for (const Json::Value &Item : Root["classes"]) {
    Out.m_classes.push_back(classOf(Item));
    Servers += Out.m_classes.back().m_servers;
  }
  for (const Json::Value &Item : Root["steps"]) {
    ExperimentStep Step{Millis(Item["at_ms"].asInt64()),
                        Item["do"].asString(),
                        {},
                        Item.get("host", 0).asUInt()};
    for (const Json::Value &Name : Item["servers"])
      Step.m_servers.push_back(Name.asString());
    Out.m_steps.push_back(std::move(Step));
  }
  const bool IsBounded = Out.m_seconds > 0 && Out.m_seconds <= MaxSeconds &&
                         Out.m_hosts > 0 && Out.m_hosts <= MaxHosts &&
                         Servers > 0 && Servers <= MaxServers;
  if (!IsBounded)
    return std::nullopt;
  return Out;
}

/// One experiment while it runs.
class Runner {
public:
  explicit Runner(Experiment Plan) : m_plan(std::move(Plan)) {}

  /// Returns the result, or nothing if the site did not become ready.
  std::optional<Json::Value> run(const std::string &Directory) {
    startSite();
    if (!m_site.awaitReady())
      return std::nullopt;
    std::vector<std::string> Files;
    std::vector<test::Child> Loads;
    for (const ExperimentClass &Item : m_plan.m_classes) {
      Files.push_back(Directory + "/load-" + Item.m_target.m_name + ".json");
      Loads.push_back(startLoad(Item, Files.back()));
    }
    const TimePoint Start = BootClock::now();
    for (const ExperimentStep &Step : m_plan.m_steps) {
      std::this_thread::sleep_until(Start + Step.m_at);
      note(Step, apply(Step));
    }
    for (test::Child &Load : Loads)
      Load.wait();
    thawAll();
    for (std::size_t I = 0; I < m_site.servers().size(); ++I)
      collectRecords(I);
    return result(Files);
  }

private:
  void startSite() {
    for (const ExperimentClass &Item : m_plan.m_classes) {
      m_site.declareClass(Item.m_target);
      for (std::size_t I = 0; I < Item.m_servers; ++I) {
        m_site.addServer(Item.m_target.m_name + "-" + std::to_string(I),
                         Item.m_target.m_name,
                         {"--work-ms", std::to_string(Item.m_workMs)});
        Json::Value Slots;
        Slots["slots"] = Item.m_slots;
        test::fetch(m_site.servers().back().m_port,
                    boost::beast::http::verb::post, "/fault", toText(Slots));
      }
    }
    m_site.startHosts(m_plan.m_hosts);
  }

  test::Child startLoad(const ExperimentClass &Item, const std::string &File) {
    std::vector<std::string> Words{std::string(TAMARACKDRUM_BIN_DIR) +
                                       "/tamarack-load",
                                   "--class",
                                   Item.m_target.m_name,
                                   "--rate",
                                   std::to_string(Item.m_rate),
                                   "--seconds",
                                   std::to_string(m_plan.m_seconds),
                                   "--keys",
                                   std::to_string(Item.m_keys),
                                   "--seed",
                                   std::to_string(m_plan.m_seed),
                                   "--output",
                                   File};
    if (Item.m_target.m_onceOnly)
      Words.push_back("--id");
    for (const test::SiteHost &Host : m_site.hosts()) {
      Words.push_back("--target");
      Words.push_back("127.0.0.1:" + std::to_string(Host.m_callerPort));
    }
    return test::Child(Words, File + ".log");
  }

  std::size_t serverIndex(const std::string &Name) {
    std::vector<test::SiteServer> &Servers = m_site.servers();
    const auto Found = std::find_if(
        Servers.begin(), Servers.end(),
        [&](const test::SiteServer &Item) { return Item.m_name == Name; });
    return static_cast<std::size_t>(Found - Servers.begin());
  }

  void signalServers(const ExperimentStep &Step, int Number) {
    for (const std::string &Name : Step.m_servers) {
      const std::size_t Index = serverIndex(Name);
      if (Index >= m_site.servers().size())
        continue;
      if (Number == SIGKILL)
        collectRecords(Index);
      m_site.servers()[Index].m_child->signal(Number);
    }
  }

  Result<Json::Value> change(const ExperimentStep &Step, ServerAction Action,
                             std::size_t Host) {
    return m_site.change(Host, Action, Step.m_servers,
                         "experiment-" + std::to_string(++m_operations));
  }

  /// Two operators at two hosts: one recalls, one restores.
  std::string race(const ExperimentStep &Step) {
    std::string First;
    const std::size_t Other = (Step.m_host + 1) % m_plan.m_hosts;
    std::thread Operator([&] {
      First = outcomeOf(change(Step, ServerAction::Recall, Step.m_host));
    });
    const std::string Second =
        outcomeOf(change(Step, ServerAction::Restore, Other));
    Operator.join();
    return "recall " + First + ", restore " + Second;
  }

  static std::string outcomeOf(const Result<Json::Value> &Reply) {
    return Reply ? "accepted" : Reply.error().message();
  }

  /// Returns what came of the step.
  std::string apply(const ExperimentStep &Step) {
    const std::string &Action = Step.m_action;
    if (Action == "kill-server")
      signalServers(Step, SIGKILL);
    else if (Action == "freeze-server")
      signalServers(Step, SIGSTOP);
    else if (Action == "thaw-server")
      signalServers(Step, SIGCONT);
    else if (Action == "kill-host")
      m_site.hosts()[Step.m_host % m_plan.m_hosts].m_child->signal(SIGKILL);
    else if (Action == "freeze-host")
      m_site.hosts()[Step.m_host % m_plan.m_hosts].m_child->signal(SIGSTOP);
    else if (Action == "thaw-host")
      m_site.hosts()[Step.m_host % m_plan.m_hosts].m_child->signal(SIGCONT);
    else if (Action == "table-down")
      m_site.platformFault("{\"client\":\"*\",\"refuse\":true}");
    else if (Action == "table-up")
      m_site.platformFault("{\"client\":\"*\"}");
    else if (Action == "recall")
      return outcomeOf(change(Step, ServerAction::Recall, Step.m_host));
    else if (Action == "restore")
      return outcomeOf(change(Step, ServerAction::Restore, Step.m_host));
    else if (Action == "race")
      return race(Step);
    else
      return "unknown action";
    return "done";
  }

  void note(const ExperimentStep &Step, const std::string &Outcome) {
    Json::Value Item;
    Item["at_ms"] = Json::Int64(Step.m_at.count());
    Item["do"] = Step.m_action;
    Item["outcome"] = Outcome;
    m_steps.append(Item);
  }

  void thawAll() {
    for (test::SiteServer &Server : m_site.servers())
      Server.m_child->signal(SIGCONT);
    for (test::SiteHost &Host : m_site.hosts())
      Host.m_child->signal(SIGCONT);
  }

  void collectRecords(std::size_t Index) {
    for (Json::Value Item : m_site.records(Index)) {
      Item["server"] = m_site.servers()[Index].m_name;
      m_records[Item["target"].asString()].push_back(Item);
    }
  }

  /// Pairs of runs of one key that overlap in time on two servers.
  std::uint64_t countOverlaps(const std::string &ClassName) const {
    std::uint64_t Overlaps = 0;
    for (const std::pair<const std::string, std::vector<Json::Value>> &Entry :
         m_records) {
      if (!Entry.first.starts_with("/" + ClassName + "/"))
        continue;
      std::vector<Json::Value> Runs = Entry.second;
      std::sort(Runs.begin(), Runs.end(),
                [](const Json::Value &Left, const Json::Value &Right) {
                  return Left["start_ns"].asInt64() <
                         Right["start_ns"].asInt64();
                });
      for (std::size_t I = 1; I < Runs.size(); ++I)
        if (Runs[I]["server"] != Runs[I - 1]["server"] &&
            Runs[I]["start_ns"].asInt64() < Runs[I - 1]["end_ns"].asInt64())
          ++Overlaps;
    }
    return Overlaps;
  }

  std::uint64_t countDuplicates(const std::string &ClassName) const {
    std::set<std::string> Ids;
    std::uint64_t Duplicates = 0;
    for (const std::pair<const std::string, std::vector<Json::Value>> &Entry :
         m_records)
      for (const Json::Value &Run : Entry.second)
        if (Entry.first.starts_with("/" + ClassName + "/") &&
            !Run["id"].asString().empty() &&
            !Ids.insert(Run["id"].asString()).second)
          ++Duplicates;
    return Duplicates;
  }

  Json::Value result(const std::vector<std::string> &Files) const {
    Json::Value Out;
    Out["name"] = m_plan.m_name;
    Out["seed"] = m_plan.m_seed;
    Out["hosts"] = Json::UInt64(m_plan.m_hosts);
    Out["steps"] = m_steps;
    bool IsClean = true;
    for (std::size_t I = 0; I < Files.size(); ++I) {
      const ExperimentClass &Item = m_plan.m_classes[I];
      std::ifstream Stream(Files[I]);
      std::ostringstream Text;
      Text << Stream.rdbuf();
      const Result<Json::Value> Load = parseJson(Text.str());
      Json::Value &Class = Out["classes"][Item.m_target.m_name];
      Class["load"] = Load ? Load.value() : Json::Value();
      if (Item.m_target.m_keyed)
        Class["overlaps"] = Json::UInt64(countOverlaps(Item.m_target.m_name));
      if (Item.m_target.m_onceOnly)
        Class["duplicates"] =
            Json::UInt64(countDuplicates(Item.m_target.m_name));
      IsClean = IsClean && Load.has_value() &&
                Class.get("overlaps", 0).asUInt64() == 0 &&
                Class.get("duplicates", 0).asUInt64() == 0 &&
                Class["load"]["foreign_answers"].asUInt64() == 0;
    }
    Out["clean"] = IsClean;
    return Out;
  }

  const Experiment m_plan;
  test::Site m_site;
  std::atomic<int> m_operations{0};
  Json::Value m_steps{Json::arrayValue};
  std::map<std::string, std::vector<Json::Value>> m_records;
};

int run(int Argc, char **Argv) {
  std::string File;
  std::string Output;
  po::options_description Known("Usage: tamarack-experiment FILE [options]");
  Known.add_options()("help", "print this help")("experiment", po::value(&File),
                                                 "experiment (JSON)")(
      "output", po::value(&Output)->default_value("experiment-result.json"),
      "result file");
  po::positional_options_description Positions;
  Positions.add("experiment", 1);
  po::variables_map Values;
  po::store(po::command_line_parser(Argc, Argv)
                .options(Known)
                .positional(Positions)
                .run(),
            Values);
  po::notify(Values);
  if (Values.count("help") > 0 || File.empty()) {
    std::cout << Known;
    return 2;
  }
  const std::optional<Experiment> Plan = readExperiment(File);
  if (!Plan) {
    std::cerr << File << ": no experiment, or out of bounds\n";
    return 2;
  }
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "tamarack-experiment-XXXXXX")
          .string();
  const std::string Directory = ::mkdtemp(Pattern.data());
  const std::optional<Json::Value> Outcome = Runner(*Plan).run(Directory);
  std::filesystem::remove_all(Directory);
  if (!Outcome) {
    std::cerr << "the entry hosts did not become ready\n";
    return 2;
  }
  std::ofstream(Output) << Outcome->toStyledString();
  std::cout << Outcome->toStyledString();
  return (*Outcome)["clean"].asBool() ? 0 : 1;
}

} // namespace
} // namespace tamarackdrum

int main(int Argc, char **Argv) {
  try {
    return tamarackdrum::run(Argc, Argv);
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << '\n';
    return 2;
  }
}
