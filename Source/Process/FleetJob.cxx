#include "Process/FleetJob.h"

#include <algorithm>
#include <utility>

namespace cactusrail {

FleetJob::FleetJob(JobDescription aSpec, std::uint32_t aFirstRun)
  : spec_(std::move(aSpec))
  , firstRun_(aFirstRun)
{
}

std::uint32_t
FleetJob::OccurrenceCount() const
{
  return std::max<std::uint32_t>(1, spec_.occurrences_);
}

std::optional<std::int64_t>
FleetJob::NextDue() const
{
  if (IsOver() || nextOccurrence_ >= OccurrenceCount()) {
    return std::nullopt;
  }
  return DueMs(nextOccurrence_);
}

std::int64_t
FleetJob::DueMs(std::uint32_t aOccurrence) const
{
  if (!spec_.IsTimed()) {
    return 0;
  }
  return spec_.startAtMs_ +
         static_cast<std::int64_t>(aOccurrence) * spec_.intervalMs_;
}

void
FleetJob::BeginDue(std::int64_t aWallMs, Instant aNow)
{
  for (;;) {
    const std::optional<std::int64_t> due = NextDue();
    if (!due.has_value() || *due > aWallMs) {
      return;
    }
    Begin(nextOccurrence_++, aNow);
  }
}

void
FleetJob::BeginThrough(std::uint32_t aOccurrence, Instant aNow)
{
  while (nextOccurrence_ <= aOccurrence &&
         nextOccurrence_ < OccurrenceCount()) {
    Begin(nextOccurrence_++, aNow);
  }
}

void
FleetJob::Begin(std::uint32_t aOccurrence, Instant aNow)
{
  FleetOccurrence& occurrence = occurrences_[aOccurrence];
  for (std::uint32_t i = 0; i < spec_.steps_.size(); ++i) {
    FleetStep step;
    step.spec_ = &spec_.steps_[i];
    step.occurrence_ = aOccurrence;
    step.index_ = i;
    step.tasks_.resize(step.spec_->count_);
    occurrence.steps_.push_back(std::move(step));
  }
  OpenSteps(occurrence, aNow);
}

void
FleetJob::OpenSteps(FleetOccurrence& aOccurrence, Instant aNow)
{
  for (FleetStep& step : aOccurrence.steps_) {
    if (step.open_) {
      continue;
    }
    const auto isDone = [&aOccurrence](std::uint32_t aIndex) {
      return aIndex < aOccurrence.steps_.size() &&
             aOccurrence.steps_[aIndex].AllDone();
    };
    const std::vector<std::uint32_t>& after = step.spec_->after_;
    step.open_ = std::all_of(after.begin(), after.end(), isDone);
    if (step.open_) {
      step.openedAt_ = aNow;
    }
  }
}

FleetStep*
FleetJob::FindStep(std::uint32_t aOccurrence, std::uint32_t aStep)
{
  const auto found = occurrences_.find(aOccurrence);
  if (found == occurrences_.end() || aStep >= found->second.steps_.size()) {
    return nullptr;
  }
  return &found->second.steps_[aStep];
}

FleetTask*
FleetJob::FindTask(const TaskKey& aName)
{
  FleetStep* step = FindStep(aName.occurrence_, aName.step_);
  if (step == nullptr || aName.index_ >= step->tasks_.size()) {
    return nullptr;
  }
  return &step->tasks_[aName.index_];
}

std::uint32_t
FleetJob::NextRun(FleetTask& aTask) const
{
  aTask.lastRun_ = std::max(aTask.lastRun_ + 1, firstRun_);
  return aTask.lastRun_;
}

bool
FleetJob::OnDone(FleetStep& aStep, FleetTask& aTask, Instant aNow)
{
  if (aTask.done_) {
    return false;
  }
  aTask.done_ = true;
  everStarted_ = true;
  ++aStep.done_;
  if (aStep.AllDone()) {
    OnStepDone(aStep.occurrence_, aNow);
  }
  return true;
}

void
FleetJob::OnStepDone(std::uint32_t aOccurrence, Instant aNow)
{
  FleetOccurrence& occurrence = occurrences_[aOccurrence];
  ++occurrence.stepsDone_;
  OpenSteps(occurrence, aNow);
}

bool
FleetJob::OnFailed(FleetTask& aTask, std::uint32_t aRun)
{
  std::vector<std::uint32_t>& failed = aTask.failedRuns_;
  if (std::find(failed.begin(), failed.end(), aRun) != failed.end()) {
    return false;
  }
  failed.push_back(aRun);
  return true;
}

bool
FleetJob::AllDone() const
{
  const auto isDone = [](const auto& aEntry) {
    return aEntry.second.stepsDone_ == aEntry.second.steps_.size();
  };
  return nextOccurrence_ >= OccurrenceCount() &&
         std::all_of(occurrences_.begin(), occurrences_.end(), isDone);
}

bool
FleetJob::Idle() const
{
  for (const auto& [number, occurrence] : occurrences_) {
    for (const FleetStep& step : occurrence.steps_) {
      const bool idle =
        std::all_of(step.tasks_.begin(),
                    step.tasks_.end(),
                    [](const FleetTask& aTask) { return aTask.runs_.empty(); });
      if (!idle) {
        return false;
      }
    }
  }
  return true;
}

void
FleetJob::RemoveDone()
{
  while (!occurrences_.empty()) {
    const auto first = occurrences_.begin();
    if (first->first != occurrencesDone_ ||
        first->second.stepsDone_ != first->second.steps_.size()) {
      return;
    }
    occurrences_.erase(first);
    ++occurrencesDone_;
  }
}

void
FleetJob::Finish(JobState aState, std::int64_t aWallMs)
{
  state_ = aState;
  endedAtMs_ = aWallMs;
}

void
FleetJob::FreePayload()
{
  spec_.payload_.clear();
  spec_.payload_.shrink_to_fit();
}

void
FleetJob::AddStepProgress(const FleetStep& aStep, JobProgress& aProgress)
{
  StepProgress note;
  note.occurrence_ = aStep.occurrence_;
  note.step_ = aStep.index_;
  note.allDone_ = aStep.AllDone();
  for (std::uint32_t i = 0; i < aStep.tasks_.size() && !note.allDone_; ++i) {
    const FleetTask& task = aStep.tasks_[i];
    if (task.done_) {
      note.done_.push_back(i);
    } else if (!task.failedRuns_.empty() || !task.checkpoint_.empty()) {
      note.tasks_.push_back({ i, task.failedRuns_, task.checkpoint_ });
    }
  }
  if (note.allDone_ || !note.done_.empty() || !note.tasks_.empty()) {
    aProgress.steps_.push_back(std::move(note));
  }
}

JobProgress
FleetJob::Progress() const
{
  JobProgress progress;
  progress.state_ = state_;
  progress.endedAtMs_ = endedAtMs_;
  progress.occurrencesDone_ = occurrencesDone_;
  if (IsOver()) {
    return progress;
  }
  if (everStarted_) {
    progress.state_ = JobState::Running;
  }
  for (const auto& [number, occurrence] : occurrences_) {
    for (const FleetStep& step : occurrence.steps_) {
      AddStepProgress(step, progress);
    }
  }
  return progress;
}

void
FleetJob::RestoreStep(const StepProgress& aNote, Instant aNow)
{
  BeginThrough(aNote.occurrence_, aNow);
  FleetStep* step = FindStep(aNote.occurrence_, aNote.step_);
  if (step == nullptr) {
    return;
  }
  everStarted_ = true;
  // The completion of one member of a gang implies the others.
  const bool allDone =
    aNote.allDone_ || (step->spec_->gang_ && !aNote.done_.empty());
  for (std::uint32_t i = 0; allDone && i < step->tasks_.size(); ++i) {
    OnDone(*step, step->tasks_[i], aNow);
  }
  for (const std::uint32_t index : aNote.done_) {
    if (index < step->tasks_.size()) {
      OnDone(*step, step->tasks_[index], aNow);
    }
  }
  for (const TaskProgress& note : aNote.tasks_) {
    if (note.index_ < step->tasks_.size()) {
      FleetTask& task = step->tasks_[note.index_];
      task.failedRuns_ = note.failedRuns_;
      task.checkpoint_ = note.checkpoint_;
    }
  }
}

void
FleetJob::Restore(const JobProgress& aProgress, Instant aNow)
{
  state_ = IsFinal(aProgress.state_) ? aProgress.state_ : JobState::Pending;
  endedAtMs_ = aProgress.endedAtMs_;
  occurrencesDone_ = aProgress.occurrencesDone_;
  nextOccurrence_ = std::max(nextOccurrence_, occurrencesDone_);
  // Occurrences that are due began when the job was added.
  occurrences_.erase(occurrences_.begin(),
                     occurrences_.lower_bound(occurrencesDone_));
  everStarted_ = everStarted_ || occurrencesDone_ > 0 ||
                 aProgress.state_ != JobState::Pending;
  for (const StepProgress& note : aProgress.steps_) {
    RestoreStep(note, aNow);
  }
}

}
