/// \file
/// Differences between a declaration and a view, in words for operators.

#ifndef TAMARACKDRUM_VIEW_DIFF_H
#define TAMARACKDRUM_VIEW_DIFF_H

#include "tamarackdrum/declaration.h"

#include <string>
#include <system_error>
#include <vector>

namespace tamarackdrum {

/// Returns what applying \p Classes to \p Current would change, one line each;
/// empty if nothing.
std::vector<std::string> diffClasses(const View &Current,
                                     const std::vector<ClassTarget> &Classes);

/// Returns the servers whose state differs between two views, one line each.
std::vector<std::string> diffServers(const View &Before, const View &After);

/// Returns whether both views declare the same members, classes and servers,
/// whatever their generations.
bool declaresSame(const View &Left, const View &Right);

/// Returns the parts of \p Change that \p Current stands against, one line
/// each with the generation that the change lost to.
std::vector<std::string> describeConflicts(const View &Current,
                                           const ServerChange &Change,
                                           const std::error_code &Error);

} // namespace tamarackdrum

#endif // TAMARACKDRUM_VIEW_DIFF_H
