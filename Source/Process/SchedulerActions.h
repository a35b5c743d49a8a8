#pragma once

#include "Request/RequestStep.h"
#include "Version/TableRows.h"
#include "Version/WorkerMessages.h"

#include <cstdint>
#include <string>
#include <variant>

namespace cactusrail {

/** Table read requested by SchedulerCore. Scheduler passes the result back to
 * SchedulerCore with the token, for this and for the next two actions. */
struct ReadRowsAction
{
  std::uint64_t token_ = 0;
  std::string prefix_;
};

struct TransactAction
{
  std::uint64_t token_ = 0;
  TableTransaction transaction_;
};

struct CallWorkerAction
{
  std::uint64_t token_ = 0;
  std::string workerId_;
  std::string address_;
  std::uint16_t port_ = 0;
  WorkerCommand command_;
};

/** Adds a step of a task to the journal. */
struct AddStepAction
{
  RequestStep step_;
};

using SchedulerAction =
  std::variant<ReadRowsAction, TransactAction, CallWorkerAction, AddStepAction>;

}
