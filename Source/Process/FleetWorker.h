#pragma once

#include "Connection/FleetMessages.h"
#include "Process/BackfillInterference.h"
#include "Version/Instant.h"
#include "Version/TaskKey.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cactusrail {

/** Resources that a task uses on its worker. */
struct TaskResources
{
  FleetResources room_;
  /** CPU request of a backfill task, in thousandths of a processor. Backfill
   * uses what other tasks leave over, so the request is not part of room_. */
  std::int64_t backfillCpuMilli_ = 0;
  /** The task serves users of its own and has a latency objective. */
  bool serves_ = false;
  /** The task is long-running: it runs until it is cancelled. */
  bool longRunning_ = false;
  /** Work of a more urgent priority may preempt the task. */
  bool preemptible_ = false;
  std::int64_t priority_ = 0;
  std::string image_;
  std::string job_;
};

/** Reservation of a failed run's resources for the next run of its task. */
struct TaskReservation
{
  TaskResources room_;
  Instant until_;
};

/** End of a run that the worker keeps reporting until the resulting changes are
 * stored. */
struct UnstoredEnd
{
  std::uint64_t number_ = 0;
  /** Batch after which the end can be acknowledged; 0 if nothing had to be
   * stored. */
  std::uint64_t batch_ = 0;
  /** The end changed nothing and waits for earlier changes of its job. */
  bool waitsForJob_ = false;
};

/** A worker and the side next to it, as known to the leading entry. */
struct FleetWorker
{
  /** The side's process name. */
  std::string node_;
  WorkerDescription facts_;
  /** A link is established and its first report has been applied. */
  bool synced_ = false;
  bool linked_ = false;
  /** The side's row is in the table, so the next leader will query the side
   * too. */
  bool registered_ = false;
  /** Work of a previous leader may still run there, as the worker has not
   * reported to this leader yet. */
  bool mayRunOldWork_ = false;
  /** The last report showed neither a worker nor runs. */
  bool left_ = false;
  /** The side has the profiles of the runs on its worker, or they are part of
   * its next orders. */
  bool profilesSent_ = false;
  /** Time of the first report to this leader; the side accepts no orders of
   * former leaders from then on. */
  std::optional<Instant> firstReportAt_;
  /** Reports with runs of unknown jobs, which wait until the view of the table
   * is as new as the first report; see FleetScheduler::WaitsForTable(). */
  std::vector<FleetReport> waitingReports_;
  /** Side's clock in its last report; echoed with the orders. */
  std::uint64_t echoMicros_ = 0;
  /** Time at which that report was applied, by the leader's clock. */
  Instant reportedAt_;
  /** Number of orders sent on this link. */
  std::uint64_t ordersSent_ = 0;
  /** Sequence number of the last orders that the last report reflects. */
  std::uint64_t ordersSeen_ = 0;
  /** Time at which the last orders were sent; orders renew the side's
   * authority. */
  Instant grantedAt_;
  /** Time at which the link was lost. */
  Instant lostAt_;
  Instant drainingSince_;
  /** Number of the last end that was applied. */
  std::uint64_t endsSeen_ = 0;
  std::uint64_t endsStored_ = 0;
  /** Whether endsStored_ rose since the last orders. */
  bool acknowledgementDue_ = false;
  std::deque<UnstoredEnd> unstored_;
  /** Resources in use, by task name and run. */
  std::map<std::pair<std::string, std::uint32_t>, TaskResources> held_;
  /** Reservations by task name; counted as in use, so that no other task gets
   * the capacity. */
  std::map<std::string, TaskReservation> reserved_;
  /** Unknown runs, which have been ordered to stop. Their resources are
   * unknown, so nothing starts on the worker until they have ended. */
  std::set<std::pair<std::string, std::uint32_t>> unknownRuns_;
  FleetResources used_;
  /** Part of used_ that belongs to long-running tasks. */
  FleetResources longRunningUsed_;
  /** Part of used_ that can be preempted, by priority. */
  std::map<std::int64_t, FleetResources> preemptible_;
  std::int64_t backfillCpuMilli_ = 0;
  std::uint32_t serving_ = 0;
  /** End of the backoff after the worker refused a task for lack of
   * resources. */
  Instant refusalBackoffUntil_;
  /** End of the period without new tasks after a run on the worker stalled or a
   * start got no answer. */
  Instant cordonedUntil_;
  /** Priority of the most urgent step that found no worker in this placement
   * pass and fits here once preempted runs have ended. The worker is withheld
   * from less urgent steps, which would take the capacity that becomes free. */
  std::optional<std::int64_t> withheldFor_;
  /** Smoothed ratio of task durations here to those on other workers. */
  double slowness_ = 1;
  /** Time at which the last reported figures of the runs were measured. */
  Instant measuredAt_;
  /** Start of the current period above its objective, for each serving task
   * that exceeds it. */
  std::map<std::string, Instant> overObjectiveSince_;
  /** High-frequency reporting is on; see FleetScheduler::UpdateReportRate(). */
  bool highFrequency_ = false;
  /** Backfill is paused until the serving tasks have recovered. */
  bool backfillPaused_ = false;
  /** Serving tasks on the worker, as last reported. */
  std::vector<ServingSample> servingSamples_;
  /** Highest ratio of tail latency to objective among the serving tasks. */
  double pressure_ = 0;
  /** Ratio of the CPU that backfill used to the CPU that it requested. */
  double backfillShare_ = 1;
  /** CPU declared by serving tasks, of which they use only a part. */
  std::int64_t servingCpuMilli_ = 0;
  /** Learned upper limit of that part; none while no serving task has been
   * reported. */
  std::optional<double> servingUseShare_;
  /** Number of serving tasks by job and image. */
  std::map<ServingGroup, std::uint32_t> servingGroups_;
  /** CPU that backfill tasks may use, by image, in thousandths of a
   * processor. */
  std::map<std::string, std::int64_t> backfillImages_;
  /** Cached fit of one more backfill task, by image; cleared whenever an input
   * to it changes. */
  std::map<std::string, BackfillFit, std::less<>> fits_;
  /** Time at which the last backfill task of unknown effect on the serving
   * tasks started. */
  Instant trialStartedAt_;

  FleetResources Free() const
  {
    return { facts_.room_.cpuMilli_ - used_.cpuMilli_,
             facts_.room_.memoryMb_ - used_.memoryMb_,
             facts_.room_.accelerators_ - used_.accelerators_ };
  }

  /** Free resources if all work that this priority may preempt had ended. */
  FleetResources FreeAfterPreemption(std::int64_t aPriority) const
  {
    FleetResources room = Free();
    for (auto lower = preemptible_.upper_bound(aPriority);
         lower != preemptible_.end();
         ++lower) {
      AddTo(room, lower->second, 1);
    }
    return room;
  }

  /** CPU as a multiple of a tenth of the worker's processors. */
  double TenthsOf(std::int64_t aCpuMilli) const
  {
    return facts_.room_.cpuMilli_ <= 0
             ? 1
             : 10 * static_cast<double>(aCpuMilli) /
                 static_cast<double>(facts_.room_.cpuMilli_);
  }

  void Hold(const std::string& aTask,
            std::uint32_t aRun,
            const TaskResources& aRoom)
  {
    if (!held_.emplace(std::pair(aTask, aRun), aRoom).second) {
      return;
    }
    Add(aRoom, 1);
  }

  void Release(const std::string& aTask, std::uint32_t aRun)
  {
    const auto found = held_.find({ aTask, aRun });
    if (found == held_.end()) {
      return;
    }
    Add(found->second, -1);
    held_.erase(found);
  }

  void Reserve(const std::string& aTask, const TaskReservation& aReservation)
  {
    if (reserved_.emplace(aTask, aReservation).second) {
      Add(aReservation.room_, 1);
    }
  }

  /** Removes the reservation of a task and returns it; none if there was
   * none. */
  std::optional<TaskReservation> TakeReservation(const std::string& aTask)
  {
    const auto found = reserved_.find(aTask);
    if (found == reserved_.end()) {
      return std::nullopt;
    }
    TaskReservation reservation = std::move(found->second);
    reserved_.erase(found);
    Add(reservation.room_, -1);
    return reservation;
  }

  void DropReservations()
  {
    for (const auto& [task, reservation] : std::exchange(reserved_, {})) {
      Add(reservation.room_, -1);
    }
  }

  void DropExpiredReservations(Instant aNow)
  {
    std::erase_if(reserved_, [this, aNow](const auto& aEntry) {
      const bool over = aNow >= aEntry.second.until_;
      if (over) {
        Add(aEntry.second.room_, -1);
      }
      return over;
    });
  }

private:
  template<typename Kind, typename Number>
  static void Count(std::map<Kind, Number>& aCounts,
                    const Kind& aKind,
                    Number aChange)
  {
    Number& count = aCounts[aKind];
    count += aChange;
    if (count == 0) {
      aCounts.erase(aKind);
    }
  }

  static void AddTo(FleetResources& aSum,
                    const FleetResources& aRoom,
                    int aSign)
  {
    aSum.cpuMilli_ += aSign * aRoom.cpuMilli_;
    aSum.memoryMb_ += aSign * aRoom.memoryMb_;
    aSum.accelerators_ += aSign * aRoom.accelerators_;
  }

  void Add(const TaskResources& aRoom, int aSign)
  {
    fits_.clear();
    AddTo(used_, aRoom.room_, aSign);
    if (aRoom.longRunning_) {
      AddTo(longRunningUsed_, aRoom.room_, aSign);
    }
    if (aRoom.preemptible_) {
      AddTo(preemptible_[aRoom.priority_], aRoom.room_, aSign);
    }
    backfillCpuMilli_ += aSign * aRoom.backfillCpuMilli_;
    if (aRoom.backfillCpuMilli_ > 0) {
      Count(backfillImages_, aRoom.image_, aSign * aRoom.backfillCpuMilli_);
    }
    if (aRoom.serves_) {
      serving_ += static_cast<std::uint32_t>(aSign);
      servingCpuMilli_ += aSign * aRoom.room_.cpuMilli_;
      Count(servingGroups_,
            ServingGroup{ aRoom.job_, aRoom.image_ },
            static_cast<std::uint32_t>(aSign));
    }
  }
};

}
