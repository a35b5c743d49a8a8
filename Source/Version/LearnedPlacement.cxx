#include "Version/LearnedPlacement.h"

#include "Version/InterferenceModel.h"
#include "Version/PlacementEngine.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cactusrail {

namespace {

/** Reported use lags behind what runs: the tasks must have been the same for
 * this long before it says anything about them. */
constexpr Millis kSettled{ 2000 };
/** One worker's reports teach this often, however often it is asked. */
constexpr Millis kLearnEvery{ 1000 };
/** A task that fits as declared is held back this long at most. */
constexpr Millis kLongestWait{ 10000 };
/** A task not asked for in this time is placed elsewhere or was stopped. */
constexpr Millis kForgetAfter{ 60000 };
constexpr const char* kUrgentWork = "urgent work";

/** Part of an error that one report corrects. */
constexpr double kStep = 0.3;
/** Keeps a program that is lost beside larger ones from standing at zero. */
constexpr double kLeastRatio = 0.01;

std::int64_t
ShareOf(std::int64_t aUsed, double aPart)
{
  return std::llround(static_cast<double>(aUsed) * aPart);
}

}

class LearnedPlacement::Private
{
public:
  explicit Private(std::uint64_t aSeed)
    : engine_(PlacementEngine::Rules{},
              usage_,
              interference_,
              interference_.Number(kUrgentWork),
              aSeed)
  {
  }

  /** The tasks that a worker last reported, and since when just these. */
  struct Watched
  {
    std::vector<std::string> taskIds_;
    Instant since_;
    Instant learnedAt_;
  };
  struct Held
  {
    Instant since_;
    Instant askedAt_;
  };
  /** Used over declared, without spread or caution. */
  struct Ratios
  {
    double cpu_ = 1;
    double memory_ = 1;
  };

  bool HasSettled(const WorkerUsage& aUsage, Instant aNow);
  void Learn(const WorkerUsage& aUsage);
  void Attribute(const std::map<std::string, Resources>& aDeclared,
                 std::int64_t Resources::*aKind,
                 double Ratios::*aRatio,
                 const Resources& aUsed);
  bool HeldTooLong(const std::string& aTaskId, Instant aNow);

  UsageEstimate usage_;
  InterferenceModel interference_{ InterferenceModel::Rules{} };
  PlacementEngine engine_;
  FirstFitPlacement firstFit_;
  std::map<std::string, Ratios> ratios_;
  std::map<std::string, Watched> watched_;
  std::map<std::string, Held> held_;
};

bool
LearnedPlacement::Private::HasSettled(const WorkerUsage& aUsage, Instant aNow)
{
  std::vector<std::string> taskIds;
  for (const TaskUsage& task : aUsage.tasks_) {
    taskIds.push_back(task.taskId_);
  }
  Watched& watched = watched_[aUsage.workerId_];
  if (watched.taskIds_ != taskIds) {
    watched = Watched{ std::move(taskIds), aNow, aNow };
    return false;
  }
  if (aNow < watched.since_ + kSettled ||
      aNow < watched.learnedAt_ + kLearnEvery) {
    return false;
  }
  watched.learnedAt_ = aNow;
  return true;
}

/** A worker states only what all its tasks take together. The difference to
 * what was expected of them is laid on each program by its size (a normalized
 * gradient step): where programs run in different company, the ratios come to
 * those of each alone. The cautious figures of the estimate can't serve here:
 * what is in doubt would get the larger part, and stay in doubt. */
void
LearnedPlacement::Private::Learn(const WorkerUsage& aUsage)
{
  std::map<std::string, Resources> declared;
  for (const TaskUsage& task : aUsage.tasks_) {
    declared[task.program_] += task.declared_;
  }
  Attribute(declared, &Resources::milliCpus_, &Ratios::cpu_, aUsage.used_);
  Attribute(declared, &Resources::memoryMb_, &Ratios::memory_, aUsage.used_);
  double cpus = 0;
  double memory = 0;
  for (const auto& [program, size] : declared) {
    cpus += ratios_[program].cpu_ * static_cast<double>(size.milliCpus_);
    memory += ratios_[program].memory_ * static_cast<double>(size.memoryMb_);
  }
  for (const auto& [program, size] : declared) {
    if (size.milliCpus_ == 0 || size.memoryMb_ == 0) {
      continue;
    }
    const Ratios& ratios = ratios_[program];
    Resources used;
    used.milliCpus_ =
      ShareOf(aUsage.used_.milliCpus_,
              static_cast<double>(size.milliCpus_) * ratios.cpu_ / cpus);
    used.memoryMb_ =
      ShareOf(aUsage.used_.memoryMb_,
              static_cast<double>(size.memoryMb_) * ratios.memory_ / memory);
    usage_.OnUsage(program, size, used);
  }
}

void
LearnedPlacement::Private::Attribute(
  const std::map<std::string, Resources>& aDeclared,
  std::int64_t Resources::*aKind,
  double Ratios::*aRatio,
  const Resources& aUsed)
{
  auto error = static_cast<double>(aUsed.*aKind);
  double squares = 0;
  for (const auto& [program, declared] : aDeclared) {
    const auto size = static_cast<double>(declared.*aKind);
    error -= ratios_[program].*aRatio * size;
    squares += size * size;
  }
  if (squares == 0) {
    return;
  }
  for (const auto& [program, declared] : aDeclared) {
    const auto size = static_cast<double>(declared.*aKind);
    double& ratio = ratios_[program].*aRatio;
    ratio = std::max(kLeastRatio, ratio + kStep * error * size / squares);
  }
}

bool
LearnedPlacement::Private::HeldTooLong(const std::string& aTaskId, Instant aNow)
{
  std::erase_if(held_, [aNow](const auto& aHeld) {
    return aHeld.second.askedAt_ + kForgetAfter < aNow;
  });
  Held& held = held_.try_emplace(aTaskId, Held{ aNow, aNow }).first->second;
  held.askedAt_ = aNow;
  return held.since_ + kLongestWait <= aNow;
}

LearnedPlacement::LearnedPlacement(std::uint64_t aSeed)
  : private_(std::make_unique<Private>(aSeed))
{
}

LearnedPlacement::~LearnedPlacement() = default;
LearnedPlacement::LearnedPlacement(LearnedPlacement&& aOther) noexcept =
  default;
LearnedPlacement&
LearnedPlacement::operator=(LearnedPlacement&& aOther) noexcept = default;

std::optional<std::size_t>
LearnedPlacement::Choose(const TaskFacts& aTask,
                         std::span<const WorkerFacts> aWorkers,
                         Instant aNow)
{
  std::optional<std::size_t> chosen =
    private_->engine_.Choose(aTask, aWorkers, aNow);
  // Where a task is expected to need more than any worker has, or a small cell
  // keeps all its workers open, the engine would refuse it for ever: the job
  // was accepted by its declared size and would just never start.
  if (!chosen.has_value() && private_->HeldTooLong(aTask.taskId_, aNow)) {
    chosen = private_->firstFit_.Choose(aTask, aWorkers, aNow);
  }
  if (chosen.has_value()) {
    private_->held_.erase(aTask.taskId_);
  }
  return chosen;
}

void
LearnedPlacement::OnUsage(const WorkerUsage& aUsage, Instant aNow)
{
  // A worker that measures nothing says nothing about its tasks.
  const bool measured =
    aUsage.used_.milliCpus_ > 0 || aUsage.used_.memoryMb_ > 0;
  if (private_->HasSettled(aUsage, aNow) && measured) {
    private_->Learn(aUsage);
  }
}

ExpectedUsage
LearnedPlacement::Expect(std::string_view aProgram,
                         const Resources& aDeclared) const
{
  return private_->usage_.Expect(aProgram, aDeclared, 0);
}

}
