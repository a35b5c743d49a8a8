#include "Version/WorkVerbs.h"

#include "Version/JobLedger.h"
#include "Version/JsonText.h"
#include "Version/Selector.h"

#include <algorithm>
#include <utility>

namespace cactusrail {

namespace {

constexpr std::uint32_t kMaxAttempts = 12;
constexpr std::uint32_t kMaxTasks = 1000000;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

const std::map<std::string, Wanted, std::less<>> kVerbs{
  { "pause", Wanted::Paused },     { "resume", Wanted::Run },
  { "drain", Wanted::Drained },    { "stop", Wanted::Stopped },
  { "cancel", Wanted::Cancelled },
};

bool
IsId(std::string_view aText)
{
  return !aText.empty() && aText.size() <= 128 &&
         std::all_of(aText.begin(), aText.end(), [](unsigned char aLetter) {
           return std::isalnum(aLetter) != 0 || aLetter == '-' ||
                  aLetter == '_';
         });
}

bool
Fits(const Resources& aDeclared, const WorkerRow& aWorker)
{
  return aDeclared.FitsIn(aWorker.capacity_, Resources{});
}

bool
HasParked(const JobRow& aJob)
{
  return std::any_of(
    aJob.open_.begin(), aJob.open_.end(), [](const TaskRecord& aTask) {
      return aTask.state_ == TaskState::Parked;
    });
}

/** Applies the verb to the job. If the job stays unchanged, the outcome gives
 * the reason. */
JobOutcome
ChangeJob(JobLedger& aJob, Wanted aWanted)
{
  const JobRow& row = aJob.Row();
  const Wanted before = row.wanted_;
  JobOutcome outcome;
  outcome.jobId_ = row.spec_.id_;
  // Cancel overrides stop, and both override all other verbs, in whatever order
  // concurrent requests arrive. No verb reactivates a stopped or cancelled job.
  const bool ended = before == Wanted::Stopped || before == Wanted::Cancelled;
  const bool overrides =
    before == Wanted::Stopped && aWanted == Wanted::Cancelled;
  if (before == aWanted && !(aWanted == Wanted::Run && HasParked(row))) {
    outcome.outcome_ =
      "The job was " + std::string(WantedText(before)) + " already.";
    return outcome;
  }
  if (ended && !overrides) {
    outcome.outcome_ = "The job was " + std::string(WantedText(before)) +
                       " before; this stays so.";
    return outcome;
  }
  aJob.SetWanted(aWanted);
  if (aWanted == Wanted::Run) {
    aJob.Unpark();
  }
  outcome.changed_ = true;
  if (before == aWanted) {
    outcome.outcome_ = "Tasks of the job that may have run start again.";
    return outcome;
  }
  outcome.outcome_ = "The job is " + std::string(WantedText(aWanted)) +
                     " now; it was " + std::string(WantedText(before)) + ".";
  return outcome;
}

}

VerbSession::VerbSession(VerbRequest aRequest, CreationFacts aFacts)
  : request_(std::move(aRequest))
  , facts_(std::move(aFacts))
{
}

VerbStep
VerbSession::Refuse(int aStatus, std::string aMessage) const
{
  return VerbAnswer{ aStatus, {}, std::move(aMessage) };
}

VerbStep
VerbSession::Begin()
{
  if (!IsId(request_.operationId_)) {
    return Refuse(kBadRequest,
                  "The operation id must be 1 to 128 letters, digits, - or _.");
  }
  if (request_.verb_ == "create") {
    const JobSpec& spec = request_.spec_;
    if (!IsId(spec.id_)) {
      return Refuse(kBadRequest,
                    "The job's id must be 1 to 128 letters, digits, - or _.");
    }
    const Resources& size = spec.declared_;
    if (size.milliCpus_ < 0 || size.memoryMb_ < 0 || size.accelerators_ < 0) {
      return Refuse(kBadRequest, "The declared size must not be negative.");
    }
    if (spec.tasks_ == 0 || spec.tasks_ > kMaxTasks) {
      return Refuse(kBadRequest, "The job must have 1 to 1000000 tasks.");
    }
    if (!facts_.quotas_.empty() && !facts_.quotas_.contains(spec.tenant_)) {
      return Refuse(kBadRequest,
                    "There is no tenant '" + spec.tenant_ +
                      "' in the configuration.");
    }
    return Retry();
  }
  if (!kVerbs.contains(request_.verb_)) {
    return Refuse(kBadRequest,
                  "There is no verb '" + request_.verb_ +
                    "'; use create, pause, resume, drain, stop or cancel.");
  }
  const Result<Selector> selector = Selector::Parse(request_.selector_);
  if (const auto* failure = std::get_if<Failure>(&selector)) {
    return Refuse(kBadRequest, failure->message_);
  }
  return Retry();
}

VerbStep
VerbSession::Retry()
{
  if (++attempts_ > kMaxAttempts) {
    return Refuse(kUnavailable,
                  mayHaveTakenEffect_
                    ? "The table service does not answer; the operation may "
                      "have taken effect. Repeat it with the same operation "
                      "id to get its outcome."
                    : "The table service does not answer or the jobs change "
                      "too often; nothing was changed. Repeat the operation.");
  }
  stage_ = Stage::Operation;
  return VerbRead{ kOperationPrefix + request_.operationId_ };
}

void
VerbSession::MergeRows(const std::vector<TableRow>& aRows, bool aCertain)
{
  for (const TableRow& row : aRows) {
    TableRow& known = rows_[row.key_];
    // A read may return stale data; rows of a refused write are current.
    if (aCertain || row.revision_ > known.revision_) {
      known = row;
    }
  }
}

const TableRow*
VerbSession::FindRow(const std::string& aKey) const
{
  const auto found = rows_.find(aKey);
  const bool exists = found != rows_.end() && found->second.revision_ != 0;
  return exists ? &found->second : nullptr;
}

std::optional<VerbStep>
VerbSession::FindFirstOutcome(const std::vector<TableRow>& aRows) const
{
  for (const TableRow& row : aRows) {
    if (row.key_ != kOperationPrefix + request_.operationId_ ||
        row.revision_ == 0) {
      continue;
    }
    const Result<OperationRow> parsed = FromJson<OperationRow>(row.value_);
    const auto* operation = std::get_if<OperationRow>(&parsed);
    if (operation == nullptr) {
      return Refuse(kUnavailable, "The operation's row can't be read.");
    }
    if (ToJson(operation->request_) != ToJson(request_)) {
      return Refuse(kConflict,
                    "The operation id was used before, for another verb, "
                    "selector or job. Choose a new one.");
    }
    return VerbAnswer{ 200, *operation, {} };
  }
  return std::nullopt;
}

VerbStep
VerbSession::OnRows(const Result<std::vector<TableRow>>& aRows)
{
  const auto* rows = std::get_if<std::vector<TableRow>>(&aRows);
  if (rows == nullptr) {
    return Retry();
  }
  const bool create = request_.verb_ == "create";
  const std::string jobKey =
    std::string(kJobPrefix) + (create ? request_.spec_.id_ : "");
  switch (stage_) {
    case Stage::Operation: {
      if (auto first = FindFirstOutcome(*rows)) {
        return *first;
      }
      stage_ = create ? Stage::Workers : Stage::Jobs;
      return VerbRead{ create ? kWorkerPrefix : jobKey };
    }
    case Stage::Workers: {
      workers_.clear();
      for (const TableRow& row : *rows) {
        const Result<WorkerRow> worker = FromJson<WorkerRow>(row.value_);
        if (Succeeded(worker)) {
          workers_.push_back(std::get<WorkerRow>(worker));
        }
      }
      stage_ = Stage::Jobs;
      return VerbRead{ jobKey };
    }
    case Stage::Jobs: {
      MergeRows(*rows, false);
      if (!create) {
        return Prepare();
      }
      stage_ = Stage::Done;
      return VerbRead{ kDonePrefix + request_.spec_.id_ };
    }
    default:
      MergeRows(*rows, false);
      return Prepare();
  }
}

VerbStep
VerbSession::Prepare()
{
  return request_.verb_ == "create" ? PrepareCreate() : PrepareChange();
}

VerbStep
VerbSession::PrepareCreate()
{
  const JobSpec& spec = request_.spec_;
  const std::string jobKey = kJobPrefix + spec.id_;
  const std::string doneKey = kDonePrefix + spec.id_;
  OperationRow outcome;
  outcome.request_ = request_;
  for (const std::string& key : { jobKey, doneKey }) {
    const TableRow* row = FindRow(key);
    if (row == nullptr) {
      continue;
    }
    const Result<JobRow> parsed = FromJson<JobRow>(row->value_);
    const auto* job = std::get_if<JobRow>(&parsed);
    const bool same = job != nullptr && ToJson(job->spec_) == ToJson(spec);
    return same ? Refuse(kConflict,
                         "The job '" + spec.id_ +
                           "' was created before by another operation.")
                : Refuse(kConflict,
                         "Choose a different id; another job has the id '" +
                           spec.id_ + "'.");
  }
  if (workers_.empty()) {
    return Refuse(kUnavailable,
                  "No worker is registered; the job was not created. Try "
                  "again later.");
  }
  // A job that fits on no worker would wait forever and could not be told apart
  // from one that waits for capacity.
  const bool possible = std::any_of(
    workers_.begin(), workers_.end(), [&spec](const WorkerRow& aWorker) {
      return Fits(spec.declared_, aWorker);
    });
  if (!possible) {
    return Refuse(kBadRequest,
                  "A task of the job is larger than any worker; it could "
                  "never run. Declare less.");
  }
  const auto quota = facts_.quotas_.find(spec.tenant_);
  if (quota != facts_.quotas_.end() && quota->second > 0 &&
      spec.declared_.milliCpus_ > quota->second) {
    return Refuse(kBadRequest,
                  "A task of the job is larger than the tenant's quota; it "
                  "could never run. Declare less or raise the quota.");
  }
  JobRow job;
  job.spec_ = spec;
  outcome.jobs_.push_back({ spec.id_, true, "The job was created." });
  TableTransaction transaction;
  transaction.conditions_.push_back({ jobKey, 0 });
  transaction.conditions_.push_back({ doneKey, 0 });
  transaction.puts_.push_back({ jobKey, ToJson(job) });
  return Write(std::move(transaction), std::move(outcome));
}

VerbStep
VerbSession::PrepareChange()
{
  const Wanted wanted = kVerbs.find(request_.verb_)->second;
  const Result<Selector> parsed = Selector::Parse(request_.selector_);
  const auto& selector = std::get<Selector>(parsed);
  OperationRow outcome;
  outcome.request_ = request_;
  TableTransaction transaction;
  for (const auto& [key, row] : rows_) {
    if (!key.starts_with(kJobPrefix) || row.revision_ == 0) {
      continue;
    }
    const Result<JobRow> value = FromJson<JobRow>(row.value_);
    const auto* job = std::get_if<JobRow>(&value);
    if (job == nullptr || !selector.Matches(job->spec_.labels_)) {
      continue;
    }
    JobLedger ledger(*job);
    outcome.jobs_.push_back(ChangeJob(ledger, wanted));
    // The outcome states the job's previous state, so the row must be unchanged
    // when the transaction applies.
    transaction.conditions_.push_back({ key, row.revision_ });
    if (!outcome.jobs_.back().changed_) {
      continue;
    }
    if (ledger.IsOver()) {
      transaction.deletes_.push_back(key);
      transaction.puts_.push_back(
        { kDonePrefix + job->spec_.id_, ToJson(ledger.Row()) });
    } else {
      transaction.puts_.push_back({ key, ToJson(ledger.Row()) });
    }
  }
  return Write(std::move(transaction), std::move(outcome));
}

VerbStep
VerbSession::Write(TableTransaction aTransaction, OperationRow aOutcome)
{
  const std::string key = kOperationPrefix + request_.operationId_;
  aTransaction.conditions_.push_back({ key, 0 });
  aTransaction.puts_.push_back({ key, ToJson(aOutcome) });
  prepared_ = std::move(aOutcome);
  stage_ = Stage::Writing;
  return VerbWrite{ std::move(aTransaction) };
}

VerbStep
VerbSession::OnWritten(const Result<TableOutcome>& aOutcome)
{
  if (const auto* failure = std::get_if<Failure>(&aOutcome)) {
    // The write may have applied, which the next read of its operation row
    // shows. If it applies only later, the condition of the next attempt fails.
    mayHaveTakenEffect_ =
      mayHaveTakenEffect_ || failure->verdict_ != Verdict::DidNotRun;
    return Retry();
  }
  const auto& outcome = std::get<TableOutcome>(aOutcome);
  if (outcome.applied_) {
    return VerbAnswer{ 200, prepared_, {} };
  }
  if (auto first = FindFirstOutcome(outcome.rows_)) {
    return *first;
  }
  MergeRows(outcome.rows_, true);
  return Retry();
}

}
