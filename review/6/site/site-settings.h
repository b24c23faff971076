/// \file
/// Addresses and settings of a gateway process on loopback addresses.

#ifndef TAMARACKDRUM_REVIEW_SITE_SETTINGS_H
#define TAMARACKDRUM_REVIEW_SITE_SETTINGS_H

#include <cstdint>
#include <random>
#include <string>

namespace tamarackdrum::review {

/// Address and ports of the gateway.
struct SiteNetwork {
  std::string m_ip;
  std::uint16_t m_clientPort = 0;
  std::uint16_t m_readyPort = 0;
  std::uint16_t m_controlPort = 0;
  std::uint16_t m_peerPort = 0;

  bool operator==(const SiteNetwork &) const = default;
};

/// Returns a loopback address of its own and free ports there.
SiteNetwork chooseNetwork(std::mt19937_64 &Random);

/// Returns the settings file of a process of a small deployment.
std::string settingsText(const SiteNetwork &Network,
                         const std::string &StoreAddress);

} // namespace tamarackdrum::review

#endif // TAMARACKDRUM_REVIEW_SITE_SETTINGS_H
