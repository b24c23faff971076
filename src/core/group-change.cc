#include "tamarackdrum/group-change.h"

#include "tamarackdrum/error.h"

#include <algorithm>

namespace tamarackdrum {
namespace {

bool isChanging(const View &Current) { return !Current.m_outgoing.empty(); }

void eraseByName(std::vector<Member> &Group, const std::string &Name) {
  std::erase_if(Group, [&](const Member &Item) { return Item.m_name == Name; });
}

bool hasName(const std::vector<Member> &Group, const std::string &Name) {
  return std::any_of(Group.begin(), Group.end(),
                     [&](const Member &Item) { return Item.m_name == Name; });
}

} // namespace

bool isMember(const std::vector<Member> &Group, const Member &Item) {
  return std::find(Group.begin(), Group.end(), Item) != Group.end();
}

Result<View> addMember(View Next, const Member &Joining) {
  if (isMember(Next.m_members, Joining))
    return Next;
  if (hasName(Next.m_members, Joining.m_name))
    return removeMember(std::move(Next), Joining.m_name);
  if (isChanging(Next))
    return std::error_code(ChangeErrc::GroupChanging);
  Next.m_outgoing = Next.m_members;
  Next.m_members.push_back(Joining);
  Next.m_groupChangedAt = Next.m_generation;
  return Next;
}

Result<View> removeMember(View Next, const std::string &Name) {
  if (isChanging(Next))
    return std::error_code(ChangeErrc::GroupChanging);
  if (!hasName(Next.m_members, Name) || Next.m_members.size() == 1)
    return std::error_code(ChangeErrc::Malformed);
  Next.m_outgoing = Next.m_members;
  eraseByName(Next.m_members, Name);
  Next.m_groupChangedAt = Next.m_generation;
  return Next;
}

Result<View> removeLostMembers(View Next,
                               const std::vector<std::string> &Names) {
  std::vector<Member> Left = Next.m_members;
  for (const std::string &Name : Names) {
    eraseByName(Left, Name);
    eraseByName(Next.m_outgoing, Name);
  }
  if (Left.empty() || Left.size() == Next.m_members.size())
    return std::error_code(ChangeErrc::Malformed);
  // Without the lost members, a majority of those left meets every majority
  // of the old group that can still be formed.
  if (!isChanging(Next))
    Next.m_outgoing = Left;
  Next.m_members = std::move(Left);
  Next.m_groupChangedAt = Next.m_generation;
  return Next;
}

View finishGroupChange(View Next) {
  Next.m_outgoing.clear();
  return Next;
}

} // namespace tamarackdrum
