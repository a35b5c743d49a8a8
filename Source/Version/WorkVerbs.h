#pragma once

#include "Request/Failure.h"
#include "Version/TableRows.h"
#include "Version/WorkRows.h"

#include <cereal/cereal.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cactusrail {

/** An operator's request to create or change jobs. */
struct VerbRequest
{
  /** Idempotency key chosen by the operator; a repeated request returns the
   * first outcome. */
  std::string operationId_;
  /** create, pause, resume, drain, stop or cancel. */
  std::string verb_;
  /** Selects the jobs; not used by create. */
  std::string selector_;
  /** Used only by create. */
  JobSpec spec_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("operation", operationId_),
       cereal::make_nvp("verb", verb_),
       cereal::make_nvp("selector", selector_),
       cereal::make_nvp("spec", spec_));
  }
};

/** Outcome of a verb for one job. */
struct JobOutcome
{
  std::string jobId_;
  /** Whether this operation changed the job. */
  bool changed_ = false;
  /** A whole sentence. */
  std::string outcome_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("job", jobId_),
       cereal::make_nvp("changed", changed_),
       cereal::make_nvp("outcome", outcome_));
  }
};

/** The row "operation/ID", written in the same transaction as the changes. */
struct OperationRow
{
  VerbRequest request_;
  std::vector<JobOutcome> jobs_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("request", request_), cereal::make_nvp("jobs", jobs_));
  }
};

/** Facts that create validates a job against. */
struct CreationFacts
{
  /** CPU quotas by tenant, in thousandths of a core; 0 means no limit. */
  std::map<std::string, std::int64_t> quotas_;
};

/** Next step of a verb session: requests a read of all rows with the prefix. */
struct VerbRead
{
  std::string prefix_;
};

/** Next step of a verb session: requests a transaction. */
struct VerbWrite
{
  TableTransaction transaction_;
};

/** Last step of a verb session: an HTTP status and a row or a message. */
struct VerbAnswer
{
  int status_ = 200;
  OperationRow operation_;
  std::string message_;
};

using VerbStep = std::variant<VerbRead, VerbWrite, VerbAnswer>;

/**
 * Processes one operator's verb from its arrival to its response. Performs no
 * I/O. Every verb has exactly one outcome: its changes and the outcome's row
 * are written in one transaction, on condition that no operation with that id
 * was written before. A repeat, a retry after a lost answer and a race of both
 * therefore return the first outcome.
 */
class VerbSession
{
public:
  VerbSession(VerbRequest aRequest, CreationFacts aFacts);

  VerbStep Begin();
  VerbStep OnRows(const Result<std::vector<TableRow>>& aRows);
  VerbStep OnWritten(const Result<TableOutcome>& aOutcome);

private:
  enum class Stage : std::uint8_t
  {
    Operation,
    Workers,
    Jobs,
    Done,
    Writing,
  };

  VerbStep Retry();
  VerbStep Prepare();
  VerbStep PrepareCreate();
  VerbStep PrepareChange();
  VerbStep Write(TableTransaction aTransaction, OperationRow aOutcome);
  VerbStep Refuse(int aStatus, std::string aMessage) const;
  std::optional<VerbStep> FindFirstOutcome(
    const std::vector<TableRow>& aRows) const;
  void MergeRows(const std::vector<TableRow>& aRows, bool aCertain);
  const TableRow* FindRow(const std::string& aKey) const;

  VerbRequest request_;
  CreationFacts facts_;
  Stage stage_ = Stage::Operation;
  std::uint32_t attempts_ = 0;
  bool mayHaveTakenEffect_ = false;
  std::map<std::string, TableRow> rows_;
  std::vector<WorkerRow> workers_;
  OperationRow prepared_;
};

}
