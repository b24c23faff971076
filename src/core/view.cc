#include "tamarackdrum/view.h"

#include <algorithm>
#include <bit>

namespace tamarackdrum {
namespace {

constexpr int HashBits = 64;

template <typename Record>
const Record *findByName(const std::vector<Record> &Records,
                         std::string_view Name,
                         std::string Record::*NameMember) {
  const auto Found =
      std::find_if(Records.begin(), Records.end(), [&](const Record &Item) {
        return Item.*NameMember == Name;
      });
  return Found == Records.end() ? nullptr : &*Found;
}

} // namespace

bool takesWork(const ServerRecord &Server) noexcept {
  return Server.m_state == ServerState::Serving && !Server.m_suspended;
}

const ClassTarget *findClass(const View &Current, std::string_view Name) {
  return findByName(Current.m_classes, Name, &ClassTarget::m_name);
}

const ServerRecord *findServer(const View &Current, std::string_view Name) {
  return findByName(Current.m_servers, Name, &ServerRecord::m_name);
}

const ClassAssignment *findAssignment(const View &Current,
                                      std::string_view WorkClass) {
  return findByName(Current.m_assignments, WorkClass,
                    &ClassAssignment::m_workClass);
}

std::vector<Member> allMembers(const View &Current) {
  std::vector<Member> All = Current.m_members;
  for (const Member &Old : Current.m_outgoing)
    if (std::find(All.begin(), All.end(), Old) == All.end())
      All.push_back(Old);
  return All;
}

std::size_t sliceIndex(std::uint64_t Hash, std::size_t Slices) noexcept {
  const int Bits = std::countr_zero(Slices);
  return Bits == 0 ? 0 : static_cast<std::size_t>(Hash >> (HashBits - Bits));
}

} // namespace tamarackdrum
