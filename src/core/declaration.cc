#include "tamarackdrum/declaration.h"

#include "tamarackdrum/error.h"
#include "tamarackdrum/life-cycle.h"

#include <algorithm>

namespace tamarackdrum {
namespace {

constexpr std::size_t MaxRecentOperations = 128;

ServerRecord *findMutable(View &Next, const std::string &Name) {
  const auto Found = std::find_if(
      Next.m_servers.begin(), Next.m_servers.end(),
      [&](const ServerRecord &Server) { return Server.m_name == Name; });
  return Found == Next.m_servers.end() ? nullptr : &*Found;
}

std::error_code joinServer(View &Next, const ServerRecord &Joining) {
  if (Joining.m_name.empty() || Joining.m_address.empty() ||
      findClass(Next, Joining.m_workClass) == nullptr)
    return ChangeErrc::Malformed;
  ServerRecord Record = Joining;
  Record.m_state = ServerState::Serving;
  Record.m_suspended = false;
  Record.m_changedAt = Next.m_generation;
  if (ServerRecord *Existing = findMutable(Next, Joining.m_name)) {
    const Result<ServerState> Wanted =
        nextServerState(Existing->m_state, ServerAction::Join);
    if (!Wanted)
      return Wanted.error();
    *Existing = Record;
    return {};
  }
  const auto Position =
      std::lower_bound(Next.m_servers.begin(), Next.m_servers.end(), Record,
                       [](const ServerRecord &Left, const ServerRecord &Right) {
                         return Left.m_name < Right.m_name;
                       });
  Next.m_servers.insert(Position, Record);
  return {};
}

std::error_code changeServer(View &Next, const ServerChange &Change,
                             const std::string &Name) {
  ServerRecord *Server = findMutable(Next, Name);
  if (Server == nullptr)
    return ChangeErrc::UnknownServer;
  const Result<ServerState> Wanted =
      nextServerState(Server->m_state, Change.m_action);
  if (!Wanted)
    return Wanted.error();
  if (Server->m_state == Wanted.value())
    return {};
  if (Change.m_basedOn != 0 && Server->m_changedAt > Change.m_basedOn)
    return ChangeErrc::Superseded;
  Server->m_state = Wanted.value();
  Server->m_changedAt = Next.m_generation;
  if (Wanted.value() == ServerState::Serving)
    Server->m_suspended = false;
  return {};
}

bool hasServing(const View &Current, const std::string &WorkClass) {
  return std::any_of(Current.m_servers.begin(), Current.m_servers.end(),
                     [&](const ServerRecord &Server) {
                       return Server.m_workClass == WorkClass &&
                              Server.m_state == ServerState::Serving;
                     });
}

bool emptiesClass(const View &Before, const View &After) {
  return std::any_of(After.m_classes.begin(), After.m_classes.end(),
                     [&](const ClassTarget &Target) {
                       return hasServing(Before, Target.m_name) &&
                              !hasServing(After, Target.m_name);
                     });
}

} // namespace

Result<View> applyServerChange(View Next, const ServerChange &Change) {
  if (Change.m_servers.empty())
    return std::error_code(ChangeErrc::Malformed);
  const View Before = Next;
  for (const ServerRecord &Server : Change.m_servers) {
    const std::error_code Error =
        Change.m_action == ServerAction::Join
            ? joinServer(Next, Server)
            : changeServer(Next, Change, Server.m_name);
    if (Error)
      return Error;
  }
  if (!Change.m_allowEmptyClass && emptiesClass(Before, Next))
    return std::error_code(ChangeErrc::EmptiesClass);
  return recordOperation(std::move(Next), Change.m_operation);
}

Result<View> applyClasses(View Next, std::vector<ClassTarget> Classes) {
  const auto ByName = [](const ClassTarget &Left, const ClassTarget &Right) {
    return Left.m_name < Right.m_name;
  };
  std::sort(Classes.begin(), Classes.end(), ByName);
  for (std::size_t I = 0; I < Classes.size(); ++I) {
    const bool IsRepeated = I > 0 && Classes[I].m_name == Classes[I - 1].m_name;
    if (Classes[I].m_name.empty() || IsRepeated)
      return std::error_code(ChangeErrc::Malformed);
  }
  Next.m_classes = std::move(Classes);
  std::erase_if(Next.m_servers, [&](const ServerRecord &Server) {
    return findClass(Next, Server.m_workClass) == nullptr;
  });
  const std::string Operation = Next.m_operation;
  return recordOperation(std::move(Next), Operation);
}

View recordOperation(View Next, const std::string &Operation) {
  std::vector<std::string> &Recent = Next.m_recentOperations;
  if (Recent.size() >= MaxRecentOperations)
    Recent.erase(Recent.begin());
  Recent.push_back(Operation);
  return Next;
}

bool hasOperation(const View &Current, const std::string &Operation) {
  return std::find(Current.m_recentOperations.begin(),
                   Current.m_recentOperations.end(),
                   Operation) != Current.m_recentOperations.end();
}

} // namespace tamarackdrum
