#include "Load/CompletionRate.h"

#include <criterion/criterion.h>

#include <deque>
#include <functional>

using namespace cactusrail;

namespace {

Instant
At(std::int64_t aMs)
{
  return Instant(Millis(1000000 + aMs));
}

/** Processors that run tasks of one processor and of 1 s, in steps of 10 ms. */
class Processors
{
public:
  explicit Processors(std::size_t aCount)
    : count_(aCount)
  {
  }

  /** Runs until aUntilMs; aPerSecond tasks arrive in a second. */
  void Run(std::int64_t aUntilMs, double aPerSecond)
  {
    for (; nowMs_ < aUntilMs; nowMs_ += kStepMs) {
      arrived_ += aPerSecond * kStepMs / 1000;
      for (; arrived_ >= 1; --arrived_) {
        ++waiting_;
      }
      while (!running_.empty() && running_.front() <= nowMs_) {
        running_.pop_front();
        rate_.OnCompleted("service", 2, kTaskMs, Millis(kTaskMs), At(nowMs_));
      }
      while (waiting_ > 0 && running_.size() < count_) {
        --waiting_;
        running_.push_back(nowMs_ + kTaskMs);
      }
      if (nowMs_ % 100 == 0) {
        rate_.SetBacklog("service", 2, waiting_ > 0, At(nowMs_));
      }
    }
  }

  double Rate() const
  {
    const auto rate = rate_.Rate("service", 2, At(nowMs_));
    return rate.has_value() ? rate->own_ : 0;
  }

  static constexpr std::int64_t kStepMs = 10;
  static constexpr std::int64_t kTaskMs = 1000;

  CompletionRate rate_;
  std::size_t count_;
  std::size_t waiting_ = 0;
  std::int64_t nowMs_ = 0;

private:
  double arrived_ = 0;
  std::deque<std::int64_t> running_;
};

}

// Guards against rejections by a rate that is only the demand: without a
// backlog, a fleet of 20 processors completes the work of 7.
Test(CompletionRate, DemandIsNotTakenForCapacity)
{
  Processors processors(20);
  processors.Run(30000, 7);
  cr_assert_eq(processors.Rate(), 0);
}

// Guards against a rate that counts the tasks that were started before the
// backlog began, at the rate of the demand.
Test(CompletionRate, FirstRateOfABurstIsTheCapacity)
{
  Processors processors(20);
  processors.Run(10000, 7);
  std::int64_t knownAtMs = 0;
  for (std::int64_t ms = 10000; ms < 20000; ms += 100) {
    processors.Run(ms, 7 * 5);
    if (processors.Rate() > 0) {
      knownAtMs = knownAtMs == 0 ? ms : knownAtMs;
      // Tasks end in groups, so a rate that is learned in 1 s may be too high.
      cr_assert_geq(processors.Rate(), 18, "%f at %ld", processors.Rate(), ms);
      cr_assert_leq(processors.Rate(), 25, "%f at %ld", processors.Rate(), ms);
    }
  }
  cr_assert_gt(knownAtMs, 0);
  cr_assert_lt(knownAtMs, 14500);
}

// Guards against a rate that stays at the capacity before a loss of workers.
Test(CompletionRate, FollowsALossOfHalfTheProcessors)
{
  Processors processors(20);
  processors.Run(20000, 40);
  processors.count_ = 10;
  processors.Run(35000, 40);
  cr_assert_float_eq(processors.Rate(), 10, 1.5, "%f", processors.Rate());
}

// Guards against a rate of another day, and against a rate that is lost between
// two bursts.
Test(CompletionRate, IsKeptForMinutesAndThenForgotten)
{
  Processors processors(20);
  processors.Run(10000, 40);
  processors.waiting_ = 0;
  processors.Run(130000, 7);
  cr_assert_float_eq(processors.Rate(), 20, 3, "%f", processors.Rate());
  processors.Run(400000, 7);
  cr_assert_eq(processors.Rate(), 0);
  processors.Run(410000, 40);
  cr_assert_float_eq(processors.Rate(), 20, 3, "%f", processors.Rate());
}

// Guards against a rate that ignores more urgent work, which takes a part of
// the capacity.
Test(CompletionRate, MoreUrgentWorkIsCountedWithThePriority)
{
  CompletionRate rate;
  for (std::int64_t ms = 0; ms <= 6000; ms += 100) {
    rate.SetBacklog("service", 2, true, At(ms));
    rate.OnCompleted("service", 0, 300, Millis(200), At(ms));
    rate.OnCompleted("service", 2, 500, Millis(200), At(ms));
    rate.OnCompleted("service", 3, 700, Millis(200), At(ms));
    rate.OnCompleted("other", 2, 900, Millis(200), At(ms));
  }
  const auto learned = rate.Rate("service", 2, At(6000));
  cr_assert(learned.has_value());
  cr_assert_float_eq(learned->own_, 5, 0.2, "%f", learned->own_);
  cr_assert_float_eq(
    learned->withMoreUrgent_, 8, 0.3, "%f", learned->withMoreUrgent_);
  cr_assert_not(rate.Rate("service", 0, At(6000)).has_value());
}

// Guards against memory that grows with the number of services.
Test(CompletionRate, MemoryIsBounded)
{
  CompletionRate rate;
  for (int i = 0; i < 100000; ++i) {
    rate.OnCompleted(std::to_string(i), 0, 1, Millis(1), At(0));
  }
  for (std::int64_t ms = 0; ms < 5000; ms += 100) {
    rate.SetBacklog("late", 0, true, At(ms));
    rate.OnCompleted("late", 0, 100, Millis(100), At(ms));
  }
  cr_assert_not(rate.Rate("late", 0, At(5000)).has_value());
}
