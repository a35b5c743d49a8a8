#pragma once

#include "Process/OperatorRoutes.h"
#include "Process/SocketAddress.h"

#include <functional>
#include <memory>

namespace cactusrail {

/**
 * Adds GET /metrics (text exposition, by class or with ?per=tenant) and GET
 * /v1/metrics (JSON, for the top command). aRefresh updates the gauges before
 * each read.
 */
void
AddMetricsRoutes(OperatorRoutes& aRoutes,
                 const std::function<void()>& aRefresh);

/** Serves only GET /metrics on the given address. */
Result<std::unique_ptr<HttpFront>>
ListenForMetrics(const SocketAddress& aAddress);

/** Answers GET /metrics for a process without operators' routes. */
HttpAnswer
MetricsAnswer(const HttpExchange& aExchange);

}
