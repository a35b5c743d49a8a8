#pragma once

#include "Process/OperatorRoutes.h"
#include "Process/SocketAddress.h"

#include <functional>
#include <memory>

namespace cactusrail {

/**
 * Adds GET /metrics (text exposition, by class or with ?per=tenant) and GET
 * /v1/metrics (JSON, for top). aRefresh sets the gauges just before each
 * reading.
 */
void
AddMetricsRoutes(OperatorRoutes& aRoutes,
                 const std::function<void()>& aRefresh);

/** Serves GET /metrics and nothing else on an address of its own. */
Result<std::unique_ptr<HttpFront>>
ListenForMetrics(const SocketAddress& aAddress);

/** The answer to GET /metrics of a process that has no operators' routes. */
HttpAnswer
MetricsAnswer(const HttpExchange& aExchange);

}
