/// \file
/// Commands of tamarackctl.

#ifndef TAMARACKDRUM_CTL_COMMANDS_H
#define TAMARACKDRUM_CTL_COMMANDS_H

#include "tamarackdrum/operator-client.h"

namespace tamarackdrum {

constexpr int ExitDone = 0;
constexpr int ExitRefused = 1;
constexpr int ExitUsage = 2;
constexpr int ExitUnreachable = 3;
constexpr int ExitNotInForce = 4;
constexpr int ExitUnsettled = 5;

/// Command line of tamarackctl.
struct CtlOptions {
  std::vector<Endpoint> m_processes;
  std::string m_sharedKey;
  bool m_json = false;
  bool m_allowEmptyClass = false;
  std::uint64_t m_basedOn = 0;
  std::uint64_t m_count = 0; ///< Changes to print by watch; 0: no end.
  std::uint64_t m_windowSeconds = 3600;
  std::string m_htmlFile;
  std::vector<std::string> m_words;
};

/// Runs the command of \p Line. Returns the exit code, or nothing if there is
/// no such command.
std::optional<int> runCommand(const CtlOptions &Line);

} // namespace tamarackdrum

#endif // TAMARACKDRUM_CTL_COMMANDS_H
