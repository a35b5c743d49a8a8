// FleetScheduler: brings tasks that last back after a run of theirs has ended.

#include "Process/FleetScheduler.h"

#include <algorithm>

namespace cactusrail {

namespace {

/** A task that lasts waits so long for a gap before a worker is kept for it.
 * Short work ends there within two seconds or so; users allow six in all. */
constexpr Millis kPatience{ 2000 };

/** One in so many workers at most is kept at a time: short work goes on
 * elsewhere. */
constexpr std::size_t kWorkersPerReservation = 16;

/** A worker is kept for a task only if its long-running tasks leave so many
 * times the room that it takes, so short work never has less there. */
constexpr std::int64_t kTimesItsRoom = 2;

bool
LeavesRoomFor(const FleetWorker& aWorker, const FleetRoom& aRoom)
{
  const FleetRoom& all = aWorker.facts_.room_;
  const FleetRoom& lasting = aWorker.lasting_;
  const auto leaves =
    [](std::int64_t aAll, std::int64_t aLasting, std::int64_t aWanted) {
      return aAll - aLasting >= kTimesItsRoom * aWanted;
    };
  return leaves(all.cpuMilli_, lasting.cpuMilli_, aRoom.cpuMilli_) &&
         leaves(all.memoryMb_, lasting.memoryMb_, aRoom.memoryMb_) &&
         leaves(all.accelerators_, lasting.accelerators_, aRoom.accelerators_);
}

}

std::optional<Instant>
FleetScheduler::AwaySince(const JobEntry& aEntry, const FleetTask& aTask) const
{
  if (aTask.endedAt_.has_value()) {
    return aTask.endedAt_;
  }
  // What ran under a leader before this one is not known; most of it did.
  return aEntry.old_ ? std::optional(loadedAt_) : std::nullopt;
}

/**
 * Keeps a worker's room for a task that lasts and has been away for a while.
 *
 * Failure guarded against: in a full fleet short urgent work takes each gap the
 * moment it opens, and none grows to the size of a tracking feed's task. One
 * that failed by itself was away for 11 to 14 s while a twelfth of all room
 * went to urgent work; users allow six. On a worker that takes no more short
 * work room enough is free within a second or two. Where long-running tasks
 * hold nearly all of every worker nothing is kept, or after the loss of a host
 * its feeds would take what is left to urgent work.
 */
void
FleetScheduler::KeepRoomFor(const JobEntry& aEntry,
                            const FleetStep& aStep,
                            const FleetTask& aTask,
                            Instant aNow)
{
  const std::optional<Instant> since = AwaySince(aEntry, aTask);
  if (!aStep.spec_->longRunning_ || !since.has_value() ||
      aNow - *since < kPatience) {
    return;
  }
  const std::string& job = aEntry.job_->Spec().id_;
  const std::string_view kept = reservations_.NodeOf(job, aNow);
  const std::size_t most =
    std::max<std::size_t>(1, workers_.size() / kWorkersPerReservation);
  if (kept.empty() && reservations_.Count(aNow) >= most) {
    return;
  }
  const FleetRoom wanted = RoomOf(*aStep.spec_, job).room_;
  ChoiceFacts facts;
  facts.step_ = aStep.spec_;
  facts.service_ = aEntry.job_->Spec().service_;
  facts.now_ = aNow;
  const FleetWorker* best = nullptr;
  for (const WorkerOption& option : options_) {
    const FleetWorker& worker = *option.worker_;
    if (!MayRunOn(option, facts) || option.setAside_ ||
        !LeavesRoomFor(worker, wanted)) {
      continue;
    }
    if (worker.node_ == kept) {
      best = &worker;
      break;
    }
    if (best == nullptr || worker.Free().cpuMilli_ > best->Free().cpuMilli_) {
      best = &worker;
    }
  }
  if (best != nullptr) {
    reservations_.Keep(best->node_, job, aNow);
  }
}

}
