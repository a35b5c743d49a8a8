#pragma once

#include "Process/OperatorRoutes.h"

#include <functional>

namespace cactusrail {

/**
 * Adds GET /metrics (text exposition, by class or with ?per=tenant) and GET
 * /v1/metrics (JSON, for top). aRefresh sets the gauges just before each
 * reading.
 */
void
AddMetricsRoutes(OperatorRoutes& aRoutes,
                 const std::function<void()>& aRefresh);

/** The answer to GET /metrics of a process that has no operators' routes. */
HttpAnswer
MetricsAnswer(const HttpExchange& aExchange);

}
