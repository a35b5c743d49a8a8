#pragma once

#include "Connection/FleetMessages.h"
#include "Process/BackfillInterference.h"
#include "Process/Instant.h"
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

/** Room that a task takes of its worker. */
struct TaskRoom
{
  FleetRoom room_;
  /** Its processors are what others leave; not part of room_. */
  std::int64_t backfillCpuMilli_ = 0;
  /** It serves its own users and has a latency objective. */
  bool serves_ = false;
  /** It runs until it is cancelled. */
  bool lasts_ = false;
  /** Work of a more urgent priority may take its place. */
  bool preemptible_ = false;
  std::int64_t priority_ = 0;
  /** What it runs. */
  std::string image_;
  /** Its job. */
  std::string job_;
};

/** Room that a failed run left, for its task's next run. */
struct KeptRoom
{
  TaskRoom room_;
  Instant until_;
};

/** An end that the worker lists until what it changed is stored. */
struct UnstoredEnd
{
  std::uint64_t number_ = 0;
  /** The batch of changes that holds it; 0 if nothing had to be stored. */
  std::uint64_t batch_ = 0;
};

/** A worker and the side next to it, as the entry that leads sees them. */
struct FleetWorker
{
  /** The side's process name. */
  std::string node_;
  WorkerDescription facts_;
  /** A link stands, and its first report has been taken in. */
  bool synced_ = false;
  bool linked_ = false;
  /** Its side's row is in the table, so a next leader will ask it too. */
  bool registered_ = false;
  /** Work from before this leader may run there until it has reported. */
  bool suspect_ = false;
  /** Its last report said that no worker is there. */
  bool left_ = false;
  /** The side's clock in its last report; echoed. */
  std::uint64_t echoMicros_ = 0;
  /** When that report was taken in, by the leader's clock. */
  Instant reportedAt_;
  /** Orders sent on this link. */
  std::uint64_t ordersSent_ = 0;
  /** When the last orders were sent; they renew the side's authority. */
  Instant grantedAt_;
  /** When the link was lost. */
  Instant lostAt_;
  Instant drainingSince_;
  /** Ends up to this one have been taken in. */
  std::uint64_t endsSeen_ = 0;
  std::uint64_t endsStored_ = 0;
  /** Whether endsStored_ rose since the last orders. */
  bool acknowledgementDue_ = false;
  std::deque<UnstoredEnd> unstored_;
  /** By task name and run. */
  std::map<std::pair<std::string, std::uint32_t>, TaskRoom> held_;
  /** By task name; counted as in use, so that nothing else takes it. */
  std::map<std::string, KeptRoom> kept_;
  /** Runs that nothing is known of; told to stop. Their room is unknown, so
   * nothing starts there until they are gone. */
  std::set<std::pair<std::string, std::uint32_t>> strangers_;
  FleetRoom used_;
  /** The part of used_ that long-running tasks hold. */
  FleetRoom lasting_;
  /** The part of used_ that can be preempted, by priority. */
  std::map<std::int64_t, FleetRoom> preemptible_;
  std::int64_t backfillCpuMilli_ = 0;
  std::uint32_t serving_ = 0;
  /** It refused for want of room; tried again after this. */
  Instant fullUntil_;
  /** Stood still or far too slow: nothing new until then. */
  Instant avoidUntil_;
  /** How much longer work takes here than elsewhere; smoothed. */
  double slowness_ = 1;
  /** When what was last reported of its runs was measured. */
  Instant measuredAt_;
  /** Since when a task that serves has been over its objective. */
  std::map<std::string, Instant> overSince_;
  /** Its side reports each figure; see WatchClosely(). */
  bool watched_ = false;
  /** Backfill stands still until the tasks that serve have recovered. */
  bool backfillPaused_ = false;
  /** Tasks that serve there, as last reported. */
  std::vector<ServingSample> servingSamples_;
  /** Worst tail latency over its objective among them. */
  double pressure_ = 0;
  /** Processors that backfill used over those that it asked for. */
  double backfillShare_ = 1;
  /** Processors declared by tasks that serve; they use a part of them. */
  std::int64_t servingCpuMilli_ = 0;
  /** Tasks that serve there: how many of each job and image. */
  std::map<ServingGroup, std::uint32_t> servingGroups_;
  /** Images of backfill there, and what processors its tasks may use, in
   * thousandths. */
  std::map<std::string, std::int64_t> backfillImages_;
  /** How backfill of an image would do there, as last worked out; empty after
   * each change. */
  std::map<std::string, BackfillFit, std::less<>> fits_;
  /** A backfill task whose effect there is not known started then. */
  Instant triedAt_;

  FleetRoom Free() const
  {
    return { facts_.room_.cpuMilli_ - used_.cpuMilli_,
             facts_.room_.memoryMb_ - used_.memoryMb_,
             facts_.room_.accelerators_ - used_.accelerators_ };
  }

  /** What would be free without all that work of this priority may preempt. */
  FleetRoom FreeWithout(std::int64_t aPriority) const
  {
    FleetRoom room = Free();
    for (auto less = preemptible_.upper_bound(aPriority);
         less != preemptible_.end();
         ++less) {
      AddTo(room, less->second, 1);
    }
    return room;
  }

  /** Processors as tenths of all that the worker has. */
  double TenthsOf(std::int64_t aCpuMilli) const
  {
    return facts_.room_.cpuMilli_ <= 0
             ? 1
             : 10 * static_cast<double>(aCpuMilli) /
                 static_cast<double>(facts_.room_.cpuMilli_);
  }

  void Hold(const std::string& aTask, std::uint32_t aRun, const TaskRoom& aRoom)
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

  void Keep(const std::string& aTask, const KeptRoom& aKept)
  {
    if (kept_.emplace(aTask, aKept).second) {
      Add(aKept.room_, 1);
    }
  }

  /** Ends the keeping of room for a task; what was kept, none if nothing was.
   */
  std::optional<KeptRoom> TakeKept(const std::string& aTask)
  {
    const auto found = kept_.find(aTask);
    if (found == kept_.end()) {
      return std::nullopt;
    }
    KeptRoom kept = std::move(found->second);
    kept_.erase(found);
    Add(kept.room_, -1);
    return kept;
  }

  void DropKept()
  {
    for (const auto& [task, kept] : std::exchange(kept_, {})) {
      Add(kept.room_, -1);
    }
  }

  void DropKeptUntil(Instant aNow)
  {
    std::erase_if(kept_, [this, aNow](const auto& aEntry) {
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

  static void AddTo(FleetRoom& aSum, const FleetRoom& aRoom, int aSign)
  {
    aSum.cpuMilli_ += aSign * aRoom.cpuMilli_;
    aSum.memoryMb_ += aSign * aRoom.memoryMb_;
    aSum.accelerators_ += aSign * aRoom.accelerators_;
  }

  void Add(const TaskRoom& aRoom, int aSign)
  {
    fits_.clear();
    AddTo(used_, aRoom.room_, aSign);
    if (aRoom.lasts_) {
      AddTo(lasting_, aRoom.room_, aSign);
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
