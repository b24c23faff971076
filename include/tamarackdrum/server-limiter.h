/// \file
/// Limits on what one process sends to one server, whose slots all processes
/// share.

#ifndef TAMARACKDRUM_SERVER_LIMITER_H
#define TAMARACKDRUM_SERVER_LIMITER_H

#include "tamarackdrum/core.h"

#include <cstddef>

namespace tamarackdrum {

/// What a process knows about the slots that others use.
enum class LimitPolicy {
  LocalCounts,       ///< Nothing: each process may use every slot.
  RestAfterRefusal,  ///< As LocalCounts, and a refusal stops it for a while.
  ReportedOccupancy, ///< Also what answers report of the server's use.
  FixedShares,       ///< Each slot belongs to one process.
  LentShares,        ///< As FixedShares; a process without a free slot tries
                     ///< one of another's, at the price of a retry token.
};

/// Use of one server, as one process knows it.
struct ServerUse {
  int m_inFlight = 0;     ///< Dispatches of this process.
  int m_othersBusy = 0;   ///< Slots that others used at the last report.
  TimePoint m_reportedAt; ///< Time of that report.
  TimePoint m_restUntil;  ///< No dispatch before this.

  bool operator==(const ServerUse &) const = default;
};

/// Limits that apply to one server.
struct ServerLimit {
  LimitPolicy m_policy = LimitPolicy::RestAfterRefusal;
  int m_slots = 2; ///< Of the server, or of this process with shares.

  bool operator==(const ServerLimit &) const = default;
};

/// Returns the slots in use, as far as \p Use tells.
int knownBusy(const ServerUse &Use, const ServerLimit &Limit, TimePoint Now);

/// Returns whether a dispatch may go to the server now.
bool hasRoom(const ServerUse &Use, const ServerLimit &Limit, TimePoint Now);

/// Notes an answer that reports \p Busy slots in use, the answered one not
/// counted. \p Use no longer counts the answered dispatch.
void noteOccupancy(ServerUse &Use, int Busy, TimePoint Now);

/// Notes that the server refused a dispatch for lack of a slot.
void noteRefusal(ServerUse &Use, TimePoint Now);

/// The slots of a class, numbered through all its servers, as they are dealt
/// to processes in turn. Each process gets one at least.
struct SlotDeal {
  std::size_t m_totalSlots = 1;
  std::size_t m_process = 0; ///< Index of this process.
  std::size_t m_processes = 1;

  bool operator==(const SlotDeal &) const = default;
};

/// Returns how many of the slots from \p FirstSlot on belong to the process.
int shareOf(std::size_t FirstSlot, std::size_t Slots, const SlotDeal &Deal);

} // namespace tamarackdrum

#endif // TAMARACKDRUM_SERVER_LIMITER_H
