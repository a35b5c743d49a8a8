#pragma once

#include "Process/Metrics.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cactusrail {

/** The content type of MetricsText(). */
constexpr const char* kMetricsContentType = "text/plain; version=0.0.4";

/** How finely a page tells requests apart. */
enum class MetricsDetail : std::uint8_t
{
  /** By class: a page whose size does not grow with the tenants. */
  Class,
  /** By tenant and class: at 210 tenants a page of megabytes. */
  Tenant,
};

/**
 * The page's detail from the query's "per". A collector asks often, so without
 * a word the small page is meant.
 */
MetricsDetail
DetailOf(std::string_view aPer);

/** A snapshot in the text exposition format that common collectors read. */
std::string
MetricsText(const MetricsSnapshot& aSnapshot, MetricsDetail aDetail);

/** The same with the tenants of each class added up, without quantiles. */
MetricsSnapshot
AddUpTenants(const MetricsSnapshot& aSnapshot);

}
