#include "tamarackdrum/server-limiter.h"

#include <algorithm>

namespace tamarackdrum {
namespace {

constexpr Millis ReportMemory{20};
constexpr Millis RefusalRest{5};

} // namespace

int knownBusy(const ServerUse &Use, const ServerLimit &Limit, TimePoint Now) {
  const bool IsReportUsed = Limit.m_policy == LimitPolicy::ReportedOccupancy &&
                            Now - Use.m_reportedAt < ReportMemory;
  return Use.m_inFlight + (IsReportUsed ? Use.m_othersBusy : 0);
}

bool hasRoom(const ServerUse &Use, const ServerLimit &Limit, TimePoint Now) {
  const bool IsResting =
      Limit.m_policy != LimitPolicy::LocalCounts && Now < Use.m_restUntil;
  return !IsResting && knownBusy(Use, Limit, Now) < Limit.m_slots;
}

void noteOccupancy(ServerUse &Use, int Busy, TimePoint Now) {
  Use.m_othersBusy = std::max(0, Busy - Use.m_inFlight);
  Use.m_reportedAt = Now;
}

void noteRefusal(ServerUse &Use, TimePoint Now) {
  Use.m_restUntil = Now + RefusalRest;
}

int shareOf(std::size_t FirstSlot, std::size_t Slots, const SlotDeal &Deal) {
  int Share = 0;
  for (std::size_t Slot = FirstSlot; Slot < FirstSlot + Slots; ++Slot) {
    const bool IsOwn = Deal.m_totalSlots >= Deal.m_processes
                           ? Slot % Deal.m_processes == Deal.m_process
                           : Deal.m_process % Deal.m_totalSlots == Slot;
    if (IsOwn)
      ++Share;
  }
  return Share;
}

} // namespace tamarackdrum
