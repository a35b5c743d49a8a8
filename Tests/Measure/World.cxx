#include "World.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <queue>

namespace cactusrail::measure {

namespace {

constexpr double kTick = 0.1;
constexpr double kHeartbeatEvery = 0.5;
constexpr double kReportEvery = 1.0;
constexpr std::size_t kQueueLimit = 8;
constexpr std::size_t kDataCentres = 4;
constexpr double kCrossing = 0.001;
constexpr double kRequestTimeout = 2.0;
constexpr std::size_t kAttempts = 3;
constexpr double kHeartbeatTimeoutSeconds = 2.0;
constexpr std::size_t kTenants = 4;
constexpr std::size_t kWaitingPerTenant = 8;
constexpr double kUrgentTaskEvery = 5.0;
constexpr double kUrgentTaskSeconds = 8.0;
constexpr double kLaunchSeconds = 0.3;
constexpr std::size_t kTriesOfTask = 4;
/** Faults in every session: worker, start and end in seconds. */
constexpr std::size_t kCrashed = 6;
constexpr double kCrashFrom = 90;
constexpr double kCrashTo = 115;
constexpr std::size_t kFaulty = 3;
constexpr double kFaultyFrom = 50;
constexpr double kFaultyTo = 80;
constexpr std::size_t kSlow = 8;
constexpr double kSlowFrom = 130;
constexpr double kSlowTo = 145;
constexpr double kSlowFactor = 4;

enum class EventKind : std::uint8_t
{
  Request,
  AtRunner,
  Served,
  AtEntry,
  Heartbeat,
  HeartbeatAt,
  Report,
  ReportAt,
  Tick,
};

struct Event
{
  double at_ = 0;
  std::uint64_t order_ = 0;
  EventKind kind_ = EventKind::Tick;
  std::size_t subject_ = 0;
  std::size_t entry_ = 0;
  RunnerReport report_;

  bool operator<(const Event& aOther) const
  {
    return at_ != aOther.at_ ? at_ > aOther.at_ : order_ > aOther.order_;
  }
};

struct Request
{
  double arrivedAt_ = 0;
  double sentAt_ = 0;
  double base_ = 0;
  std::size_t entry_ = 0;
  std::size_t runner_ = 0;
  std::uint64_t incarnation_ = 0;
  bool refused_ = false;
  std::vector<Router::Runner> tried_;
};

struct Task
{
  TaskFacts facts_;
  std::size_t program_ = 0;
  std::size_t tenant_ = 0;
  bool urgent_ = false;
  double left_ = 0;
  double leftAtCheckpoint_ = 0;
  double throttle_ = 1;
  double arrivedAt_ = 0;
  double startedAt_ = 0;
  double startsAt_ = 0;
  /** Time at which the current move ends, or 0 if none is in flight. */
  double moveEndsAt_ = 0;
  std::size_t tries_ = 0;
};

struct Host
{
  bool up_ = true;
  std::uint64_t incarnation_ = 0;
  std::size_t busy_ = 0;
  std::deque<std::size_t> queue_;
  std::vector<Task> tasks_;
  double urgentSlowdown_ = 0;
  double contention_ = 1;
  /** Counters of the second that the next report covers. */
  double latencySum_ = 0;
  double served_ = 0;
  double busySum_ = 0;
  /** Latest report that arrived. */
  WorkerReport known_;
  std::vector<double> lastHeartbeatAt_;
};

Instant
At(double aSeconds)
{
  return Instant(Micros(std::llround(aSeconds * 1e6)));
}

}

class World::Private : public WorldState
{
public:
  Private(const Deployment& aDeployment, const SessionOptions& aOptions);

  double ExpectedMicros(std::size_t aEntry, std::size_t aRunner) override;
  bool IsUp(std::size_t aRunner) override { return hosts_[aRunner].up_; }
  double Slowdown(std::size_t aWorker) override;
  double Load(std::size_t aWorker) override;
  double UrgentSlowdown(const std::string& aProgram) override;

  void Push(double aAt,
            EventKind aKind,
            std::size_t aSubject,
            std::size_t aEntry = 0,
            const RunnerReport& aReport = {});
  void Handle(const Event& aEvent, Policy& aPolicy);
  void OnRequest(Policy& aPolicy);
  void Send(std::size_t aRequest, Policy& aPolicy);
  void OnAtRunner(std::size_t aRequest);
  void Serve(std::size_t aRequest);
  void OnServed(std::size_t aRequest);
  void OnAtEntry(std::size_t aRequest, Policy& aPolicy);
  void OnHeartbeat(std::size_t aRunner);
  void OnReport(std::size_t aHost);
  void OnTick(Policy& aPolicy);
  void ChangeFaults(Policy& aPolicy);
  void Advance(std::size_t aHost, Policy& aPolicy);
  void RefreshHost(Host& aHost);
  void FillQueues();
  void PlaceWaiting(Policy& aPolicy);
  bool TryPlace(Task& aTask, Policy& aPolicy);
  void React(Policy& aPolicy);
  void Apply(std::span<const ReactionStep> aSteps, Policy& aPolicy);
  void Requeue(Task aTask, bool aKeepsProgress);
  std::vector<WorkerFacts> Facts() const;
  std::vector<WorkerPressure> Pressed(
    std::vector<std::vector<RunningTask>>& aTasks) const;
  Resources Reserved(const Host& aHost) const;
  double Crossing(std::size_t aEntry, std::size_t aRunner) const;
  bool Measured() const { return now_ >= options_.warmUpSeconds_; }

  Deployment deployment_;
  SessionOptions options_;
  Scenario scenario_;
  Random requestRandom_;
  Random delayRandom_;
  Random taskRandom_;
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
  double now_ = 0;
  std::vector<Host> hosts_;
  std::vector<Request> requests_;
  std::vector<std::size_t> freeRequests_;
  std::vector<std::deque<Task>> waiting_;
  std::deque<Task> urgentWaiting_;
  std::vector<double> held_;
  std::vector<WorkerReport> inTransit_;
  std::size_t nextTask_ = 0;
  double nextUrgentTask_ = 0;
  std::vector<double> latencies_;
  std::vector<double> starts_;
  std::uint64_t refused_ = 0;
  Outcome outcome_;
};

World::Private::Private(const Deployment& aDeployment,
                        const SessionOptions& aOptions)
  : deployment_(aDeployment)
  , options_(aOptions)
  , scenario_(MakeScenario(aDeployment, aOptions.seed_))
  , requestRandom_(aOptions.seed_ * 3 + 1)
  , delayRandom_(aOptions.seed_ * 5 + 2)
  , taskRandom_(aOptions.seed_ * 7 + 3)
  , hosts_(aDeployment.workers_)
  , waiting_(kTenants)
  , held_(kTenants, 0)
{
  for (Host& host : hosts_) {
    host.lastHeartbeatAt_.assign(deployment_.entries_, 0);
  }
}

void
World::Private::Push(double aAt,
                     EventKind aKind,
                     std::size_t aSubject,
                     std::size_t aEntry,
                     const RunnerReport& aReport)
{
  events_.push(Event{ aAt, ++order_, aKind, aSubject, aEntry, aReport });
}

double
World::Private::Crossing(std::size_t aEntry, std::size_t aRunner) const
{
  return aEntry % kDataCentres == aRunner % kDataCentres ? 0.0002 : kCrossing;
}

double
World::Private::Load(std::size_t aWorker)
{
  return static_cast<double>(hosts_[aWorker].busy_) / deployment_.slots_;
}

double
World::Private::Slowdown(std::size_t aWorker)
{
  const Host& host = hosts_[aWorker];
  const bool slow = aWorker == kSlow && now_ >= kSlowFrom && now_ < kSlowTo;
  return host.contention_ *
         (1 + host.urgentSlowdown_ * LoadShape(Load(aWorker))) *
         (slow ? kSlowFactor : 1) / scenario_.hostSpeed_[aWorker];
}

double
World::Private::ExpectedMicros(std::size_t aEntry, std::size_t aRunner)
{
  const Host& host = hosts_[aRunner];
  const double ahead = static_cast<double>(host.busy_ + host.queue_.size()) +
                       1 - deployment_.slots_;
  const double wait = std::max(0.0, ahead) / deployment_.slots_;
  return deployment_.serviceMs_ * 1000 * Slowdown(aRunner) * (1 + wait) +
         2e6 * Crossing(aEntry, aRunner);
}

double
World::Private::UrgentSlowdown(const std::string& aProgram)
{
  for (const HiddenProgram& program : scenario_.programs_) {
    if (program.name_ == aProgram) {
      return program.urgentSlowdown_ * WaveAt(program, now_);
    }
  }
  return 0;
}

void
World::Private::OnRequest(Policy& aPolicy)
{
  const double rate = RequestRate(deployment_, now_);
  Push(now_ + std::exponential_distribution<double>(rate)(requestRandom_),
       EventKind::Request,
       0);
  std::size_t index = requests_.size();
  if (freeRequests_.empty()) {
    requests_.emplace_back();
  } else {
    index = freeRequests_.back();
    freeRequests_.pop_back();
  }
  Request& request = requests_[index];
  request.arrivedAt_ = now_;
  request.base_ =
    std::lognormal_distribution<double>(-0.125, 0.5)(requestRandom_) *
    deployment_.serviceMs_ / 1000;
  request.entry_ = requestRandom_() % deployment_.entries_;
  request.tried_.clear();
  aPolicy.OnRequest(request.entry_, At(now_));
  Send(index, aPolicy);
}

void
World::Private::Send(std::size_t aRequest, Policy& aPolicy)
{
  Request& request = requests_[aRequest];
  const std::optional<std::size_t> runner =
    aPolicy.Route(request.entry_, request.tried_, At(now_));
  if (!runner.has_value()) {
    refused_ += Measured() ? 1 : 0;
    freeRequests_.push_back(aRequest);
    return;
  }
  request.runner_ = *runner;
  request.sentAt_ = now_;
  request.refused_ = false;
  request.tried_.push_back(static_cast<Router::Runner>(*runner));
  aPolicy.OnSent(request.entry_, *runner, At(now_));
  Push(now_ + Crossing(request.entry_, *runner), EventKind::AtRunner, aRequest);
}

void
World::Private::OnAtRunner(std::size_t aRequest)
{
  Request& request = requests_[aRequest];
  Host& host = hosts_[request.runner_];
  if (host.up_ && host.busy_ < deployment_.slots_) {
    Serve(aRequest);
    return;
  }
  if (host.up_ && host.queue_.size() < kQueueLimit) {
    host.queue_.push_back(aRequest);
    return;
  }
  request.refused_ = true;
  Push(now_ + Crossing(request.entry_, request.runner_),
       EventKind::AtEntry,
       aRequest);
}

void
World::Private::Serve(std::size_t aRequest)
{
  Request& request = requests_[aRequest];
  Host& host = hosts_[request.runner_];
  ++host.busy_;
  request.incarnation_ = host.incarnation_;
  const double took = request.base_ * Slowdown(request.runner_);
  host.latencySum_ += took;
  ++host.served_;
  Push(now_ + took, EventKind::Served, aRequest);
}

void
World::Private::OnServed(std::size_t aRequest)
{
  Request& request = requests_[aRequest];
  Host& host = hosts_[request.runner_];
  if (request.incarnation_ != host.incarnation_) {
    request.refused_ = true;
  } else {
    --host.busy_;
    if (!host.queue_.empty()) {
      const std::size_t next = host.queue_.front();
      host.queue_.pop_front();
      Serve(next);
    }
  }
  Push(now_ + Crossing(request.entry_, request.runner_),
       EventKind::AtEntry,
       aRequest);
}

void
World::Private::OnAtEntry(std::size_t aRequest, Policy& aPolicy)
{
  Request& request = requests_[aRequest];
  const Micros latency(std::llround((now_ - request.sentAt_) * 1e6));
  if (!request.refused_) {
    aPolicy.OnAnswer(request.entry_, request.runner_, latency, At(now_));
    const double total = now_ - request.arrivedAt_;
    if (Measured()) {
      refused_ += total > kRequestTimeout ? 1 : 0;
      latencies_.push_back(total * 1000);
    }
    freeRequests_.push_back(aRequest);
    return;
  }
  aPolicy.OnRefused(request.entry_, request.runner_, At(now_));
  const bool again = request.tried_.size() < kAttempts &&
                     now_ - request.arrivedAt_ < kRequestTimeout &&
                     aPolicy.MayRetry(request.entry_, At(now_));
  if (again) {
    Send(aRequest, aPolicy);
    return;
  }
  refused_ += Measured() ? 1 : 0;
  freeRequests_.push_back(aRequest);
}

void
World::Private::OnHeartbeat(std::size_t aRunner)
{
  Push(now_ + kHeartbeatEvery, EventKind::Heartbeat, aRunner);
  const Host& host = hosts_[aRunner];
  if (!host.up_) {
    return;
  }
  RunnerReport report;
  report.slots_ = deployment_.slots_;
  report.busy_ = static_cast<std::uint32_t>(host.busy_);
  report.queued_ = static_cast<std::uint32_t>(host.queue_.size());
  for (std::size_t entry = 0; entry < deployment_.entries_; ++entry) {
    const double delay =
      std::uniform_real_distribution<double>(0.3, 1.3)(delayRandom_);
    report.measuredAt_ = At(now_);
    Push(now_ + delay, EventKind::HeartbeatAt, aRunner, entry, report);
  }
}

void
World::Private::OnReport(std::size_t aHost)
{
  Push(now_ + kReportEvery, EventKind::Report, aHost);
  Host& host = hosts_[aHost];
  WorkerReport report;
  report.worker_ = aHost;
  report.measuredAt_ = At(now_);
  report.samples_ = host.served_;
  report.latencyMicros_ =
    host.served_ > 0 ? host.latencySum_ / host.served_ * 1e6 : 0;
  report.load_ = host.busySum_ * kTick / kReportEvery / deployment_.slots_;
  host.latencySum_ = host.served_ = host.busySum_ = 0;
  for (const Task& task : host.tasks_) {
    TaskReport part{ task.facts_.taskId_,
                     task.facts_.program_,
                     task.facts_.declared_,
                     task.facts_.declared_ };
    if (!task.urgent_) {
      const HiddenProgram& program = scenario_.programs_[task.program_];
      part.used_.milliCpus_ = std::llround(
        static_cast<double>(part.used_.milliCpus_) * program.cpuFactor_);
      part.used_.memoryMb_ = std::llround(
        static_cast<double>(part.used_.memoryMb_) * program.memoryFactor_);
    }
    report.tasks_.push_back(std::move(part));
  }
  if (host.up_) {
    const double delay =
      std::uniform_real_distribution<double>(0.5, 2)(delayRandom_);
    inTransit_.push_back(std::move(report));
    Push(now_ + delay, EventKind::ReportAt, inTransit_.size() - 1);
  }
}

void
World::Private::RefreshHost(Host& aHost)
{
  double cores = static_cast<double>(aHost.busy_) / deployment_.slots_ *
                 static_cast<double>(deployment_.runnerReserve_.milliCpus_) /
                 1000;
  aHost.urgentSlowdown_ = 0;
  for (const Task& task : aHost.tasks_) {
    const double declared =
      static_cast<double>(task.facts_.declared_.milliCpus_) / 1000;
    if (task.urgent_ || task.startsAt_ > now_) {
      cores += task.urgent_ ? declared : 0;
      continue;
    }
    const HiddenProgram& program = scenario_.programs_[task.program_];
    cores += declared * program.cpuFactor_ * task.throttle_;
    aHost.urgentSlowdown_ +=
      program.urgentSlowdown_ * WaveAt(program, now_) * task.throttle_;
  }
  const double capacity =
    static_cast<double>(deployment_.capacity_.milliCpus_) / 1000;
  aHost.contention_ = std::max(1.0, cores / capacity);
}

void
World::Private::Requeue(Task aTask, bool aKeepsProgress)
{
  if (!aKeepsProgress) {
    if (Measured()) {
      const HiddenProgram& program = scenario_.programs_[aTask.program_];
      const double cores =
        static_cast<double>(aTask.facts_.declared_.milliCpus_) / 1000 *
        program.cpuFactor_;
      outcome_.batchWork_ -= cores * (aTask.leftAtCheckpoint_ - aTask.left_);
    }
    aTask.left_ = aTask.leftAtCheckpoint_;
  }
  aTask.leftAtCheckpoint_ = aTask.left_;
  aTask.throttle_ = 1;
  aTask.moveEndsAt_ = 0;
  waiting_[aTask.tenant_].push_front(std::move(aTask));
}

void
World::Private::Advance(std::size_t aHost, Policy& aPolicy)
{
  Host& host = hosts_[aHost];
  const double load = Load(aHost);
  host.busySum_ += static_cast<double>(host.busy_);
  const bool bad = aHost == kFaulty && now_ >= kFaultyFrom && now_ < kFaultyTo;
  double memory = 0;
  std::vector<Task> kept;
  for (std::size_t index = 0; index < host.tasks_.size(); ++index) {
    Task& task = host.tasks_[index];
    if (task.startsAt_ > now_) {
      kept.push_back(task);
      continue;
    }
    if (task.urgent_) {
      task.left_ -= kTick;
      if (task.left_ > 0) {
        kept.push_back(task);
      }
      continue;
    }
    const HiddenProgram& program = scenario_.programs_[task.program_];
    if ((bad && task.startedAt_ >= kFaultyFrom) ||
        (program.impossible_ && now_ - task.startsAt_ > 1)) {
      outcome_.wastedStarts_ += Measured() ? 1 : 0;
      aPolicy.OnTaskEnd(aHost, task.facts_, TaskEnd::Failed, At(now_));
      ++task.tries_;
      if (task.tries_ < kTriesOfTask) {
        Requeue(task, false);
      }
      continue;
    }
    double drag = 1 + program.slowdownByRunner_ * load;
    for (const Task& other : host.tasks_) {
      if (!other.urgent_ && &other != &task) {
        drag +=
          scenario_.pairs_[task.program_][other.program_] * other.throttle_;
      }
    }
    const double step = kTick * task.throttle_ / drag / host.contention_;
    const double cores = static_cast<double>(task.facts_.declared_.milliCpus_) /
                         1000 * program.cpuFactor_;
    memory += static_cast<double>(task.facts_.declared_.memoryMb_) *
              program.memoryFactor_;
    outcome_.batchWork_ += Measured() ? cores * std::min(step, task.left_) : 0;
    task.left_ -= step;
    if (task.left_ <= 0) {
      aPolicy.OnTaskEnd(aHost, task.facts_, TaskEnd::Finished, At(now_));
      continue;
    }
    if (task.moveEndsAt_ > 0 && task.moveEndsAt_ <= now_) {
      outcome_.moves_ += Measured() ? 1 : 0;
      aPolicy.OnTaskEnd(aHost, task.facts_, TaskEnd::Stopped, At(now_));
      Requeue(task, true);
      continue;
    }
    kept.push_back(task);
  }
  // The host itself kills the newest task when memory runs out. Each such kill
  // counts as an eviction, regardless of the policy that placed the task.
  const double room = static_cast<double>(deployment_.capacity_.memoryMb_ -
                                          deployment_.runnerReserve_.memoryMb_);
  if (memory > room && !kept.empty() && !kept.back().urgent_) {
    outcome_.evictions_ += Measured() ? 1 : 0;
    outcome_.payoutEvictions_ +=
      Measured() && scenario_.programs_[kept.back().program_].payout_ ? 1 : 0;
    aPolicy.OnTaskEnd(aHost, kept.back().facts_, TaskEnd::Stopped, At(now_));
    Requeue(kept.back(), false);
    kept.pop_back();
  }
  host.tasks_ = std::move(kept);
  RefreshHost(host);
}

void
World::Private::ChangeFaults(Policy& aPolicy)
{
  Host& host = hosts_[kCrashed];
  const bool up = now_ < kCrashFrom || now_ >= kCrashTo;
  if (host.up_ && !up) {
    ++host.incarnation_;
    host.busy_ = 0;
    for (const std::size_t request : host.queue_) {
      requests_[request].refused_ = true;
      Push(now_, EventKind::AtEntry, request);
    }
    host.queue_.clear();
    for (Task& task : host.tasks_) {
      aPolicy.OnTaskEnd(kCrashed, task.facts_, TaskEnd::Stopped, At(now_));
      if (task.urgent_) {
        urgentWaiting_.push_back(task);
      } else {
        Requeue(task, false);
      }
    }
    host.tasks_.clear();
    RefreshHost(host);
  }
  host.up_ = up;
  for (std::size_t runner = 0; runner < hosts_.size(); ++runner) {
    for (std::size_t entry = 0; entry < deployment_.entries_; ++entry) {
      double& lastHeartbeatAt = hosts_[runner].lastHeartbeatAt_[entry];
      if (lastHeartbeatAt > 0 &&
          now_ - lastHeartbeatAt > kHeartbeatTimeoutSeconds) {
        lastHeartbeatAt = 0;
        aPolicy.OnHeartbeatTimeout(entry, runner);
      }
    }
  }
}

void
World::Private::FillQueues()
{
  for (std::size_t tenant = 0; options_.batch_ && tenant < kTenants; ++tenant) {
    while (waiting_[tenant].size() < kWaitingPerTenant) {
      Task task;
      task.tenant_ = tenant;
      task.program_ = taskRandom_() % scenario_.programs_.size();
      const HiddenProgram& program = scenario_.programs_[task.program_];
      task.facts_.taskId_ = "task" + std::to_string(nextTask_++);
      task.facts_.tenant_ = "tenant" + std::to_string(tenant);
      task.facts_.program_ = program.name_;
      task.facts_.declared_ = program.declared_;
      task.left_ = task.leftAtCheckpoint_ = program.runSeconds_;
      waiting_[tenant].push_back(std::move(task));
    }
  }
  if (!options_.urgent_ || now_ < nextUrgentTask_) {
    return;
  }
  nextUrgentTask_ = now_ + kUrgentTaskEvery;
  Task task;
  task.urgent_ = true;
  task.facts_.taskId_ = "urgent" + std::to_string(nextTask_++);
  task.facts_.program_ = "urgent";
  task.facts_.kind_ = WorkKind::Service;
  task.facts_.declared_.milliCpus_ =
    std::llround(deployment_.taskCores_ * 1000);
  task.facts_.declared_.memoryMb_ = deployment_.capacity_.memoryMb_ / 30;
  task.left_ = kUrgentTaskSeconds;
  task.arrivedAt_ = now_;
  urgentWaiting_.push_back(std::move(task));
}

Resources
World::Private::Reserved(const Host& aHost) const
{
  Resources sum = deployment_.runnerReserve_;
  for (const Task& task : aHost.tasks_) {
    sum += task.facts_.declared_;
  }
  return sum;
}

std::vector<WorkerFacts>
World::Private::Facts() const
{
  std::vector<WorkerFacts> facts;
  for (std::size_t index = 0; index < hosts_.size(); ++index) {
    const Host& host = hosts_[index];
    WorkerFacts worker;
    worker.workerId_ = "worker" + std::to_string(index);
    worker.dataCentre_ = "dc" + std::to_string(index % kDataCentres);
    worker.rack_ = "rack" + std::to_string(index / 3);
    worker.capacity_ = deployment_.capacity_;
    worker.reserved_ = Reserved(host);
    worker.reportedAt_ = host.known_.measuredAt_;
    worker.urgentLoad_ = host.known_.load_;
    worker.used_ = deployment_.runnerReserve_;
    for (const TaskReport& task : host.known_.tasks_) {
      worker.used_ += task.used_;
    }
    worker.cordoned_ = !host.up_;
    for (const Task& task : host.tasks_) {
      worker.programs_.push_back(task.facts_.program_);
      worker.urgentTasks_ += task.urgent_ ? 1 : 0;
    }
    facts.push_back(std::move(worker));
  }
  return facts;
}

bool
World::Private::TryPlace(Task& aTask, Policy& aPolicy)
{
  const std::vector<WorkerFacts> facts = Facts();
  const std::optional<std::size_t> worker =
    aPolicy.Place(aTask.facts_, facts, At(now_));
  if (!worker.has_value()) {
    return false;
  }
  const WorkerFacts& chosen = facts[*worker];
  const bool fits =
    aTask.facts_.declared_.FitsIn(chosen.capacity_, chosen.reserved_);
  outcome_.overCommits_ += fits ? 0 : 1;
  aTask.startedAt_ = now_;
  aTask.startsAt_ = now_ + kLaunchSeconds;
  hosts_[*worker].tasks_.push_back(aTask);
  if (aTask.urgent_ && Measured()) {
    starts_.push_back(aTask.startsAt_ - aTask.arrivedAt_);
  }
  return true;
}

void
World::Private::PlaceWaiting(Policy& aPolicy)
{
  while (!urgentWaiting_.empty()) {
    if (!TryPlace(urgentWaiting_.front(), aPolicy)) {
      std::vector<std::vector<RunningTask>> tasks;
      const std::vector<WorkerPressure> pressed = Pressed(tasks);
      Apply(aPolicy.FreeCapacity(
              urgentWaiting_.front().facts_.declared_, pressed, At(now_)),
            aPolicy);
      return;
    }
    urgentWaiting_.pop_front();
  }
  for (std::size_t tenant = 0; tenant < kTenants; ++tenant) {
    std::deque<Task>& queue = waiting_[tenant];
    for (std::size_t index = 0; index < queue.size();) {
      if (aPolicy.IsParked(queue[index].facts_.program_) ||
          TryPlace(queue[index], aPolicy)) {
        queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(index));
      } else {
        ++index;
      }
    }
  }
}

std::vector<WorkerPressure>
World::Private::Pressed(std::vector<std::vector<RunningTask>>& aTasks) const
{
  std::vector<WorkerPressure> pressed(hosts_.size());
  aTasks.resize(hosts_.size());
  for (std::size_t index = 0; index < hosts_.size(); ++index) {
    const Host& host = hosts_[index];
    for (const Task& task : host.tasks_) {
      RunningTask running;
      running.taskId_ = task.facts_.taskId_;
      running.program_ = task.facts_.program_;
      running.declared_ = task.facts_.declared_;
      running.throttle_ = task.throttle_;
      running.urgent_ = task.urgent_;
      running.leaving_ = task.moveEndsAt_ > 0;
      running.startedAt_ = At(task.startedAt_);
      if (!task.urgent_) {
        const HiddenProgram& program = scenario_.programs_[task.program_];
        running.payout_ = program.payout_;
        running.canCheckpoint_ = program.checkpointSeconds_ > 0;
        running.checkpointed_ = task.left_ == task.leftAtCheckpoint_;
      }
      aTasks[index].push_back(std::move(running));
    }
    WorkerPressure& worker = pressed[index];
    worker.workerId_ = "worker" + std::to_string(index);
    worker.capacity_ = deployment_.capacity_;
    worker.reserved_ = Reserved(host);
    worker.urgentLoad_ = host.known_.load_;
    worker.latencyMicros_ = host.known_.latencyMicros_;
    worker.samples_ = host.known_.samples_;
    worker.measuredAt_ = host.known_.measuredAt_;
    worker.cordoned_ = !host.up_;
    worker.tasks_ = aTasks[index];
  }
  return pressed;
}

void
World::Private::React(Policy& aPolicy)
{
  std::vector<std::vector<RunningTask>> tasks;
  const std::vector<WorkerPressure> pressed = Pressed(tasks);
  Apply(aPolicy.React(pressed, At(now_)), aPolicy);
}

void
World::Private::Apply(std::span<const ReactionStep> aSteps, Policy& aPolicy)
{
  std::vector<std::pair<std::size_t, std::size_t>> evicted;
  for (const ReactionStep& step : aSteps) {
    Host& host = hosts_[step.worker_];
    Task& task = host.tasks_[step.task_];
    const HiddenProgram& program = scenario_.programs_[task.program_];
    if (task.urgent_ || task.moveEndsAt_ > 0) {
      continue;
    }
    if (step.kind_ == ReactionKind::Evict) {
      evicted.emplace_back(step.worker_, step.task_);
    } else if (step.kind_ != ReactionKind::Move) {
      task.throttle_ = step.throttle_;
    } else if (program.checkpointSeconds_ > 0) {
      task.moveEndsAt_ = now_ + program.checkpointSeconds_;
    }
  }
  std::sort(evicted.begin(), evicted.end());
  for (std::size_t last = evicted.size(); last > 0; --last) {
    const auto& [worker, index] = evicted[last - 1];
    Host& host = hosts_[worker];
    const Task task = host.tasks_[index];
    host.tasks_.erase(host.tasks_.begin() + static_cast<std::ptrdiff_t>(index));
    const bool payout = scenario_.programs_[task.program_].payout_ &&
                        task.left_ != task.leftAtCheckpoint_;
    outcome_.evictions_ += Measured() ? 1 : 0;
    outcome_.payoutEvictions_ += Measured() && payout ? 1 : 0;
    aPolicy.OnTaskEnd(worker, task.facts_, TaskEnd::Stopped, At(now_));
    Requeue(task, false);
  }
}

void
World::Private::OnTick(Policy& aPolicy)
{
  Push(now_ + kTick, EventKind::Tick, 0);
  ChangeFaults(aPolicy);
  for (std::size_t host = 0; host < hosts_.size(); ++host) {
    Advance(host, aPolicy);
  }
  FillQueues();
  PlaceWaiting(aPolicy);
  React(aPolicy);
}

void
World::Private::Handle(const Event& aEvent, Policy& aPolicy)
{
  switch (aEvent.kind_) {
    case EventKind::Request:
      return OnRequest(aPolicy);
    case EventKind::AtRunner:
      return OnAtRunner(aEvent.subject_);
    case EventKind::Served:
      return OnServed(aEvent.subject_);
    case EventKind::AtEntry:
      return OnAtEntry(aEvent.subject_, aPolicy);
    case EventKind::Heartbeat:
      return OnHeartbeat(aEvent.subject_);
    case EventKind::HeartbeatAt:
      hosts_[aEvent.subject_].lastHeartbeatAt_[aEvent.entry_] = now_;
      return aPolicy.OnHeartbeat(
        aEvent.entry_, aEvent.subject_, aEvent.report_, At(now_));
    case EventKind::Report:
      return OnReport(aEvent.subject_);
    case EventKind::ReportAt: {
      const WorkerReport& report = inTransit_[aEvent.subject_];
      Host& host = hosts_[report.worker_];
      if (report.measuredAt_ > host.known_.measuredAt_) {
        host.known_ = report;
      }
      return aPolicy.OnReport(report, At(now_));
    }
    case EventKind::Tick:
      return OnTick(aPolicy);
  }
}

World::World(const Deployment& aDeployment, const SessionOptions& aOptions)
  : private_(std::make_unique<Private>(aDeployment, aOptions))
{
}

World::~World() = default;

WorldState&
World::HiddenState()
{
  return *private_;
}

const Scenario&
World::HiddenScenario() const
{
  return private_->scenario_;
}

namespace {

double
Quantile(std::vector<double>& aValues, double aPart)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto place =
    static_cast<std::size_t>(aPart * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(),
                   aValues.begin() + static_cast<std::ptrdiff_t>(place),
                   aValues.end());
  return aValues[place];
}

}

Outcome
World::Run(Policy& aPolicy)
{
  Private& self = *private_;
  for (std::size_t host = 0; host < self.hosts_.size(); ++host) {
    const double phase = static_cast<double>(host) / 20;
    self.Push(phase, EventKind::Heartbeat, host);
    self.Push(phase + kReportEvery, EventKind::Report, host);
  }
  self.Push(0, EventKind::Tick, 0);
  if (self.options_.urgent_) {
    self.Push(2, EventKind::Request, 0);
  }
  while (!self.events_.empty() &&
         self.events_.top().at_ < self.options_.seconds_) {
    const Event event = self.events_.top();
    self.events_.pop();
    self.now_ = event.at_;
    self.Handle(event, aPolicy);
  }
  Outcome& outcome = self.outcome_;
  outcome.answered_ = self.latencies_.size();
  outcome.p50_ = Quantile(self.latencies_, 0.5);
  outcome.p99_ = Quantile(self.latencies_, 0.99);
  outcome.p999_ = Quantile(self.latencies_, 0.999);
  outcome.start99_ = Quantile(self.starts_, 0.99);
  const double offered =
    static_cast<double>(self.refused_) + static_cast<double>(outcome.answered_);
  outcome.refusals_ =
    offered > 0 ? 1e4 * static_cast<double>(self.refused_) / offered : 0;
  return outcome;
}

}
