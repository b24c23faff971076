#include "ctl-commands.h"

#include "tamarackdrum/declaration-check.h"
#include "tamarackdrum/error.h"
#include "tamarackdrum/report-json.h"
#include "tamarackdrum/report-page.h"
#include "tamarackdrum/view-diff.h"
#include "tamarackdrum/view-json.h"

#include <fstream>
#include <iomanip>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

namespace tamarackdrum {
namespace {

constexpr Millis CallTimeout{10000};
constexpr Millis WatchInterval{200};
const Json::Value NoParameters(Json::objectValue);

std::string makeOperation() {
  std::random_device Device;
  std::ostringstream Out;
  Out << std::hex << Device() << Device() << Device();
  return Out.str();
}

OperatorClient makeClient(const CtlOptions &Line) {
  return OperatorClient(Line.m_processes, Line.m_sharedKey, CallTimeout);
}

Result<View> fetchView(OperatorClient &Client) {
  const Result<Json::Value> Status = Client.call("status", NoParameters);
  if (!Status)
    return Status.error();
  return viewFromJson(Status.value()["view"]);
}

/// Prints why \p Error was returned and returns the exit code.
int printError(const std::error_code &Error,
               const std::vector<std::string> &Details) {
  if (Error == ControlErrc::Unreachable) {
    std::cerr << "no process could be reached: not known whether the change "
                 "was committed; the same command may be repeated\n";
    return ExitUnreachable;
  }
  if (Error == ChangeErrc::NotInForce) {
    std::cerr << "committed, but not yet in force: no majority of the "
                 "processes has promised it; it stands and takes effect as "
                 "they are reached (see status)\n";
    return ExitNotInForce;
  }
  if (Error == ChangeErrc::Unsettled) {
    std::cerr << "not known whether the change stands: the table took it and "
                 "its reply was lost; look at status, or repeat the command\n";
    return ExitUnsettled;
  }
  std::cerr << "refused: " << Error.message() << '\n';
  for (const std::string &Detail : Details)
    std::cerr << "  " << Detail << '\n';
  return ExitRefused;
}

int printAccepted(const CtlOptions &Line, const Json::Value &Outcome) {
  if (Line.m_json)
    std::cout << toText(Outcome) << '\n';
  else if (Outcome["changed"].asBool())
    std::cout << "accepted, in force at generation "
              << Outcome["generation"].asUInt64() << '\n';
  else
    std::cout << "no change, in force at generation "
              << Outcome["generation"].asUInt64() << '\n';
  return ExitDone;
}

/// Prints \p Faults and returns whether there is any.
bool printFaults(const std::string &File, const SettingsFaults &Faults) {
  for (const SettingsFault &Fault : Faults)
    std::cerr << File << ": " << Fault.m_path << ": found " << Fault.m_found
              << ", expected " << Fault.m_expected << '\n';
  return !Faults.empty();
}

/// Returns the array \p Member of the object that a file holds.
std::optional<Json::Value> readFile(const std::string &Name,
                                    const char *Member) {
  std::ifstream File(Name);
  if (!File) {
    std::cerr << Name << ": cannot be read\n";
    return std::nullopt;
  }
  std::ostringstream Text;
  Text << File.rdbuf();
  const Result<Json::Value> Parsed = parseJson(Text.str());
  SettingsFaults Faults;
  if (!Parsed || !Parsed.value().isObject())
    Faults.push_back({"$", "text that is not a JSON object", "an object"});
  else
    for (const std::string &Found : Parsed.value().getMemberNames())
      if (Found != Member)
        Faults.push_back(
            {"$." + Found, toText(Parsed.value()[Found]), "no such member"});
  if (printFaults(Name, Faults))
    return std::nullopt;
  return Parsed.value()[Member];
}

/// Reads and checks the classes of a file. The longest deadline is that of
/// the processes.
std::optional<std::vector<ClassTarget>> readClassFile(const std::string &Name,
                                                      Millis MaxDeadline) {
  const std::optional<Json::Value> Items = readFile(Name, "classes");
  if (!Items)
    return std::nullopt;
  SettingsFaults Faults;
  const std::vector<ClassTarget> Classes =
      readClasses(*Items, "$.classes", MaxDeadline, Faults);
  if (printFaults(Name, Faults))
    return std::nullopt;
  return Classes;
}

Millis maxDeadlineOf(const Json::Value &Status) {
  return Millis(Status["max_dispatch_ms"].asInt64());
}

int diffClassFile(const CtlOptions &Line) {
  OperatorClient Client = makeClient(Line);
  const Result<Json::Value> Status = Client.call("status", NoParameters);
  if (!Status)
    return printError(Status.error(), {});
  const Result<View> Current = viewFromJson(Status.value()["view"]);
  if (!Current)
    return printError(ChangeErrc::TableUnavailable, {});
  const std::optional<std::vector<ClassTarget>> Classes =
      readClassFile(Line.m_words[2], maxDeadlineOf(Status.value()));
  if (!Classes)
    return ExitUsage;
  const std::vector<std::string> Lines = diffClasses(Current.value(), *Classes);
  for (const std::string &Text : Lines)
    std::cout << Text << '\n';
  if (Lines.empty())
    std::cout << "no difference at generation " << Current.value().m_generation
              << '\n';
  return ExitDone;
}

int applyClassFile(const CtlOptions &Line) {
  OperatorClient Client = makeClient(Line);
  const Result<Json::Value> Status = Client.call("status", NoParameters);
  if (!Status)
    return printError(Status.error(), {});
  const std::optional<std::vector<ClassTarget>> Classes =
      readClassFile(Line.m_words[2], maxDeadlineOf(Status.value()));
  if (!Classes)
    return ExitUsage;
  Json::Value Parameters;
  Parameters["classes"] = Json::Value(Json::arrayValue);
  for (const ClassTarget &Target : *Classes)
    Parameters["classes"].append(toJson(Target));
  Parameters["operation"] = makeOperation();
  const Result<Json::Value> Outcome = Client.call("classes", Parameters);
  if (!Outcome)
    return printError(Outcome.error(), {});
  return printAccepted(Line, Outcome.value());
}

std::optional<ServerAction> parseAction(const std::string &Word) {
  for (const ServerAction Action :
       {ServerAction::Join, ServerAction::Leave, ServerAction::Recall,
        ServerAction::Restore})
    if (Word == toText(Action))
      return Action;
  return std::nullopt;
}

/// Reads the servers that the command line names, or those of its file.
std::optional<std::vector<ServerRecord>> readServers(const CtlOptions &Line,
                                                     ServerAction Action) {
  std::vector<ServerRecord> Out;
  if (Action != ServerAction::Join) {
    for (std::size_t I = 2; I < Line.m_words.size(); ++I)
      Out.push_back({Line.m_words[I]});
    return Out;
  }
  const std::optional<Json::Value> Items = readFile(Line.m_words[2], "servers");
  if (!Items)
    return std::nullopt;
  SettingsFaults Faults;
  Out = readServers(*Items, "$.servers", Faults);
  if (printFaults(Line.m_words[2], Faults))
    return std::nullopt;
  return Out;
}

int changeServers(const CtlOptions &Line, ServerAction Action) {
  const std::optional<std::vector<ServerRecord>> Servers =
      readServers(Line, Action);
  if (!Servers)
    return ExitUsage;
  ServerChange Change;
  Change.m_action = Action;
  Change.m_servers = *Servers;
  Change.m_operation = makeOperation();
  Change.m_basedOn = Line.m_basedOn;
  Change.m_allowEmptyClass = Line.m_allowEmptyClass;
  OperatorClient Client = makeClient(Line);
  const Result<Json::Value> Outcome = Client.call("change", toJson(Change));
  if (Outcome)
    return printAccepted(Line, Outcome.value());
  const Result<View> Current = fetchView(Client);
  const std::vector<std::string> Details =
      Current ? describeConflicts(Current.value(), Change, Outcome.error())
              : std::vector<std::string>();
  return printError(Outcome.error(), Details);
}

/// Declares that the processes of members have ended for good.
int removeMembers(const CtlOptions &Line) {
  Json::Value Parameters;
  Parameters["operation"] = makeOperation();
  for (std::size_t I = 2; I < Line.m_words.size(); ++I)
    Parameters["names"].append(Line.m_words[I]);
  OperatorClient Client = makeClient(Line);
  const Result<Json::Value> Outcome = Client.call("remove_members", Parameters);
  if (!Outcome)
    return printError(Outcome.error(), {});
  return printAccepted(Line, Outcome.value());
}

/// Status of every process in the view of the first one reached.
Result<Json::Value> collectStatus(OperatorClient &Client) {
  const Result<View> Current = fetchView(Client);
  if (!Current)
    return Current.error();
  Json::Value Out;
  bool IsReady = true;
  Generation Newest = 0;
  for (const MemberAnswer &Answer :
       Client.callEach(allMembers(Current.value()), "status", NoParameters)) {
    Json::Value Item;
    Item["process"] = Answer.m_member.m_name;
    Item["zone"] = Answer.m_member.m_zone;
    Item["address"] = Answer.m_member.m_address;
    if (!Answer.m_answer) {
      Item["error"] = Answer.m_answer.error().message();
      IsReady = false;
    } else {
      const Json::Value &Status = Answer.m_answer.value();
      const Generation Seen = Status["view"]["generation"].asUInt64();
      Item["generation"] = Json::UInt64(Seen);
      for (const char *Name :
           {"state", "has_lease", "settled", "answered", "not_run", "unknown"})
        Item[Name] = Status[Name];
      IsReady = IsReady && Status["has_lease"].asBool() &&
                Status["settled"].asUInt64() == Seen &&
                Seen >= Current.value().m_generation &&
                (Newest == 0 || Newest == Seen);
      Newest = Seen;
    }
    Out["processes"].append(Item);
  }
  Out["ready"] = IsReady;
  Out["view"] = toJson(Current.value());
  return Out;
}

void printProcesses(const Json::Value &Processes) {
  std::cout << std::left << std::setw(12) << "PROCESS" << std::setw(10)
            << "ZONE" << std::setw(10) << "STATE" << std::setw(7) << "LEASE"
            << std::setw(12) << "GENERATION" << std::setw(10) << "SETTLED"
            << std::setw(10) << "ANSWERED" << std::setw(9) << "NOT-RUN"
            << "UNKNOWN\n";
  for (const Json::Value &Item : Processes) {
    std::cout << std::setw(12) << Item["process"].asString() << std::setw(10)
              << Item["zone"].asString();
    if (Item.isMember("error")) {
      std::cout << "not reached: " << Item["error"].asString() << '\n';
      continue;
    }
    std::cout << std::setw(10) << Item["state"].asString() << std::setw(7)
              << (Item["has_lease"].asBool() ? "held" : "lost") << std::setw(12)
              << Item["generation"].asUInt64() << std::setw(10)
              << Item["settled"].asUInt64() << std::setw(10)
              << Item["answered"].asUInt64() << std::setw(9)
              << Item["not_run"].asUInt64() << Item["unknown"].asUInt64()
              << '\n';
  }
}

void printServers(const Json::Value &Servers) {
  std::cout << std::left << std::setw(16) << "SERVER" << std::setw(12)
            << "CLASS" << std::setw(10) << "STATE" << std::setw(18) << "ADDRESS"
            << "CHANGED-AT\n";
  for (const Json::Value &Item : Servers)
    std::cout << std::setw(16) << Item["name"].asString() << std::setw(12)
              << Item["class"].asString() << std::setw(10)
              << (Item["suspended"].asBool() ? "suspended"
                                             : Item["state"].asString())
              << std::setw(18) << Item["address"].asString()
              << Item["changed_at"].asUInt64() << '\n';
}

int printStatus(const CtlOptions &Line) {
  OperatorClient Client = makeClient(Line);
  const Result<Json::Value> Status = collectStatus(Client);
  if (!Status)
    return printError(Status.error(), {});
  if (Line.m_json) {
    std::cout << toText(Status.value()) << '\n';
    return ExitDone;
  }
  printProcesses(Status.value()["processes"]);
  std::cout << '\n';
  printServers(Status.value()["view"]["servers"]);
  return ExitDone;
}

/// Prints what changed between two views.
void printChange(const CtlOptions &Line, const View &Old, const View &Next) {
  Json::Value Out;
  Out["generation"] = Json::UInt64(Next.m_generation);
  Out["committer"] = Next.m_committer;
  Out["changes"] = Json::Value(Json::arrayValue);
  for (const std::string &Text : diffClasses(Old, Next.m_classes))
    Out["changes"].append(Text);
  for (const std::string &Text : diffServers(Old, Next))
    Out["changes"].append(Text);
  if (Line.m_json) {
    std::cout << toText(Out) << std::endl;
    return;
  }
  std::cout << "generation " << Next.m_generation << " by " << Next.m_committer
            << '\n';
  for (const Json::Value &Text : Out["changes"])
    std::cout << "  " << Text.asString() << '\n';
  std::cout << std::flush;
}

int watchView(const CtlOptions &Line) {
  OperatorClient Client = makeClient(Line);
  std::optional<View> Last;
  std::uint64_t Printed = 0;
  while (Line.m_count == 0 || Printed < Line.m_count) {
    const Result<View> Current = fetchView(Client);
    if (!Current && !Last)
      return printError(Current.error(), {});
    if (!Current) {
      std::cerr << "not reached: " << Current.error().message() << '\n';
    } else if (!Last || Current.value().m_generation > Last->m_generation) {
      printChange(Line, Last.value_or(View{}), Current.value());
      Last = Current.value();
      ++Printed;
    }
    std::this_thread::sleep_for(WatchInterval);
  }
  return ExitDone;
}

/// Asks every member for its record of the window.
SloReport collectReport(OperatorClient &Client, const View &Current,
                        ReportWindow Window) {
  Json::Value Parameters;
  // Burn rates reach back further than a short window.
  Parameters["since_unix_ms"] = Json::Int64(Window.m_to - MaxWindow.count());
  std::vector<ProcessRecord> Records;
  std::vector<MissingProcess> Missing;
  for (const MemberAnswer &Answer :
       Client.callEach(allMembers(Current), "report", Parameters)) {
    const Result<ProcessRecord> Record =
        Answer.m_answer ? processRecordFromJson(Answer.m_answer.value())
                        : Result<ProcessRecord>(Answer.m_answer.error());
    if (Record)
      Records.push_back(Record.value());
    else
      Missing.push_back({Answer.m_member.m_name, Record.error().message()});
  }
  return makeReport(Current, Records, std::move(Missing), Window);
}

int printReport(const CtlOptions &Line) {
  OperatorClient Client = makeClient(Line);
  const Result<View> Current = fetchView(Client);
  if (!Current)
    return printError(Current.error(), {});
  const std::int64_t Now = unixMillis();
  const Millis Length =
      std::min<Millis>(std::chrono::seconds(Line.m_windowSeconds), MaxWindow);
  const SloReport Report =
      collectReport(Client, Current.value(), {Now - Length.count(), Now});
  if (!Line.m_htmlFile.empty() &&
      !(std::ofstream(Line.m_htmlFile) << toHtml(Report))) {
    std::cerr << "cannot write " << Line.m_htmlFile << '\n';
    return ExitUsage;
  }
  std::cout << (Line.m_json ? toText(toJson(Report)) + "\n" : toText(Report));
  return ExitDone;
}

} // namespace

std::optional<int> runCommand(const CtlOptions &Line) {
  const std::vector<std::string> &Words = Line.m_words;
  if (Words[0] == "status" && Words.size() == 1)
    return printStatus(Line);
  if (Words[0] == "watch" && Words.size() == 1)
    return watchView(Line);
  if (Words[0] == "report" && Words.size() == 1)
    return printReport(Line);
  if (Words[0] == "class" && Words.size() == 3 && Words[1] == "apply")
    return applyClassFile(Line);
  if (Words[0] == "class" && Words.size() == 3 && Words[1] == "diff")
    return diffClassFile(Line);
  if (Words[0] == "member" && Words.size() >= 3 && Words[1] == "remove")
    return removeMembers(Line);
  if (Words[0] != "server" || Words.size() < 3)
    return std::nullopt;
  const std::optional<ServerAction> Action = parseAction(Words[1]);
  if (!Action)
    return std::nullopt;
  return changeServers(Line, *Action);
}

} // namespace tamarackdrum
