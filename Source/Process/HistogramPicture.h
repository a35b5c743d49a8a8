#pragma once

#include "Process/Metrics.h"

#include <string>

namespace cactusrail {

/** A bar for each bucket of a histogram, as high as its share; one line. */
std::string
HistogramBars(const HistogramSummary& aSummary);

/** All series and counts of a process, drawn for a terminal. */
std::string
MetricsPicture(const MetricsSnapshot& aSnapshot);

}
