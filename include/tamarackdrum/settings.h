/// \file
/// Settings file of tamarackd: one JSON object, checked whole at start.

#ifndef TAMARACKDRUM_SETTINGS_H
#define TAMARACKDRUM_SETTINGS_H

#include "tamarackdrum/claim-batcher.h"
#include "tamarackdrum/declaration-check.h"
#include "tamarackdrum/view-lease.h"

#include <string>
#include <vector>

namespace tamarackdrum {

/// Settings of one process.
struct Settings {
  std::string m_name;
  std::string m_zone;
  std::string m_callerAddress;
  std::string m_controlAddress;
  std::string m_platformAddress; ///< Empty in embedded mode.
  std::string m_sharedKey;
  unsigned m_workers = 2;
  Millis m_stopTimeout{5000};
  Millis m_tablePollInterval{1000};
  Millis m_tableTimeout{1000};
  Millis m_loadWindow{5000};  ///< Length of one window of load counts.
  bool m_allowFaults = false; ///< Enables the fault switches used in tests.
  LeaseTiming m_lease;
  ClaimSettings m_claims;
  std::vector<Member> m_bootstrapGroup;
  std::vector<ClassTarget> m_bootstrapClasses;
  std::vector<ServerRecord> m_bootstrapServers;

  bool operator==(const Settings &) const = default;
};

/// Settings, or every fault that was found.
struct SettingsReport {
  Settings m_settings;
  std::vector<SettingsFault> m_faults;
};

/// Parses and checks \p Text.
SettingsReport parseSettings(const std::string &Text);

} // namespace tamarackdrum

#endif // TAMARACKDRUM_SETTINGS_H
