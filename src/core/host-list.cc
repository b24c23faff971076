#include "tamarackdrum/host-list.h"

namespace tamarackdrum {

void MemberWatch::noteList(std::set<std::string> Listed) {
  m_everListed.insert(Listed.begin(), Listed.end());
  m_listed = std::move(Listed);
}

std::vector<std::string>
MemberWatch::droppedMembers(const View &Current) const {
  std::vector<std::string> Dropped;
  for (const Member &Item : Current.m_members)
    if (m_everListed.contains(Item.m_name) && !m_listed.contains(Item.m_name))
      Dropped.push_back(Item.m_name);
  return Dropped;
}

} // namespace tamarackdrum
