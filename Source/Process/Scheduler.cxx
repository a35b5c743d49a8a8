#include "Process/Scheduler.h"

#include "Connection/HttpCaller.h"
#include "Connection/TableClient.h"
#include "Process/Journal.h"
#include "Process/Log.h"
#include "Version/JsonText.h"

#include <QTimer>

#include <utility>
#include <vector>

namespace cactusrail {

namespace {

constexpr Millis kTickInterval{ 100 };

Result<WorkerReport>
ReadReport(const Result<HttpReply>& aReply)
{
  if (const auto* failure = std::get_if<Failure>(&aReply)) {
    return *failure;
  }
  return FromJson<WorkerReport>(std::get<HttpReply>(aReply).body_);
}

}

class Scheduler::Private : public QObject
{
public:
  Private(EntryIdentity aSelf,
          TableClient& aTable,
          ConfigurationHolder& aConfiguration,
          Journal& aJournal,
          std::unique_ptr<PlacementChooser> aChooser)
    : table_(aTable)
    , configuration_(aConfiguration)
    , journal_(aJournal)
    , core_(std::move(aSelf), timings_, std::move(aChooser))
  {
  }

  void Tick();
  void ApplyQuotas();
  void Perform();
  void Do(const ReadRowsAction& aAction);
  void Do(const TransactAction& aAction);
  void Do(const CallWorkerAction& aAction);
  void Do(const AddStepAction& aAction);
  void LogCells();

  TableClient& table_;
  ConfigurationHolder& configuration_;
  Journal& journal_;
  WorkTimings timings_;
  SchedulerCore core_;
  HttpCaller workers_;
  QTimer tick_;
  std::uint64_t quotaVersion_ = 0;
  std::size_t ownedCells_ = 0;
};

void
Scheduler::Private::ApplyQuotas()
{
  const auto configuration = configuration_.Current();
  if (configuration->version_ == quotaVersion_) {
    return;
  }
  quotaVersion_ = configuration->version_;
  std::map<std::string, std::int64_t> quotas;
  for (const TenantConfig& tenant : configuration->tenants_) {
    if (tenant.quotaMilliCpus_ > 0) {
      quotas[tenant.name_] = static_cast<std::int64_t>(tenant.quotaMilliCpus_);
    }
  }
  core_.SetQuotas(std::move(quotas));
}

void
Scheduler::Private::Tick()
{
  ApplyQuotas();
  core_.Tick(ReadMonotonicClock());
  Perform();
  LogCells();
}

void
Scheduler::Private::LogCells()
{
  const std::size_t owned = core_.OwnedCells().size();
  if (owned != ownedCells_) {
    ownedCells_ = owned;
    LogChange("cells", { { "owned", std::to_string(owned) } });
  }
}

void
Scheduler::Private::Perform()
{
  for (const SchedulerAction& action : core_.TakeActions()) {
    std::visit([this](const auto& aOne) { Do(aOne); }, action);
  }
}

void
Scheduler::Private::Do(const ReadRowsAction& aAction)
{
  table_.Read(aAction.prefix_,
              ReadMonotonicClock() + timings_.tableTimeout_,
              [this, token = aAction.token_](const auto& aRows) {
                core_.OnRows(token, aRows, ReadMonotonicClock());
                Perform();
              });
}

void
Scheduler::Private::Do(const TransactAction& aAction)
{
  table_.Transact(aAction.transaction_,
                  ReadMonotonicClock() + timings_.tableTimeout_,
                  [this, token = aAction.token_](const auto& aOutcome) {
                    core_.OnTransact(token, aOutcome, ReadMonotonicClock());
                    Perform();
                  });
}

void
Scheduler::Private::Do(const CallWorkerAction& aAction)
{
  HttpCall call;
  call.method_ = "POST";
  call.url_ =
    "http://" + aAction.address_ + ":" + std::to_string(aAction.port_) +
    std::visit([](const auto& aOne) { return aOne.kPath; }, aAction.command_);
  call.headers_.emplace_back("Content-Type", "application/json");
  call.body_ =
    std::visit([](const auto& aOne) { return ToJson(aOne); }, aAction.command_);
  call.deadline_ = ReadMonotonicClock() + timings_.callTimeout_;
  workers_.Start(
    std::move(call), [this, token = aAction.token_](const auto& aReply) {
      core_.OnWorker(token, ReadReport(aReply), ReadMonotonicClock());
      Perform();
    });
}

void
Scheduler::Private::Do(const AddStepAction& aAction)
{
  journal_.Add(aAction.step_);
}

Scheduler::Scheduler(EntryIdentity aSelf,
                     TableClient& aTable,
                     ConfigurationHolder& aConfiguration,
                     Journal& aJournal,
                     std::unique_ptr<PlacementChooser> aChooser)
  : private_(std::make_unique<Private>(std::move(aSelf),
                                       aTable,
                                       aConfiguration,
                                       aJournal,
                                       std::move(aChooser)))
{
}

Scheduler::~Scheduler() = default;

void
Scheduler::Start()
{
  Private* self = private_.get();
  QObject::connect(
    &self->tick_, &QTimer::timeout, self, [self] { self->Tick(); });
  self->tick_.start(kTickInterval);
  self->Tick();
}

void
Scheduler::HandOver()
{
  private_->core_.HandOver();
}

bool
Scheduler::IsHandedOver() const
{
  return private_->core_.IsHandedOver();
}

SchedulerCore&
Scheduler::Core()
{
  return private_->core_;
}

}
