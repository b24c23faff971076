/// \file
/// A report as text and as one self-contained HTML page.

#ifndef TAMARACKDRUM_REPORT_PAGE_H
#define TAMARACKDRUM_REPORT_PAGE_H

#include "tamarackdrum/slo-report.h"

namespace tamarackdrum {

/// Returns the report as a table for a terminal.
std::string toText(const SloReport &Report);

/// Returns the report as an HTML page with a time line of calls that were not
/// answered, moves, changes of servers and lost leases.
std::string toHtml(const SloReport &Report);

} // namespace tamarackdrum

#endif // TAMARACKDRUM_REPORT_PAGE_H
