/// \file
/// Availability zones that the operator has asked to evacuate.

#ifndef TAMARACKDRUM_GATEWAY_EVACUATIONS_H
#define TAMARACKDRUM_GATEWAY_EVACUATIONS_H

#include "tamarackdrum/gateway/store-time.h"

#include <set>
#include <string>
#include <tuple>

namespace tamarackdrum::gateway {

/// The evacuated zones as of one version of the store.
struct Evacuations {
  RowVersion m_version; ///< Number 0: the store has not been read yet.
  std::set<std::string> m_zones;

  bool operator==(const Evacuations &) const = default;
};

/// Returns whether \p Next was read from the store after \p Known. Hosts hear
/// of changes over different ways, so an older state may arrive later.
inline bool isNewer(const Evacuations &Next, const Evacuations &Known) {
  return std::tie(Next.m_version.m_era, Next.m_version.m_number) >
         std::tie(Known.m_version.m_era, Known.m_version.m_number);
}

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_EVACUATIONS_H
