#include "Process/WorkCommands.h"

#include "Connection/HttpCaller.h"
#include "Process/Instant.h"
#include "Version/JsonText.h"
#include "Version/WorkVerbs.h"

#include <QCoreApplication>
#include <QUrl>
#include <QUuid>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>

namespace cactusrail {

const char* const kWorkCommandsUsage =
  "       cactusrail create-job ENTRY ID [KEY=VALUE ...]\n"
  "         KEY: kind (batch|watcher|service), tenant, program, tasks,\n"
  "         milli-cpus, memory-mb, accelerators, run-ms, idempotent (yes|no),\n"
  "         label.NAME, operation\n"
  "       cactusrail jobs ENTRY [SELECTOR]\n"
  "       cactusrail inspect-job ENTRY ID\n"
  "       cactusrail pause|resume|drain|stop|cancel ENTRY SELECTOR"
  " [OPERATION]\n";

namespace {

constexpr int kExitUsage = 2;
constexpr int kExitNotFound = 3;
constexpr int kExitConflict = 4;
constexpr int kExitUnreachable = 6;
constexpr Millis kCallTimeout{ 60000 };
constexpr std::array<std::string_view, 5> kVerbs{ "pause",
                                                  "resume",
                                                  "drain",
                                                  "stop",
                                                  "cancel" };

int
Call(const std::string& aMethod,
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
  if (const auto* failure = std::get_if<Failure>(&result)) {
    std::cerr << failure->message_ << '\n';
    return kExitUnreachable;
  }
  const auto& reply = std::get<HttpReply>(result);
  (reply.status_ == 200 ? std::cout : std::cerr) << reply.body_;
  switch (reply.status_) {
    case 200:
      return 0;
    case 400:
      return kExitUsage;
    case 404:
      return kExitNotFound;
    case 409:
      return kExitConflict;
    default:
      return kExitUnreachable;
  }
}

std::string
NewOperationId()
{
  return QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString();
}

int
SendVerb(const std::string& aEntry, const VerbRequest& aRequest)
{
  // Without its id a lost answer could not be asked for again.
  std::cerr << "operation " << aRequest.operationId_ << '\n';
  return Call("POST", aEntry, "/v1/work", ToJson(aRequest));
}

bool
TakeNumber(const std::string& aText, std::int64_t& aNumber)
{
  char* end = nullptr;
  aNumber = std::strtoll(aText.c_str(), &end, 10);
  return !aText.empty() && *end == '\0' && aNumber >= 0;
}

bool
TakeWord(VerbRequest& aRequest,
         const std::string& aKey,
         const std::string& aValue)
{
  JobSpec& spec = aRequest.spec_;
  std::int64_t number = 0;
  const bool isNumber = TakeNumber(aValue, number);
  if (aKey == "kind") {
    static const std::map<std::string, WorkKind> kKinds{
      { "service", WorkKind::Service },
      { "batch", WorkKind::Batch },
      { "watcher", WorkKind::Watcher }
    };
    const auto kind = kKinds.find(aValue);
    if (kind == kKinds.end()) {
      return false;
    }
    spec.kind_ = kind->second;
  } else if (aKey == "tenant") {
    spec.tenant_ = aValue;
  } else if (aKey == "program") {
    spec.program_ = aValue;
  } else if (aKey == "operation") {
    aRequest.operationId_ = aValue;
  } else if (aKey == "idempotent") {
    spec.idempotent_ = aValue == "yes";
    return aValue == "yes" || aValue == "no";
  } else if (aKey.starts_with("label.")) {
    spec.labels_.emplace_back(aKey.substr(6), aValue);
  } else if (aKey == "tasks") {
    spec.tasks_ = static_cast<std::uint32_t>(number);
    return isNumber;
  } else if (aKey == "milli-cpus") {
    spec.declared_.milliCpus_ = number;
    return isNumber;
  } else if (aKey == "memory-mb") {
    spec.declared_.memoryMb_ = number;
    return isNumber;
  } else if (aKey == "accelerators") {
    spec.declared_.accelerators_ = number;
    return isNumber;
  } else if (aKey == "run-ms") {
    spec.declaredRunMs_ = static_cast<std::uint64_t>(number);
    return isNumber;
  } else {
    return false;
  }
  return true;
}

int
CreateJob(std::span<const std::string> aWords)
{
  VerbRequest request;
  request.verb_ = "create";
  request.operationId_ = NewOperationId();
  request.spec_.id_ = aWords[2];
  for (const std::string& word : aWords.subspan(3)) {
    const std::size_t equals = word.find('=');
    if (equals == std::string::npos ||
        !TakeWord(request, word.substr(0, equals), word.substr(equals + 1))) {
      std::cerr << "'" << word << "' is not understood.\n"
                << kWorkCommandsUsage;
      return kExitUsage;
    }
  }
  return SendVerb(aWords[1], request);
}

}

std::optional<int>
RunWorkCommand(std::span<const std::string> aWords)
{
  const std::string verb = aWords.empty() ? "" : aWords[0];
  if (verb == "create-job" && aWords.size() >= 3) {
    return CreateJob(aWords);
  }
  if (verb == "jobs" && (aWords.size() == 2 || aWords.size() == 3)) {
    const std::string selector = aWords.size() == 3 ? aWords[2] : "*";
    const QByteArray encoded =
      QUrl::toPercentEncoding(QString::fromStdString(selector));
    return Call(
      "GET", aWords[1], "/v1/jobs?selector=" + encoded.toStdString(), "");
  }
  if (verb == "inspect-job" && aWords.size() == 3) {
    return Call("GET", aWords[1], "/v1/jobs/inspect?id=" + aWords[2], "");
  }
  const bool isVerb =
    std::find(kVerbs.begin(), kVerbs.end(), verb) != kVerbs.end();
  if (isVerb && (aWords.size() == 3 || aWords.size() == 4)) {
    VerbRequest request;
    request.verb_ = verb;
    request.selector_ = aWords[2];
    request.operationId_ = aWords.size() == 4 ? aWords[3] : NewOperationId();
    return SendVerb(aWords[1], request);
  }
  return std::nullopt;
}

}
