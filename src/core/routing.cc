#include "tamarackdrum/routing.h"

#include "tamarackdrum/error.h"

#include <algorithm>
#include <random>

namespace tamarackdrum {
namespace {

/// Returns a route server for each record; unchanged records keep theirs.
ServerByName carryServers(const ServerByName &Old,
                          const std::vector<ServerRecord> &Records) {
  ServerByName Servers;
  for (const ServerRecord &Record : Records) {
    const auto Found = Old.find(Record.m_name);
    if (Found != Old.end() && Found->second->m_record == Record) {
      Servers.insert(*Found);
      continue;
    }
    const std::shared_ptr<ServerLoad> Load =
        Found != Old.end() ? Found->second->m_load
                           : std::make_shared<ServerLoad>();
    Servers[Record.m_name] =
        std::make_shared<const RouteServer>(RouteServer{Record, Load});
  }
  return Servers;
}

/// Returns the old term if it still stands, or a new one.
std::shared_ptr<SliceTerm> carryTerm(const std::shared_ptr<SliceTerm> &Old,
                                     const SliceRecord &Record,
                                     const ServerByName &Servers) {
  const auto Found = Servers.find(Record.m_owner);
  const std::shared_ptr<const RouteServer> Owner =
      Found == Servers.end() ? nullptr : Found->second;
  if (Old && Old->m_epoch == Record.m_epoch && Old->m_server == Owner)
    return Old;
  const std::shared_ptr<SliceTerm> Term = std::make_shared<SliceTerm>();
  Term->m_server = Owner;
  Term->m_epoch = Record.m_epoch;
  Term->m_since = Record.m_since;
  return Term;
}

std::shared_ptr<SliceTerm> findHotKey(const ClassRoutes &Routes,
                                      std::uint64_t Hash) {
  const auto Found =
      std::lower_bound(Routes.m_hotKeys.begin(), Routes.m_hotKeys.end(), Hash,
                       [](const auto &Item, std::uint64_t Wanted) {
                         return Item.first < Wanted;
                       });
  if (Found == Routes.m_hotKeys.end() || Found->first != Hash)
    return nullptr;
  return Found->second;
}

/// Ends the terms of slices that a hot key has left or joined. Its dispatches
/// in flight under such a term then count as old ones when it moves next.
void renewChangedTerms(ClassRoutes &Routes, const ClassRoutes &Old) {
  if (Routes.m_slices.size() != Old.m_slices.size())
    return;
  std::vector<std::uint64_t> Changed;
  const auto Differs = [&](const ClassRoutes &Left, const ClassRoutes &Right) {
    for (const HotKeyTerm &HotKey : Left.m_hotKeys)
      if (!findHotKey(Right, HotKey.first))
        Changed.push_back(HotKey.first);
  };
  Differs(Routes, Old);
  Differs(Old, Routes);
  for (const std::uint64_t Hash : Changed) {
    std::shared_ptr<SliceTerm> &Term =
        Routes.m_slices[sliceIndex(Hash, Routes.m_slices.size())];
    const std::shared_ptr<SliceTerm> Fresh = std::make_shared<SliceTerm>();
    Fresh->m_server = Term->m_server;
    Fresh->m_epoch = Term->m_epoch;
    Fresh->m_since = Term->m_since;
    Term = Fresh;
  }
}

void addKeyedTerms(ClassRoutes &Routes, const ClassAssignment &Assignment,
                   const ClassRoutes *Old, const ServerByName &Servers) {
  for (std::size_t I = 0; I < Assignment.m_slices.size(); ++I) {
    const std::shared_ptr<SliceTerm> Previous =
        Old != nullptr && I < Old->m_slices.size() ? Old->m_slices[I] : nullptr;
    Routes.m_slices.push_back(
        carryTerm(Previous, Assignment.m_slices[I], Servers));
  }
  for (const HotKeyRecord &HotKey : Assignment.m_hotKeys)
    Routes.m_hotKeys.emplace_back(
        HotKey.m_hash,
        carryTerm(Old != nullptr ? findHotKey(*Old, HotKey.m_hash) : nullptr,
                  HotKey.m_slice, Servers));
  if (Old != nullptr)
    renewChangedTerms(Routes, *Old);
}

void addUnkeyedTerms(ClassRoutes &Routes, const ClassRoutes *Old,
                     const ServerByName &Servers) {
  for (const ServerByName::value_type &Entry : Servers) {
    const ServerRecord &Record = Entry.second->m_record;
    if (Record.m_workClass != Routes.m_target.m_name || !takesWork(Record))
      continue;
    std::shared_ptr<SliceTerm> Previous;
    if (Old != nullptr)
      for (const std::shared_ptr<SliceTerm> &Term : Old->m_servers)
        if (Term->m_server == Entry.second)
          Previous = Term;
    Routes.m_servers.push_back(
        carryTerm(Previous, {Record.m_name, Record.m_changedAt, 0}, Servers));
  }
}

void collectTerms(const RoutingTable &Table,
                  std::vector<std::shared_ptr<SliceTerm>> &Terms) {
  for (const ClassRouteMap::value_type &Entry : Table.m_classes) {
    const ClassRoutes &Routes = Entry.second;
    Terms.insert(Terms.end(), Routes.m_slices.begin(), Routes.m_slices.end());
    Terms.insert(Terms.end(), Routes.m_servers.begin(), Routes.m_servers.end());
    for (const HotKeyTerm &HotKey : Routes.m_hotKeys)
      Terms.push_back(HotKey.second);
  }
  std::sort(Terms.begin(), Terms.end());
}

std::size_t randomBelow(std::size_t Bound) {
  thread_local std::minstd_rand Engine(std::random_device{}());
  return Engine() % Bound;
}

/// Whether a process keeps to its share of a server's slots.
enum class SlotUse { Own, Any };

constexpr std::size_t MaxScan = 64;
constexpr int MinWaiting = 6;

ServerUse useOf(const ServerLoad &Load) {
  ServerUse Use;
  Use.m_inFlight = Load.m_inFlight.load(std::memory_order_relaxed);
  Use.m_restUntil = TimePoint(std::chrono::nanoseconds(
      Load.m_restUntilNs.load(std::memory_order_relaxed)));
  return Use;
}

bool hasRoomAt(const SliceTerm &Term, SlotUse Slots, TimePoint Now) {
  const ServerLoad &Load = *Term.m_server->m_load;
  const int Most = Load.m_maxInFlight.load(std::memory_order_relaxed);
  const int Own = Load.m_ownSlots.load(std::memory_order_relaxed);
  const int Limit = Slots == SlotUse::Own ? std::min(Own, Most) : Most;
  return hasRoom(useOf(Load), {LimitPolicy::RestAfterRefusal, Limit}, Now);
}

/// Of the servers with room, picks the less loaded of two, from a random
/// one on. Returns null if there is none.
const std::shared_ptr<SliceTerm> *pickOfTwo(const ClassRoutes &Routes,
                                            const RouteQuery &Query,
                                            SlotUse Slots, TimePoint Now) {
  const std::vector<std::shared_ptr<SliceTerm>> &Terms = Routes.m_servers;
  const std::size_t Start = randomBelow(Terms.size());
  const std::size_t Scan = std::min(Terms.size(), MaxScan);
  const std::shared_ptr<SliceTerm> *First = nullptr;
  for (std::size_t I = 0; I < Scan; ++I) {
    const std::shared_ptr<SliceTerm> &Term = Terms[(Start + I) % Terms.size()];
    const bool IsExcluded =
        Term->m_server->m_record.m_name == Query.m_excludeServer &&
        Terms.size() > 1;
    if (IsExcluded || !hasRoomAt(*Term, Slots, Now))
      continue;
    if (First == nullptr) {
      First = &Term;
      continue;
    }
    const bool IsLess = Term->m_server->m_load->m_inFlight.load() <
                        (*First)->m_server->m_load->m_inFlight.load();
    return IsLess ? &Term : First;
  }
  return First;
}

std::size_t slotsOf(const ClassRoutes &Routes) {
  std::size_t Total = 0;
  for (const std::shared_ptr<SliceTerm> &Term : Routes.m_servers)
    Total += Term->m_server->m_record.m_slots;
  return Total;
}

/// Returns how \p Total slots are dealt to \p Process.
SlotDeal dealOf(const View &Next, const std::string &Process,
                std::size_t Total) {
  for (std::size_t I = 0; I < Next.m_members.size(); ++I)
    if (Next.m_members[I].m_name == Process)
      return {Total, I, Next.m_members.size()};
  return {Total, 0, 1};
}

/// Bounds what this process sends to each server by its slots and by this
/// process's part of its connections.
void limitServers(const ServerByName &Servers, const View &Next) {
  const unsigned Members =
      std::max(1U, static_cast<unsigned>(Next.m_members.size()));
  for (const ServerByName::value_type &Entry : Servers) {
    const ServerRecord &Record = Entry.second->m_record;
    const unsigned Connections = std::max(1U, Record.m_connections / Members);
    const int Limit = static_cast<int>(std::min(Record.m_slots, Connections));
    Entry.second->m_load->m_maxInFlight.store(Limit);
  }
}

} // namespace

Dispatch::Dispatch(Router &Owner, std::shared_ptr<SliceTerm> Term,
                   TimePoint Deadline, bool IsBorrowed)
    : m_router(&Owner), m_term(std::move(Term)), m_deadline(Deadline),
      m_isBorrowed(IsBorrowed) {}

Dispatch::Dispatch(Dispatch &&Other) noexcept
    : m_router(std::exchange(Other.m_router, nullptr)),
      m_term(std::move(Other.m_term)), m_deadline(Other.m_deadline),
      m_isBorrowed(Other.m_isBorrowed) {}

Dispatch &Dispatch::operator=(Dispatch &&Other) noexcept {
  if (this == &Other)
    return *this;
  abandon();
  m_router = std::exchange(Other.m_router, nullptr);
  m_term = std::move(Other.m_term);
  m_deadline = Other.m_deadline;
  m_isBorrowed = Other.m_isBorrowed;
  return *this;
}

Dispatch::~Dispatch() { abandon(); }

void Dispatch::noteRefusal(TimePoint Now) {
  ServerLoad &Load = *m_term->m_server->m_load;
  ServerUse Use = useOf(Load);
  tamarackdrum::noteRefusal(Use, Now);
  Load.m_restUntilNs.store(Use.m_restUntil.time_since_epoch().count());
}

void Dispatch::complete() {
  if (m_router != nullptr) {
    m_router->releaseSlot(*m_term);
    m_router->releaseTerm(*m_term);
  }
  m_router = nullptr;
}

void Dispatch::abandon() {
  if (m_router != nullptr) {
    m_router->releaseSlot(*m_term);
    m_router->linger(m_term, m_deadline);
  }
  m_router = nullptr;
}

void Router::install(const View &Next) {
  const std::lock_guard<std::mutex> InstallLock(m_installMutex);
  const RoutingTablePtr Old = table();
  if (Old && Old->m_generation >= Next.m_generation)
    return;
  const ServerByName Servers = carryServers(m_servers, Next.m_servers);
  m_servers = Servers;
  limitServers(Servers, Next);
  const std::shared_ptr<RoutingTable> Table = std::make_shared<RoutingTable>();
  Table->m_generation = Next.m_generation;
  for (const ClassTarget &Target : Next.m_classes) {
    const ClassRoutes *OldRoutes = nullptr;
    if (Old) {
      const auto Found = Old->m_classes.find(Target.m_name);
      OldRoutes = Found == Old->m_classes.end() ? nullptr : &Found->second;
    }
    ClassRoutes &Routes = Table->m_classes[Target.m_name];
    Routes.m_target = Target;
    Routes.m_load = OldRoutes != nullptr ? OldRoutes->m_load
                                         : std::make_shared<ClassLoad>();
    const ClassAssignment *Assignment = findAssignment(Next, Target.m_name);
    if (Assignment != nullptr)
      addKeyedTerms(Routes, *Assignment, OldRoutes, Servers);
    else
      addUnkeyedTerms(Routes, OldRoutes, Servers);
    dealSlots(Routes, Next);
  }
  {
    const std::lock_guard<std::mutex> TableLock(m_tableMutex);
    m_table = Table;
  }
  if (Old)
    retireDropped(*Old, *Table);
}

void Router::dealSlots(ClassRoutes &Routes, const View &Next) const {
  const SlotDeal Deal = dealOf(Next, m_ownName, slotsOf(Routes));
  std::size_t FirstSlot = 0;
  int Own = 0;
  for (const std::shared_ptr<SliceTerm> &Term : Routes.m_servers) {
    const std::size_t Slots = Term->m_server->m_record.m_slots;
    const int Share = shareOf(FirstSlot, Slots, Deal);
    Term->m_server->m_load->m_ownSlots.store(Share);
    FirstSlot += Slots;
    Own += Share;
  }
  Routes.m_maxWaiting = std::max(MinWaiting, 2 * Own);
}

void Router::retireDropped(const RoutingTable &Old, const RoutingTable &Next) {
  std::vector<std::shared_ptr<SliceTerm>> Kept;
  collectTerms(Next, Kept);
  std::vector<std::shared_ptr<SliceTerm>> Dropped;
  collectTerms(Old, Dropped);
  std::erase_if(m_retired, [](const RetiredTerm &Retired) {
    return Retired.m_term->m_inFlight.load() == 0;
  });
  for (const std::shared_ptr<SliceTerm> &Term : Dropped) {
    if (std::binary_search(Kept.begin(), Kept.end(), Term))
      continue;
    Term->m_retired.store(true);
    // Views may have been skipped, so the owner may have changed in any
    // generation after the old one.
    m_retired.push_back({Old.m_generation + 1, Term});
  }
}

void Router::setLease(TimePoint LeaseUntil, Generation Settled) noexcept {
  m_leaseUntilNs.store(LeaseUntil.time_since_epoch().count());
  m_settled.store(Settled);
}

Result<Router::Picked> Router::pick(const ClassRoutes &Routes,
                                    const RouteQuery &Query,
                                    TimePoint Now) const {
  if (Routes.m_target.m_keyed)
    return pickKeyed(Routes, Query, Now);
  if (Routes.m_servers.empty())
    return std::error_code(RouteErrc::NoServer);
  if (const std::shared_ptr<SliceTerm> *Own =
          pickOfTwo(Routes, Query, SlotUse::Own, Now))
    return Picked{*Own, false};
  RetryBudget &Budget = Routes.m_load->m_budget;
  if (!Query.m_mayBorrow || !Budget.take())
    return std::error_code(RouteErrc::Overloaded);
  if (const std::shared_ptr<SliceTerm> *Lent =
          pickOfTwo(Routes, Query, SlotUse::Any, Now))
    return Picked{*Lent, true};
  Budget.giveBack();
  return std::error_code(RouteErrc::Overloaded);
}

Result<Router::Picked> Router::pickKeyed(const ClassRoutes &Routes,
                                         const RouteQuery &Query,
                                         TimePoint Now) const {
  if (Query.m_key.empty())
    return std::error_code(RouteErrc::KeyMissing);
  const std::uint64_t Hash = hashKey(Query.m_key);
  const std::size_t Slice = sliceIndex(Hash, Routes.m_slices.size());
  std::shared_ptr<SliceTerm> Term = findHotKey(Routes, Hash);
  const bool IsIsolated = Term != nullptr;
  if (!IsIsolated)
    Term = Routes.m_slices[Slice];
  if (!Term->m_server || !takesWork(Term->m_server->m_record))
    return std::error_code(RouteErrc::NoServer);
  if (Term->m_since > m_settled.load(std::memory_order_acquire))
    return std::error_code(RouteErrc::SliceMoving);
  if (!hasRoomAt(*Term, SlotUse::Any, Now))
    return std::error_code(RouteErrc::Overloaded);
  return Picked{std::move(Term), false, Hash, Slice, IsIsolated};
}

Result<Dispatch> Router::decide(const RouteQuery &Query, TimePoint Now) {
  for (;;) {
    const RoutingTablePtr Table = table();
    if (!Table)
      return std::error_code(RouteErrc::NoLease);
    const auto Found = Table->m_classes.find(Query.m_workClass);
    if (Found == Table->m_classes.end())
      return std::error_code(RouteErrc::UnknownClass);
    const ClassRoutes &Routes = Found->second;
    const Result<Picked> Choice = pick(Routes, Query, Now);
    if (!Choice)
      return Choice.error();
    const std::shared_ptr<SliceTerm> &Term = Choice.value().m_term;
    RetryBudget &Budget = Routes.m_load->m_budget;
    const bool IsBorrowed = Choice.value().m_isBorrowed;
    Term->m_inFlight.fetch_add(1);
    // install() sets m_retired before it reads m_inFlight, so that either it
    // sees this dispatch or this dispatch sees the retirement.
    if (Term->m_retired.load()) {
      Term->m_inFlight.fetch_sub(1);
      if (IsBorrowed)
        Budget.giveBack();
      continue;
    }
    Term->m_server->m_load->m_inFlight.fetch_add(1);
    m_inFlight.fetch_add(1);
    if (Now.time_since_epoch().count() >= m_leaseUntilNs.load()) {
      releaseSlot(*Term);
      releaseTerm(*Term);
      if (IsBorrowed)
        Budget.giveBack();
      return std::error_code(RouteErrc::NoLease);
    }
    Term->m_server->m_load->m_dispatched.fetch_add(1,
                                                   std::memory_order_relaxed);
    if (Routes.m_target.m_keyed)
      Routes.m_load->m_counter.record(Choice.value().m_hash,
                                      Choice.value().m_slice,
                                      Choice.value().m_isIsolated);
    return Dispatch(
        *this, Term,
        std::min(Query.m_deadline, Now + Routes.m_target.m_deadline),
        IsBorrowed);
  }
}

void Router::releaseSlot(const SliceTerm &Term) noexcept {
  Term.m_server->m_load->m_inFlight.fetch_sub(1);
}

void Router::releaseTerm(SliceTerm &Term) noexcept {
  Term.m_inFlight.fetch_sub(1);
  m_inFlight.fetch_sub(1);
}

void Router::linger(std::shared_ptr<SliceTerm> Term, TimePoint Deadline) {
  const std::lock_guard<std::mutex> Lock(m_lingerMutex);
  m_lingering.emplace_back(Deadline, std::move(Term));
}

void Router::releaseExpired(TimePoint Now, Millis Skew) {
  const std::lock_guard<std::mutex> Lock(m_lingerMutex);
  std::erase_if(m_lingering, [&](const auto &Entry) {
    if (Now < Entry.first + Skew)
      return false;
    releaseTerm(*Entry.second);
    return true;
  });
}

Generation Router::drainedGeneration() const {
  const std::lock_guard<std::mutex> Lock(m_installMutex);
  const RoutingTablePtr Table = table();
  Generation Drained = Table ? Table->m_generation : 0;
  for (const RetiredTerm &Retired : m_retired)
    if (Retired.m_term->m_inFlight.load() > 0)
      Drained = std::min(Drained, Retired.m_retiredAt - 1);
  return Drained;
}

std::shared_ptr<const ClassRoutes>
Router::findRoutes(std::string_view Name) const {
  const RoutingTablePtr Table = table();
  if (!Table)
    return nullptr;
  const auto Found = Table->m_classes.find(Name);
  if (Found == Table->m_classes.end())
    return nullptr;
  return {Table, &Found->second};
}

ClassLoads Router::takeLoads() {
  ClassLoads Out;
  const RoutingTablePtr Table = table();
  if (!Table)
    return Out;
  for (const ClassRouteMap::value_type &Entry : Table->m_classes)
    if (Entry.second.m_target.m_keyed)
      Out.push_back(Entry.second.m_load->m_counter.take(Entry.first));
  return Out;
}

RoutingTablePtr Router::table() const {
  const std::lock_guard<std::mutex> Lock(m_tableMutex);
  return m_table;
}

} // namespace tamarackdrum
