/// \file
/// Port to the platform's list of live and leaving hosts, and the rule by
/// which a member that is gone leaves the group.

#ifndef TAMARACKDRUM_HOST_LIST_H
#define TAMARACKDRUM_HOST_LIST_H

#include "tamarackdrum/view.h"

#include <boost/asio/awaitable.hpp>
#include <set>

namespace tamarackdrum {

/// The platform's host list. It may lag and may be wrong.
class HostList {
public:
  virtual ~HostList() = default;

  /// Returns the names of the hosts that are listed; errors are of TableErrc.
  virtual boost::asio::awaitable<Result<std::set<std::string>>> read() = 0;
};

/// Host list of a platform that has none: it never answers.
class NoHostList : public HostList {
public:
  boost::asio::awaitable<Result<std::set<std::string>>> read() override;
};

/// Remembers which members have been listed. Not synchronized.
///
/// \code
/// MemberWatch Watch;
/// Watch.noteList({"entry-1", "entry-2"});
/// Watch.noteList({"entry-1"});
/// Watch.droppedMembers(View); // "entry-2"
/// \endcode
class MemberWatch {
public:
  void noteList(std::set<std::string> Listed);

  /// Returns the members that were listed once and no longer are. A host
  /// that has never been listed may be too new for the list.
  std::vector<std::string> droppedMembers(const View &Current) const;

private:
  std::set<std::string> m_everListed;
  std::set<std::string> m_listed;
};

} // namespace tamarackdrum

#endif // TAMARACKDRUM_HOST_LIST_H
