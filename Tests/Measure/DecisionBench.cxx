#include "Request/Routing.h"

#include <benchmark/benchmark.h>

BENCHMARK_MAIN();
