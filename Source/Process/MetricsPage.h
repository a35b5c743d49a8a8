#pragma once

#include "Process/Metrics.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cactusrail {

/** Content type of the output of MetricsText(). */
constexpr const char* kMetricsContentType = "text/plain; version=0.0.4";

/** Grouping of the requests on a metrics page. */
enum class MetricsDetail : std::uint8_t
{
  /** By class: the page size does not grow with the number of tenants. */
  Class,
  /** By tenant and class: with 210 tenants, the page takes megabytes. */
  Tenant,
};

/**
 * Returns the detail that the query parameter "per" selects. Defaults to the
 * small page, since collectors request it often.
 */
MetricsDetail
DetailOf(std::string_view aPer);

/** Formats a snapshot in the Prometheus text exposition format. */
std::string
MetricsText(const MetricsSnapshot& aSnapshot, MetricsDetail aDetail);

/** Sums the series of all tenants per class; the result has no quantiles. */
MetricsSnapshot
SumTenants(const MetricsSnapshot& aSnapshot);

}
