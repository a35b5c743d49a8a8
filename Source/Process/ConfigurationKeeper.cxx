#include "Process/ConfigurationKeeper.h"

#include "Connection/TableClient.h"
#include "Process/ConfigurationPeers.h"
#include "Process/Log.h"

#include <QTimer>

#include <map>
#include <utility>
#include <vector>

namespace cactusrail {

namespace {

constexpr Millis kTickInterval{ 100 };
constexpr Millis kTableTimeout{ 2000 };
constexpr const char* kConfigKey = "config/current";

}

class ConfigurationKeeper::Private : public QObject
{
public:
  Private(TableClient& aTable,
          ConfigurationHolder& aHolder,
          const EntryDirectory& aDirectory,
          std::string aNonceStart)
    : table_(aTable)
    , holder_(aHolder)
    , directory_(aDirectory)
    , nonceStart_(std::move(aNonceStart))
    , peers_(aHolder, [this](const std::string& aText) {
      Run(decision_.OnPeerConfiguration(aText, ReadMonotonicClock()));
    })
  {
  }

  void Run(const ConfigurationVersion::Actions& aActions);
  void Do(const ReadConfigurationRow& aAction);
  void Do(const AskPeersForConfiguration& aAction);
  void Do(const WriteConfigurationRow& aAction);
  void Do(const SetConfiguration& aAction);
  void Do(const AnswerConfigurationChange& aAction);
  static void Do(const RaiseConfigurationAlarm& aAction);
  void Put(const HttpExchange& aExchange);

  TableClient& table_;
  ConfigurationHolder& holder_;
  const EntryDirectory& directory_;
  std::string nonceStart_;
  std::uint64_t nextNonce_ = 1;
  ConfigurationVersion decision_;
  ConfigurationPeers peers_;
  QTimer tick_;
  /** Operator requests that wait for the outcome of a change, by nonce. */
  std::map<std::string, HttpExchange> waiting_;
};

void
ConfigurationKeeper::Private::Run(const ConfigurationVersion::Actions& aActions)
{
  for (const ConfigurationAction& action : aActions) {
    std::visit([this](const auto& aAction) { Do(aAction); }, action);
  }
}

void
ConfigurationKeeper::Private::Do(const ReadConfigurationRow&)
{
  table_.Read(
    kConfigKey,
    ReadMonotonicClock() + kTableTimeout,
    [this](const Result<std::vector<TableRow>>& aRows) {
      const Instant now = ReadMonotonicClock();
      const auto* rows = std::get_if<std::vector<TableRow>>(&aRows);
      if (rows == nullptr) {
        Run(decision_.OnReadFailed(now));
        return;
      }
      Run(decision_.OnRow(rows->empty() ? TableRow{} : rows->front(), now));
    });
}

void
ConfigurationKeeper::Private::Do(const AskPeersForConfiguration&)
{
  peers_.RequestConfigurations(directory_.Others());
}

void
ConfigurationKeeper::Private::Do(const WriteConfigurationRow& aAction)
{
  TableTransaction transaction;
  transaction.conditions_.push_back({ kConfigKey, aAction.revision_ });
  transaction.puts_.push_back({ kConfigKey, aAction.value_ });
  table_.Transact(
    transaction,
    ReadMonotonicClock() + kTableTimeout,
    [this, aAction](const Result<TableOutcome>& aResult) {
      Run(decision_.OnWritten(aAction, aResult, ReadMonotonicClock()));
    });
}

void
ConfigurationKeeper::Private::Do(const SetConfiguration& aAction)
{
  if (holder_.Offer(aAction.configuration_)) {
    LogChange("configuration",
              { { "version", std::to_string(aAction.configuration_->version_) },
                { "source", aAction.source_ } });
  }
}

void
ConfigurationKeeper::Private::Do(const AnswerConfigurationChange& aAction)
{
  const auto found = waiting_.find(aAction.nonce_);
  if (found == waiting_.end()) {
    return;
  }
  HttpAnswer answer;
  if (aAction.message_.empty()) {
    answer.body_ = ConfigurationText(decision_.InForce()) + "\n";
  } else {
    answer = OperatorError(aAction.status_, aAction.message_);
  }
  found->second.Answer(answer);
  waiting_.erase(found);
}

void
ConfigurationKeeper::Private::Do(const RaiseConfigurationAlarm& aAction)
{
  LogChange(aAction.event_, { { "detail", aAction.detail_ } });
}

void
ConfigurationKeeper::Private::Put(const HttpExchange& aExchange)
{
  const std::string nonce = nonceStart_ + std::to_string(nextNonce_++);
  waiting_.emplace(nonce, aExchange);
  Run(decision_.OnChange(nonce, aExchange.Body(), ReadMonotonicClock()));
}

ConfigurationKeeper::ConfigurationKeeper(TableClient& aTable,
                                         ConfigurationHolder& aHolder,
                                         const EntryDirectory& aDirectory,
                                         std::string aNonceStart)
  : private_(std::make_unique<Private>(aTable,
                                       aHolder,
                                       aDirectory,
                                       std::move(aNonceStart)))
{
}

ConfigurationKeeper::~ConfigurationKeeper() = default;

void
ConfigurationKeeper::AddRoutes(OperatorRoutes& aRoutes)
{
  Private* self = private_.get();
  aRoutes.Add("GET", "/v1/config", [self](const HttpExchange& aExchange) {
    HttpAnswer answer;
    answer.body_ = ConfigurationText(*self->holder_.Current()) + "\n";
    aExchange.Answer(answer);
  });
  aRoutes.Add("PUT", "/v1/config", [self](const HttpExchange& aExchange) {
    self->Put(aExchange);
  });
}

void
ConfigurationKeeper::Start()
{
  Private* self = private_.get();
  const auto tick = [self] {
    self->Run(self->decision_.OnTick(ReadMonotonicClock()));
  };
  QObject::connect(&self->tick_, &QTimer::timeout, self, tick);
  self->tick_.start(kTickInterval);
  tick();
}

void
ConfigurationKeeper::OnHeartbeat(const HeartbeatMessage& aHeartbeat)
{
  Private& self = *private_;
  const Instant now = ReadMonotonicClock();
  self.peers_.OnHeartbeat(aHeartbeat);
  self.Run(self.decision_.OnPeerVersion(aHeartbeat.configVersion_, now));
}

const ConfigurationCounts&
ConfigurationKeeper::Counts() const
{
  return private_->decision_.Counts();
}

}
