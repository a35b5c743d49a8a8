#pragma once

#include "Version/Instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace cactusrail {

/** Rates at which work is completed, in processor-ms per ms. */
struct WorkRate
{
  /** Work of the priority itself, beside what more urgent work takes. */
  double own_ = 0;
  /** Work of the priority and of more urgent ones together. */
  double withMoreUrgent_ = 0;
};

/**
 * Learns the rate at which tasks are completed while others of their priority
 * wait, for each service and priority.
 *
 * Without a backlog, the rate of completions shows only the demand. Declared
 * sizes of workers do not show the rate either: tasks that use idle processors
 * run at a lower pace beside others, and are moved. Performs no I/O and reads
 * no clock.
 */
class CompletionRate
{
public:
  /**
   * Sets whether tasks wait for capacity now. To be called at intervals well
   * below a second while the state is known, for all priorities with a backlog
   * and, once, for those whose backlog has ended.
   */
  void SetBacklog(std::string_view aService,
                  std::int64_t aPriority,
                  bool aWaiting,
                  Instant aNow);

  /** Handles the completion of a task with aWork processor-ms that ran for
   * aDuration. */
  void OnCompleted(std::string_view aService,
                   std::int64_t aPriority,
                   double aWork,
                   Millis aDuration,
                   Instant aNow);

  /** Returns the learned rate; none if there was no long enough backlog lately.
   */
  std::optional<WorkRate> Rate(std::string_view aService,
                               std::int64_t aPriority,
                               Instant aNow) const;

private:
  struct Priority
  {
    /** Start of the present backlog; none without one. */
    std::optional<Instant> backlogSince_;
    /** Time up to which the sums below include the present backlog. */
    Instant countedTo_;
    /** Mean duration of the tasks, in ms. */
    double durationMs_ = 0;
    /** Decayed sums over the observed time of backlogs. */
    double ms_ = 0;
    double ownWork_ = 0;
    double allWork_ = 0;
    /** The observed time was once long enough for a rate. */
    bool known_ = false;
  };

  using Key = std::pair<std::string, std::int64_t>;

  Priority* FindOrAdd(std::string_view aService,
                      std::int64_t aPriority,
                      Instant aNow);
  /** Whether the present backlog lasts long enough to show the capacity. */
  static bool IsObserved(const Priority& aPriority, Instant aNow);
  static void Observe(Priority& aPriority, Instant aNow);

  std::map<Key, Priority> priorities_;
};

}
