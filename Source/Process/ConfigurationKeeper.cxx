#include "Process/ConfigurationKeeper.h"

#include "Connection/TableClient.h"
#include "Process/Log.h"

#include <QTimer>

#include <string>
#include <vector>

namespace cactusrail {

namespace {

constexpr Millis kPoll{ 1000 };
constexpr Millis kTableTimeout{ 2000 };
constexpr const char* kConfigKey = "config/current";

}

class ConfigurationKeeper::Private : public QObject
{
public:
  Private(TableClient& aTable, ConfigurationHolder& aHolder)
    : table_(aTable)
    , holder_(aHolder)
  {
  }

  void Poll();
  void Take(const std::string& aText);
  void Put(const HttpExchange& aExchange);

  TableClient& table_;
  ConfigurationHolder& holder_;
  QTimer poll_;
  std::uint64_t revision_ = 0;
};

void
ConfigurationKeeper::Private::Take(const std::string& aText)
{
  const Result<Configuration> parsed = ParseConfiguration(aText);
  const auto* configuration = std::get_if<Configuration>(&parsed);
  if (configuration == nullptr) {
    return;
  }
  if (holder_.Offer(std::make_shared<Configuration>(*configuration))) {
    LogChange("configuration",
              { { "version", std::to_string(configuration->version_) } });
  }
}

void
ConfigurationKeeper::Private::Poll()
{
  table_.Read(kConfigKey,
              ReadMonotonicClock() + kTableTimeout,
              [this](const Result<std::vector<TableRow>>& aRows) {
                const auto* rows = std::get_if<std::vector<TableRow>>(&aRows);
                if (rows == nullptr || rows->empty()) {
                  return;
                }
                revision_ = rows->front().revision_;
                Take(rows->front().value_);
              });
}

void
ConfigurationKeeper::Private::Put(const HttpExchange& aExchange)
{
  const Result<Configuration> parsed = ParseConfiguration(aExchange.Body());
  if (const auto* failure = std::get_if<Failure>(&parsed)) {
    aExchange.Answer(OperatorError(400, failure->message_));
    return;
  }
  const auto& configuration = std::get<Configuration>(parsed);
  const std::uint64_t held = holder_.Current()->version_;
  if (configuration.version_ != held + 1) {
    aExchange.Answer(OperatorError(
      409,
      "The version must be " + std::to_string(held + 1) +
        "; another operator may have changed the configuration."));
    return;
  }
  const std::string text = ConfigurationText(configuration);
  TableTransaction transaction;
  transaction.conditions_.push_back({ kConfigKey, revision_ });
  transaction.puts_.push_back({ kConfigKey, text });
  table_.Transact(transaction,
                  ReadMonotonicClock() + kTableTimeout,
                  [this, aExchange, text](const Result<TableOutcome>& aResult) {
                    const auto* outcome = std::get_if<TableOutcome>(&aResult);
                    Poll();
                    if (outcome == nullptr) {
                      aExchange.Answer(OperatorError(
                        503,
                        "The table service gave no answer; look at the "
                        "configuration before you try again."));
                      return;
                    }
                    if (!outcome->applied_) {
                      aExchange.Answer(OperatorError(
                        409, "Another operator changed the configuration."));
                      return;
                    }
                    Take(text);
                    HttpAnswer answer;
                    answer.body_ = text + "\n";
                    aExchange.Answer(answer);
                  });
}

ConfigurationKeeper::ConfigurationKeeper(TableClient& aTable,
                                         ConfigurationHolder& aHolder)
  : private_(std::make_unique<Private>(aTable, aHolder))
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
  QObject::connect(
    &self->poll_, &QTimer::timeout, self, [self] { self->Poll(); });
  self->poll_.start(kPoll);
  self->Poll();
}

}
