#include "tamarackdrum/planner.h"

#include <algorithm>

namespace tamarackdrum {
namespace {

using LoadByServer = std::map<std::string, std::size_t>;
using ServerLoadCount = std::pair<std::string, std::size_t>;

LoadByServer eligibleServers(const View &Next, const std::string &WorkClass) {
  LoadByServer Loads;
  for (const ServerRecord &Server : Next.m_servers)
    if (Server.m_workClass == WorkClass && takesWork(Server))
      Loads[Server.m_name] = 0;
  return Loads;
}

void moveSlice(SliceRecord &Slice, const std::string &Owner, Generation At) {
  Slice.m_owner = Owner;
  ++Slice.m_epoch;
  Slice.m_since = At;
}

LoadByServer::iterator leastLoaded(LoadByServer &Loads) {
  return std::min_element(Loads.begin(), Loads.end(),
                          [](const auto &Left, const auto &Right) {
                            return Left.second < Right.second;
                          });
}

void countLoads(const std::vector<SliceRecord> &Slices, LoadByServer &Loads) {
  for (const SliceRecord &Slice : Slices) {
    const auto Owner = Loads.find(Slice.m_owner);
    if (Owner != Loads.end())
      ++Owner->second;
  }
}

/// Returns the even share of each server. The servers with the most slices
/// get the remainder, so that no slice moves for its sake.
LoadByServer evenShares(const LoadByServer &Loads, std::size_t Slices) {
  std::vector<ServerLoadCount> Sorted(Loads.begin(), Loads.end());
  std::stable_sort(
      Sorted.begin(), Sorted.end(),
      [](const ServerLoadCount &Left, const ServerLoadCount &Right) {
        return Left.second > Right.second;
      });
  const std::size_t Base = Slices / Sorted.size();
  std::size_t Remainder = Slices % Sorted.size();
  LoadByServer Shares;
  for (const ServerLoadCount &Entry : Sorted) {
    Shares[Entry.first] = Base + (Remainder > 0 ? 1 : 0);
    Remainder -= Remainder > 0 ? 1 : 0;
  }
  return Shares;
}

/// Returns the server that lacks the most slices of its share.
LoadByServer::iterator mostLacking(LoadByServer &Loads,
                                   const LoadByServer &Shares) {
  const auto Lack = [&](const LoadByServer::value_type &Entry) {
    return static_cast<std::int64_t>(Shares.at(Entry.first)) -
           static_cast<std::int64_t>(Entry.second);
  };
  return std::max_element(Loads.begin(), Loads.end(),
                          [&](const LoadByServer::value_type &Left,
                              const LoadByServer::value_type &Right) {
                            return Lack(Left) < Lack(Right);
                          });
}

/// Gives the slices without an eligible owner to the servers that lack most.
void placeOrphans(std::vector<SliceRecord> &Slices, LoadByServer &Loads,
                  const LoadByServer &Shares, Generation At) {
  for (SliceRecord &Slice : Slices) {
    if (Loads.contains(Slice.m_owner))
      continue;
    const auto Target = mostLacking(Loads, Shares);
    ++Target->second;
    moveSlice(Slice, Target->first, At);
  }
}

/// Fills the servers of \p Newcomers up to their shares from the servers that
/// have more than theirs. Others keep what they have, so that what was moved
/// for its load is not moved back for its number.
void fillNewcomers(std::vector<SliceRecord> &Slices, LoadByServer &Loads,
                   const LoadByServer &Shares, LoadByServer Newcomers,
                   Generation At) {
  for (SliceRecord &Slice : Slices) {
    const auto Owner = Loads.find(Slice.m_owner);
    if (Owner->second <= Shares.at(Owner->first))
      continue;
    for (LoadByServer::value_type &Newcomer : Newcomers)
      Newcomer.second = Loads.at(Newcomer.first);
    const auto Target = mostLacking(Newcomers, Shares);
    if (Target->second >= Shares.at(Target->first))
      return;
    --Owner->second;
    ++Loads.at(Target->first);
    moveSlice(Slice, Target->first, At);
  }
}

void placeSlices(std::vector<SliceRecord> &Slices, LoadByServer &Loads,
                 Generation At) {
  countLoads(Slices, Loads);
  const LoadByServer Shares = evenShares(Loads, Slices.size());
  LoadByServer Newcomers;
  for (const LoadByServer::value_type &Entry : Loads)
    if (Entry.second == 0)
      Newcomers.insert(Entry);
  placeOrphans(Slices, Loads, Shares, At);
  if (!Newcomers.empty())
    fillNewcomers(Slices, Loads, Shares, Newcomers, At);
}

void assignClass(ClassAssignment &Assignment, const View &Next) {
  LoadByServer Loads = eligibleServers(Next, Assignment.m_workClass);
  if (Loads.empty())
    return;
  placeSlices(Assignment.m_slices, Loads, Next.m_generation);
  for (HotKeyRecord &HotKey : Assignment.m_hotKeys)
    if (!Loads.contains(HotKey.m_slice.m_owner))
      moveSlice(HotKey.m_slice, leastLoaded(Loads)->first, Next.m_generation);
}

void syncAssignments(View &Next) {
  std::erase_if(Next.m_assignments, [&](const ClassAssignment &Assignment) {
    const ClassTarget *Target = findClass(Next, Assignment.m_workClass);
    return Target == nullptr || !Target->m_keyed;
  });
  for (const ClassTarget &Target : Next.m_classes) {
    if (!Target.m_keyed || findAssignment(Next, Target.m_name) != nullptr)
      continue;
    Next.m_assignments.push_back(
        {Target.m_name, std::vector<SliceRecord>(SlicesPerClass), {}});
  }
  std::sort(Next.m_assignments.begin(), Next.m_assignments.end(),
            [](const ClassAssignment &Left, const ClassAssignment &Right) {
              return Left.m_workClass < Right.m_workClass;
            });
}

const std::string &ownerOf(const ClassAssignment &Assignment,
                           std::uint64_t Hash) {
  return findSlice(Assignment, Hash).m_owner;
}

} // namespace

const SliceRecord &findSlice(const ClassAssignment &Assignment,
                             std::uint64_t Hash) {
  for (const HotKeyRecord &Key : Assignment.m_hotKeys)
    if (Key.m_hash == Hash)
      return Key.m_slice;
  return Assignment.m_slices[sliceIndex(Hash, Assignment.m_slices.size())];
}

View nextGeneration(const View &Current, std::string Committer,
                    std::string Operation) {
  View Next = Current;
  ++Next.m_generation;
  Next.m_committer = std::move(Committer);
  Next.m_operation = std::move(Operation);
  return Next;
}

View assignSlices(View Next) {
  syncAssignments(Next);
  for (ClassAssignment &Assignment : Next.m_assignments)
    assignClass(Assignment, Next);
  return Next;
}

std::size_t countMoves(const View &Before, const View &After) {
  std::size_t Moves = 0;
  for (const ClassAssignment &Old : Before.m_assignments) {
    const ClassAssignment *New = findAssignment(After, Old.m_workClass);
    if (New == nullptr)
      continue;
    for (std::size_t I = 0; I < Old.m_slices.size(); ++I)
      Moves += Old.m_slices[I].m_owner != New->m_slices[I].m_owner ? 1 : 0;
    for (const HotKeyRecord &Key : Old.m_hotKeys)
      Moves += Key.m_slice.m_owner != ownerOf(*New, Key.m_hash) ? 1 : 0;
  }
  return Moves;
}

} // namespace tamarackdrum
