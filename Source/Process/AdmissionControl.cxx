#include "Process/AdmissionControl.h"

#include "Process/JobOrder.h"
#include "Process/Log.h"
#include "Process/Metrics.h"
#include "Version/RecordCodec.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cactusrail {

namespace {

std::string
WholeText(double aNumber)
{
  return std::to_string(static_cast<std::int64_t>(aNumber));
}

}

void
AdmissionControl::OnLeader(std::uint64_t aEpoch, Instant aNow)
{
  admission_.OnLeader(aEpoch, aNow);
}

std::string
AdmissionControl::KnownVersion() const
{
  return std::to_string(admission_.Digest().version_);
}

FleetResponseMessage
AdmissionControl::MakeAnswer(const LoadDigest& aDigest,
                             const std::string& aKnownVersion)
{
  FleetResponseMessage answer;
  answer.value_ = aDigest.version_;
  if (aDigest.version_ != 0 &&
      aKnownVersion != std::to_string(aDigest.version_)) {
    answer.record_ = EncodeRecord(aDigest);
  }
  return answer;
}

void
AdmissionControl::OnAnswer(const std::optional<FleetResponseMessage>& aAnswer,
                           Instant aAskedAt,
                           Instant aNow)
{
  if (!aAnswer.has_value() || aAnswer->outcome_ != FleetOutcome::Ok) {
    return;
  }
  if (aAnswer->record_.empty()) {
    if (aAnswer->value_ == admission_.Digest().version_) {
      admission_.OnUnchanged(aAskedAt, aNow);
    }
    return;
  }
  Result<LoadDigest> digest = DecodeRecord<LoadDigest>(aAnswer->record_);
  if (const auto* failure = std::get_if<Failure>(&digest)) {
    LogProblem("digest-unreadable", { { "reason", failure->message_ } });
    return;
  }
  admission_.OnDigest(std::move(std::get<LoadDigest>(digest)), aAskedAt, aNow);
  ReportWork();
}

void
AdmissionControl::ReportWork() const
{
  constexpr double kMillisPerSecond = 1000;
  double work = 0;
  for (const PriorityLoad& load : admission_.Digest().loads_) {
    work += load.work_;
  }
  Metrics::OfProcess().Set(Gauge::WorkAhead,
                           static_cast<std::uint64_t>(work / kMillisPerSecond));
}

std::optional<JobDemand>
AdmissionControl::DemandOf(const JobDescription& aJob) const
{
  const bool always =
    aJob.IsTimed() ||
    std::any_of(
      aJob.steps_.begin(), aJob.steps_.end(), [](const StepSpec& aStep) {
        return aStep.longRunning_ || aStep.gang_ || aStep.accelerators_ > 0;
      });
  if (always) {
    return std::nullopt;
  }
  JobDemand demand;
  demand.service_ = aJob.service_;
  demand.priority_ = aJob.priority_;
  std::vector<double> millis;
  for (const StepSpec& step : aJob.steps_) {
    millis.push_back(
      ExpectedMillis(admission_.Digest(), aJob.queue_, step.estimateMs_));
    demand.work_ +=
      step.count_ * static_cast<double>(step.cpuMilli_) / 1000 * millis.back();
  }
  demand.chainMs_ = ChainMillis(aJob.steps_, millis);
  demand.objectiveMs_ = static_cast<double>(aJob.latencyObjectiveMs_) +
                        aJob.stretch_ * demand.chainMs_;
  demand.usefulMs_ = kUsefulFactor * demand.objectiveMs_;
  return demand;
}

std::optional<CompletionEstimate>
AdmissionControl::Check(const JobDescription& aJob, Instant aNow)
{
  const std::optional<JobDemand> demand =
    enabled_ ? DemandOf(aJob) : std::nullopt;
  return demand.has_value() ? admission_.Check(*demand, aNow) : std::nullopt;
}

void
AdmissionControl::OnAccepted(const JobDescription& aJob, Instant aNow)
{
  const std::optional<JobDemand> demand =
    enabled_ ? DemandOf(aJob) : std::nullopt;
  if (demand.has_value()) {
    admission_.OnAccepted(*demand, aNow);
  }
}

CallerReply
AdmissionControl::Reject(const JobDescription& aJob,
                         const CompletionEstimate& aEstimate,
                         Instant aNow)
{
  const JobDemand demand = DemandOf(aJob).value_or(JobDemand());
  CallerReply reply = ReplyOf(
    CallerOutcome::Rejected,
    "The job cannot be completed while its result is useful; retry later.");
  reply.retryAfter_ = admission_.OnRejected(demand, aEstimate, aNow);
  Metrics::OfProcess().Count(Counter::JobsRejected);
  LogChange("job-rejected",
            { { "id", aJob.id_ },
              { "priority", std::to_string(aJob.priority_) },
              { "waitMs", WholeText(aEstimate.waitMs_) },
              { "completionMs", WholeText(aEstimate.assumedMs_) },
              { "usefulMs", WholeText(demand.usefulMs_) },
              { "retryAfterMs", std::to_string(reply.retryAfter_.count()) } });
  return reply;
}

}
