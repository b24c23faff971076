/// \file
/// What operators declare, and how a declaration changes a view.

#ifndef TAMARACKDRUM_DECLARATION_H
#define TAMARACKDRUM_DECLARATION_H

#include "tamarackdrum/view.h"

namespace tamarackdrum {

/// What an operator does to servers.
enum class ServerAction { Join, Leave, Recall, Restore };

/// A change of many servers, committed as a whole. For Join the records are
/// complete; otherwise only `m_name` counts.
struct ServerChange {
  ServerAction m_action = ServerAction::Recall;
  std::vector<ServerRecord> m_servers;
  std::string m_operation; ///< Id that makes the change idempotent.
  /// Generation the operator had seen; 0 if none. A change of a server that
  /// was changed after it by another operator is superseded.
  Generation m_basedOn = 0;
  bool m_allowEmptyClass = false;

  bool operator==(const ServerChange &) const = default;
};

/// Applies \p Change to \p Next, a base made by nextGeneration(). Errors are
/// of ChangeErrc; \p Next is unspecified after an error.
Result<View> applyServerChange(View Next, const ServerChange &Change);

/// Replaces the classes of \p Next. Servers of removed classes are removed.
Result<View> applyClasses(View Next, std::vector<ClassTarget> Classes);

/// Adds \p Operation to those that \p Next knows to be committed.
View recordOperation(View Next, const std::string &Operation);

/// Returns whether the operation \p Operation is part of \p Current.
bool hasOperation(const View &Current, const std::string &Operation);

} // namespace tamarackdrum

#endif // TAMARACKDRUM_DECLARATION_H
