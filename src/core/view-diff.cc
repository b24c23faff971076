#include "tamarackdrum/view-diff.h"

#include "tamarackdrum/error.h"
#include "tamarackdrum/view-json.h"

#include <algorithm>
#include <set>

namespace tamarackdrum {
namespace {

std::string changedMembers(const ClassTarget &Old, const ClassTarget &New) {
  const Json::Value Before = toJson(Old);
  const Json::Value After = toJson(New);
  std::string Out;
  for (const std::string &Name : After.getMemberNames())
    if (Before[Name] != After[Name])
      Out += " " + Name + " " + toText(Before[Name]) + " -> " +
             toText(After[Name]);
  return Out;
}

std::string stateText(const ServerRecord &Server) {
  return Server.m_suspended ? "suspended" : toText(Server.m_state);
}

std::size_t countServers(const View &Current, const std::string &WorkClass) {
  return static_cast<std::size_t>(
      std::count_if(Current.m_servers.begin(), Current.m_servers.end(),
                    [&](const ServerRecord &Server) {
                      return Server.m_workClass == WorkClass;
                    }));
}

/// Returns the classes of the servers that \p Change names.
std::set<std::string> namedClasses(const View &Current,
                                   const ServerChange &Change) {
  std::set<std::string> Out;
  for (const ServerRecord &Named : Change.m_servers)
    if (const ServerRecord *Server = findServer(Current, Named.m_name))
      Out.insert(Server->m_workClass);
  return Out;
}

} // namespace

std::vector<std::string> diffClasses(const View &Current,
                                     const std::vector<ClassTarget> &Classes) {
  std::vector<std::string> Out;
  std::set<std::string> Kept;
  for (const ClassTarget &Target : Classes) {
    Kept.insert(Target.m_name);
    const ClassTarget *Old = findClass(Current, Target.m_name);
    if (Old == nullptr)
      Out.push_back("+ " + Target.m_name);
    else if (*Old != Target)
      Out.push_back("~ " + Target.m_name + changedMembers(*Old, Target));
  }
  for (const ClassTarget &Old : Current.m_classes)
    if (!Kept.contains(Old.m_name))
      Out.push_back("- " + Old.m_name + " (removes " +
                    std::to_string(countServers(Current, Old.m_name)) +
                    " servers)");
  return Out;
}

std::vector<std::string> diffServers(const View &Before, const View &After) {
  std::vector<std::string> Out;
  for (const ServerRecord &New : After.m_servers) {
    const ServerRecord *Old = findServer(Before, New.m_name);
    if (Old != nullptr && stateText(*Old) == stateText(New))
      continue;
    Out.push_back(New.m_name + " (" + New.m_workClass + ") " +
                  (Old == nullptr ? "new" : stateText(*Old)) + " -> " +
                  stateText(New));
  }
  for (const ServerRecord &Old : Before.m_servers)
    if (findServer(After, Old.m_name) == nullptr)
      Out.push_back(Old.m_name + " (" + Old.m_workClass + ") removed");
  return Out;
}

bool declaresSame(const View &Left, const View &Right) {
  const auto IsSame = [](const ServerRecord &One, const ServerRecord &Other) {
    ServerRecord Aligned = One;
    Aligned.m_changedAt = Other.m_changedAt;
    return Aligned == Other;
  };
  return Left.m_classes == Right.m_classes &&
         Left.m_members == Right.m_members &&
         std::equal(Left.m_servers.begin(), Left.m_servers.end(),
                    Right.m_servers.begin(), Right.m_servers.end(), IsSame);
}

std::vector<std::string> describeConflicts(const View &Current,
                                           const ServerChange &Change,
                                           const std::error_code &Error) {
  std::vector<std::string> Out;
  if (Error == ChangeErrc::EmptiesClass)
    for (const std::string &WorkClass : namedClasses(Current, Change))
      Out.push_back("class " + WorkClass +
                    " would be left without a serving server at generation " +
                    std::to_string(Current.m_generation));
  for (const ServerRecord &Named : Change.m_servers) {
    const ServerRecord *Server = findServer(Current, Named.m_name);
    if (Error == ChangeErrc::UnknownServer && Server == nullptr)
      Out.push_back(Named.m_name + " is not declared at generation " +
                    std::to_string(Current.m_generation));
    if (Error == ChangeErrc::Superseded && Server != nullptr &&
        (Server->m_changedAt > Change.m_basedOn))
      Out.push_back(Named.m_name + " is " + toText(Server->m_state) +
                    " since generation " + std::to_string(Server->m_changedAt));
  }
  return Out;
}

} // namespace tamarackdrum
