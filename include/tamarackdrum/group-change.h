/// \file
/// Changes of the dispatch group. Each is made in two commits: the first names
/// the new group and keeps the old one as outgoing, so that leases need a
/// majority of both; the second drops the outgoing group once the first has
/// settled.

#ifndef TAMARACKDRUM_GROUP_CHANGE_H
#define TAMARACKDRUM_GROUP_CHANGE_H

#include "tamarackdrum/view.h"

namespace tamarackdrum {

/// Adds \p Joining. If the group has a member of its name, that member is
/// removed first and the process is to be added again once that has settled:
/// grants and acknowledgements are told apart by name. Errors are of
/// ChangeErrc; GroupChanging means that an earlier change has not settled.
Result<View> addMember(View Next, const Member &Joining);

/// Removes the member \p Name, which is still running.
Result<View> removeMember(View Next, const std::string &Name);

/// Removes the members \p Names, whose processes have ended for good. They
/// are no part of the outgoing group, so that their loss cannot block it.
Result<View> removeLostMembers(View Next,
                               const std::vector<std::string> &Names);

/// Drops the outgoing group. The caller has seen the change settle.
View finishGroupChange(View Next);

/// Returns whether \p Item is a member of \p Group.
bool isMember(const std::vector<Member> &Group, const Member &Item);

} // namespace tamarackdrum

#endif // TAMARACKDRUM_GROUP_CHANGE_H
