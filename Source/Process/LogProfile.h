#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cactusrail {

/**
 * Profile of a fleet from the log lines of its entries: how long jobs of each
 * priority waited and took, how runs were stopped, and how the workers were
 * used over time. Lines of other processes are skipped, as is text before the
 * JSON object of a line. Pure.
 */
class LogProfile
{
public:
  /** Adds one line of a log. */
  void AddLine(std::string_view aLine);

  /** Returns the tables of the profile as text. */
  std::string Text() const;

private:
  struct Job
  {
    std::string priority_;
    std::int64_t queuedAtMs_ = 0;
    std::optional<std::int64_t> startedAtMs_;
    std::optional<std::int64_t> endedAtMs_;
    std::string state_;
  };

  /** Sums over the worker-view lines of one span of time. */
  struct Usage
  {
    std::size_t lines_ = 0;
    double capacity_ = 0;
    double fixed_ = 0;
    double backfill_ = 0;
    double pressure_ = 0;
    std::size_t overObjective_ = 0;
  };

  void AddJobEvent(const std::string& aEvent,
                   const std::string& aId,
                   const std::string& aDetail,
                   std::int64_t aAtMs);
  /** aCpu is the reserved and the whole CPU of a worker, as "used/all". */
  void AddWorker(std::int64_t aAtMs,
                 const std::string& aCpu,
                 double aBackfill,
                 double aPressure);
  std::string JobsText() const;
  std::string StopsText() const;
  std::string UsageText() const;

  std::map<std::string, Job> jobs_;
  /** Number of stopped runs by reason, without the numbers in it. */
  std::map<std::string, std::size_t> stops_;
  std::map<std::int64_t, Usage> usage_;
};

}
