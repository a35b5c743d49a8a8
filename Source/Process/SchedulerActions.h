#pragma once

#include "Request/RequestStep.h"
#include "Version/TableRows.h"
#include "Version/WorkerMessages.h"

#include <cstdint>
#include <string>
#include <variant>

namespace cactusrail {

/** What the scheduler's core asks its I/O layer to do; the answer comes back
 * with the token. */
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

/** A step in a task's life, for the journal. */
struct NoteAction
{
  RequestStep step_;
};

using SchedulerAction =
  std::variant<ReadRowsAction, TransactAction, CallWorkerAction, NoteAction>;

}
