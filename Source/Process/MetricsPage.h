#pragma once

#include "Process/Metrics.h"

#include <string>

namespace cactusrail {

/** The content type of MetricsText(). */
constexpr const char* kMetricsContentType = "text/plain; version=0.0.4";

/** A snapshot in the text exposition format that common collectors read. */
std::string
MetricsText(const MetricsSnapshot& aSnapshot);

}
