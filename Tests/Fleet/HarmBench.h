#pragma once

#include "FleetWorld.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace cactusrail {

/**
 * A leader and one worker on a virtual clock; the test sets what the worker's
 * tasks report.
 */
struct HarmBench
{
  explicit HarmBench(const FleetBounds& aBounds = FleetBounds())
    : scheduler_(1, aBounds, kWallMs)
  {
    scheduler_.OnSideRegistered("side", now_);
    scheduler_.OnLoaded(now_, kWallMs);
    scheduler_.OnLinkUp("side", now_);
    Report();
  }

  static JobDescription Serving()
  {
    JobDescription job = MakeJob("serving", 1, 4000);
    job.steps_.front().longRunning_ = true;
    job.steps_.front().latencyObjectiveMs_ = 10;
    job.steps_.front().image_ = "victim";
    return job;
  }

  static JobDescription Backfill(const std::string& aId)
  {
    JobDescription job = MakeJob(aId, 1, 2000);
    job.priority_ = 2;
    job.steps_.front().backfill_ = true;
    job.steps_.front().checkpoints_ = true;
    job.steps_.front().image_ = "aggressor";
    return job;
  }

  void Report()
  {
    FleetReport report = IdleReport(now_);
    report.ordersSeen_ = sequence_;
    report.runs_ = runs_;
    report.ends_ = std::exchange(ends_, {});
    scheduler_.OnReport("side", report, now_);
  }

  /** Ends a run of the job; the next report contains the end. */
  void End(const std::string& aJob, EndKind aKind)
  {
    const auto run =
      std::find_if(runs_.begin(), runs_.end(), [&aJob](const RunStatus& aRun) {
        return aRun.task_.starts_with(aJob);
      });
    ends_.push_back({ ++lastEnd_, run->task_, run->run_, aKind, {} });
    runs_.erase(run);
  }

  /** Advances the time; the worker reports every half second. */
  void Run(Millis aFor)
  {
    const Instant until = now_ + aFor;
    while (now_ < until) {
      now_ += Millis(100);
      scheduler_.OnTableCurrent(now_);
      scheduler_.OnEvacuations({ {}, now_ });
      for (const SideOrders& orders : scheduler_.TakeOrders(
             now_, kWallMs + now_.time_since_epoch().count() / 1000)) {
        sequence_ = orders.orders_.sequence_;
        highFrequencyMicros_ = orders.orders_.highFrequencyMicros_;
        for (const StartOrder& start : orders.orders_.starts_) {
          runs_.push_back({ start.task_, start.run_, false, "", 1, 1000 });
          if (start.task_.starts_with("serving")) {
            runs_.back().percent_ = 100;
          }
        }
        stops_.insert(stops_.end(),
                      orders.orders_.stops_.begin(),
                      orders.orders_.stops_.end());
        paces_.insert(paces_.end(),
                      orders.orders_.paces_.begin(),
                      orders.orders_.paces_.end());
        profiles_.insert(profiles_.end(),
                         orders.orders_.profiles_.begin(),
                         orders.orders_.profiles_.end());
      }
      for (RunStatus& run : runs_) {
        if (run.task_.starts_with("serving")) {
          run.measure_ = latency_;
        } else {
          run.percent_ = std::min(99U, run.percent_ + 1);
        }
      }
      if (now_.time_since_epoch() % Millis(500) == Millis(0)) {
        Report();
      }
    }
  }

  bool Runs(const std::string& aJob) const
  {
    return std::any_of(
      runs_.begin(), runs_.end(), [&aJob](const RunStatus& aRun) {
        return aRun.task_.starts_with(aJob);
      });
  }

  Instant now_ = At(100000);
  FleetScheduler scheduler_;
  std::uint64_t sequence_ = 0;
  std::vector<RunStatus> runs_;
  std::vector<RunEndReport> ends_;
  std::uint64_t lastEnd_ = 0;
  std::vector<StopOrder> stops_;
  std::vector<PaceOrder> paces_;
  std::vector<RunProfile> profiles_;
  std::uint32_t latency_ = 4;
  /** Validity of the last order of high-frequency reporting; 0 if none. */
  std::uint64_t highFrequencyMicros_ = 0;
};

}
