#include "Process/OperatorCommands.h"

#include "Connection/HttpCaller.h"
#include "Process/WorkCommands.h"
#include "Request/RequestStep.h"
#include "Version/Configuration.h"
#include "Version/JsonText.h"

#include <QCoreApplication>
#include <QCryptographicHash>
#include <QDateTime>

#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

namespace cactusrail {

namespace {

constexpr int kExitUsage = 2;
constexpr int kExitNotFound = 3;
constexpr int kExitConflict = 4;
constexpr int kExitUnreachable = 6;
constexpr Millis kCallTimeout{ 5000 };

constexpr const char* kUsage =
  "usage: cactusrail entry FILE\n"
  "       cactusrail side FILE\n"
  "       cactusrail create-tenant ENTRY NAME KEY\n"
  "       cactusrail create-service ENTRY NAME idempotent|once TIMEOUT_MS\n"
  "       cactusrail sides ENTRY\n"
  "       cactusrail explain ENTRY ID\n"
  "ENTRY is the IP:PORT of an entry's operators' address.\n";

Result<HttpReply>
CallEntry(const std::string& aMethod,
          const std::string& aEntry,
          const std::string& aTarget,
          std::string aBody)
{
  HttpCaller caller;
  HttpCall call;
  call.method_ = aMethod;
  call.url_ = "http://" + aEntry + aTarget;
  call.body_ = std::move(aBody);
  call.deadline_ = ReadMonotonicClock() + kCallTimeout;
  Result<HttpReply> result = Failure{};
  caller.Start(std::move(call), [&result](Result<HttpReply> aResult) {
    result = std::move(aResult);
    QCoreApplication::exit(0);
  });
  QCoreApplication::exec();
  return result;
}

int
ReportReply(const Result<HttpReply>& aResult)
{
  if (const auto* failure = std::get_if<Failure>(&aResult)) {
    std::cerr << failure->message_ << '\n';
    return kExitUnreachable;
  }
  const auto& reply = std::get<HttpReply>(aResult);
  if (reply.status_ == 200) {
    std::cout << reply.body_;
    return 0;
  }
  std::cerr << reply.body_;
  if (reply.status_ == 404) {
    return kExitNotFound;
  }
  return reply.status_ == 409 ? kExitConflict : kExitUnreachable;
}

template<typename Change>
int
ChangeConfiguration(const std::string& aEntry, const Change& aChange)
{
  const Result<HttpReply> got = CallEntry("GET", aEntry, "/v1/config", "");
  const auto* reply = std::get_if<HttpReply>(&got);
  if (reply == nullptr || reply->status_ != 200) {
    return ReportReply(got);
  }
  Result<Configuration> parsed = ParseConfiguration(reply->body_);
  auto* configuration = std::get_if<Configuration>(&parsed);
  if (configuration == nullptr) {
    std::cerr << std::get<Failure>(parsed).message_ << '\n';
    return kExitUnreachable;
  }
  ++configuration->version_;
  aChange(*configuration);
  return ReportReply(
    CallEntry("PUT", aEntry, "/v1/config", ConfigurationText(*configuration)));
}

std::string
ClockText(std::int64_t aWallMicros)
{
  return QDateTime::fromMSecsSinceEpoch(aWallMicros / 1000, Qt::UTC)
    .toString(Qt::ISODateWithMs)
    .toStdString();
}

struct Steps
{
  std::vector<RequestStep> steps_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("steps", steps_));
  }
};

int
Explain(const std::string& aEntry, const std::string& aRequestId)
{
  const Result<HttpReply> got =
    CallEntry("GET", aEntry, "/v1/explain?id=" + aRequestId, "");
  const auto* reply = std::get_if<HttpReply>(&got);
  if (reply == nullptr || reply->status_ != 200) {
    return ReportReply(got);
  }
  const Result<Steps> parsed = FromJson<Steps>(reply->body_);
  const auto* steps = std::get_if<Steps>(&parsed);
  if (steps == nullptr) {
    std::cerr << std::get<Failure>(parsed).message_ << '\n';
    return kExitUnreachable;
  }
  Verdict verdict = Verdict::MayHaveRun;
  for (const RequestStep& step : steps->steps_) {
    if (step.conclusive_) {
      verdict = step.verdict_;
    }
    std::cout << ClockText(step.wallMicros_) << "  " << step.host_ << "  "
              << step.step_ << "  " << step.detail_ << '\n';
  }
  std::cout << "verdict: " << VerdictText(verdict) << '\n';
  return 0;
}

}

int
RunOperatorCommand(std::span<char*> aArguments)
{
  const std::vector<std::string> words(aArguments.begin(), aArguments.end());
  const std::string verb = words.empty() ? "" : words[0];
  if (verb == "create-tenant" && words.size() == 4) {
    return ChangeConfiguration(words[1], [&words](Configuration& aConfig) {
      TenantConfig tenant;
      tenant.name_ = words[2];
      tenant.keySha256_ =
        QCryptographicHash::hash(QByteArray::fromStdString(words[3]),
                                 QCryptographicHash::Sha256)
          .toHex()
          .toStdString();
      aConfig.tenants_.push_back(tenant);
    });
  }
  if (verb == "create-service" && words.size() == 5) {
    return ChangeConfiguration(words[1], [&words](Configuration& aConfig) {
      ServiceConfig service;
      service.name_ = words[2];
      service.idempotent_ = words[3] == "idempotent";
      service.timeoutMs_ =
        static_cast<std::uint32_t>(std::strtoul(words[4].c_str(), nullptr, 10));
      aConfig.services_.push_back(service);
    });
  }
  if (verb == "sides" && words.size() == 2) {
    return ReportReply(CallEntry("GET", words[1], "/v1/sides", ""));
  }
  if (verb == "explain" && words.size() == 3) {
    return Explain(words[1], words[2]);
  }
  if (const std::optional<int> exit = RunWorkCommand(words)) {
    return *exit;
  }
  std::cerr << kUsage << kWorkCommandsUsage;
  return kExitUsage;
}

}
