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

/** Time for which a worker's tasks must be unchanged before its report is used,
 * because reported usage lags behind the running tasks. */
constexpr Millis kMinUnchangedTime{ 2000 };
/** Minimum interval between two reports of one worker that are used. */
constexpr Millis kLearnInterval{ 1000 };
/** Maximum time for which a task that fits by its declared size is deferred. */
constexpr Millis kMaxDeferral{ 10000 };
/** Time without a placement request after which a deferred task is removed: it
 * was placed elsewhere or stopped. */
constexpr Millis kDeferredExpiry{ 60000 };
constexpr const char* kUrgentWork = "urgent work";

/** Share of an error that one report corrects. */
constexpr double kGradientStep = 0.3;
/** Lower limit of a ratio, so that a program that runs next to much larger ones
 * is not estimated as zero. */
constexpr double kMinRatio = 0.01;

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

  /** Tasks in a worker's latest report, and the time since which they are the
   * same. */
  struct ReportedTasks
  {
    std::vector<std::string> taskIds_;
    Instant since_;
    Instant learnedAt_;
  };
  /** A deferred task. */
  struct DeferredTask
  {
    Instant since_;
    Instant requestedAt_;
  };
  /** Ratios of used to declared resources, without variance or prior. */
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
  bool IsDeferralOver(const std::string& aTaskId, Instant aNow);

  UsageEstimate usage_;
  InterferenceModel interference_{ InterferenceModel::Rules{} };
  PlacementEngine engine_;
  FirstFitPlacement firstFit_;
  std::map<std::string, Ratios> ratios_;
  std::map<std::string, ReportedTasks> reportedTasks_;
  std::map<std::string, DeferredTask> deferred_;
};

bool
LearnedPlacement::Private::HasSettled(const WorkerUsage& aUsage, Instant aNow)
{
  std::vector<std::string> taskIds;
  for (const TaskUsage& task : aUsage.tasks_) {
    taskIds.push_back(task.taskId_);
  }
  ReportedTasks& reported = reportedTasks_[aUsage.workerId_];
  if (reported.taskIds_ != taskIds) {
    reported = ReportedTasks{ std::move(taskIds), aNow, aNow };
    return false;
  }
  if (aNow < reported.since_ + kMinUnchangedTime ||
      aNow < reported.learnedAt_ + kLearnInterval) {
    return false;
  }
  reported.learnedAt_ = aNow;
  return true;
}

/** A worker reports only the total usage of its tasks. The difference to the
 * expected total is distributed over the programs in proportion to their
 * declared sizes (a normalized gradient step). If programs run in different
 * combinations, the ratios converge to those of each program alone. The
 * conservative values of UsageEstimate are unsuitable here: an uncertain
 * program would be assigned a larger part and stay uncertain. */
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
    ratio = std::max(kMinRatio, ratio + kGradientStep * error * size / squares);
  }
}

bool
LearnedPlacement::Private::IsDeferralOver(const std::string& aTaskId,
                                          Instant aNow)
{
  std::erase_if(deferred_, [aNow](const auto& aEntry) {
    return aEntry.second.requestedAt_ + kDeferredExpiry < aNow;
  });
  DeferredTask& held =
    deferred_.try_emplace(aTaskId, DeferredTask{ aNow, aNow }).first->second;
  held.requestedAt_ = aNow;
  return held.since_ + kMaxDeferral <= aNow;
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
  // If the expected usage of a task exceeds the capacity of every worker, or
  // all workers of a small cell are kept open, the engine never places the
  // task. The job was accepted by its declared size and would never start.
  if (!chosen.has_value() && private_->IsDeferralOver(aTask.taskId_, aNow)) {
    chosen = private_->firstFit_.Choose(aTask, aWorkers, aNow);
  }
  if (chosen.has_value()) {
    private_->deferred_.erase(aTask.taskId_);
  }
  return chosen;
}

void
LearnedPlacement::OnUsage(const WorkerUsage& aUsage, Instant aNow)
{
  // A worker that does not measure usage reports zero, which is not evidence
  // about its tasks.
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
