/// \file
/// Checks declarations of classes, servers and members, and lists every fault
/// with its JSON path.

#ifndef TAMARACKDRUM_DECLARATION_CHECK_H
#define TAMARACKDRUM_DECLARATION_CHECK_H

#include "tamarackdrum/view.h"

#include <json/value.h>

namespace tamarackdrum {

/// One fault of a settings file or a declaration.
struct SettingsFault {
  std::string m_path;     ///< JSON path, e.g. "$.lease.renew_ms".
  std::string m_found;    ///< What the file has there.
  std::string m_expected; ///< What would be accepted.

  bool operator==(const SettingsFault &) const = default;
};

using SettingsFaults = std::vector<SettingsFault>;

/// Returns whether \p Text is "IP:PORT".
bool isAddress(const std::string &Text);

/// Reads an array of classes at \p Path. No class may have a deadline longer
/// than \p MaxDeadline. The result is complete only if no fault was added.
std::vector<ClassTarget> readClasses(const Json::Value &Items,
                                     const std::string &Path,
                                     Millis MaxDeadline,
                                     SettingsFaults &Faults);

/// Reads an array of servers at \p Path.
std::vector<ServerRecord> readServers(const Json::Value &Items,
                                      const std::string &Path,
                                      SettingsFaults &Faults);

/// Adds a fault for each server whose class is not in \p Classes.
void checkServerClasses(const std::vector<ServerRecord> &Servers,
                        const std::vector<ClassTarget> &Classes,
                        const std::string &Path, SettingsFaults &Faults);

/// Reads an array of members at \p Path.
std::vector<Member> readMembers(const Json::Value &Items,
                                const std::string &Path,
                                SettingsFaults &Faults);

} // namespace tamarackdrum

#endif // TAMARACKDRUM_DECLARATION_CHECK_H
