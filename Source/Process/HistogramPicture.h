#pragma once

#include "Process/Metrics.h"

#include <string>

namespace cactusrail {

/** Draws a histogram as one line of bars, one bar per bucket. */
std::string
HistogramBars(const HistogramSummary& aSummary);

/** Formats all series and the non-zero gauges and counters of a process for a
 * terminal. */
std::string
FormatMetrics(const MetricsSnapshot& aSnapshot);

}
