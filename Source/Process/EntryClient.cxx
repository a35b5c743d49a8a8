#include "Process/EntryClient.h"

#include "Connection/OperatorSignature.h"
#include "Process/SettingsFile.h"
#include "Version/JsonText.h"

#include <QEventLoop>

#include <cstdlib>
#include <iostream>
#include <optional>

namespace cactusrail {

namespace {

constexpr const char* kKeyVariable = "CACTUSRAIL_KEY_FILE";
constexpr int kNotFound = 404;
constexpr Millis kCallTimeout{ 5000 };

/** Body of an entry's error response. */
struct ErrorBody
{
  std::string message_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("message", message_));
  }
};

Result<HttpReply>
CallOne(HttpCall aCall)
{
  HttpCaller caller;
  QEventLoop loop;
  std::optional<Result<HttpReply>> result;
  caller.Start(std::move(aCall), [&](Result<HttpReply> aResult) {
    result = std::move(aResult);
    loop.quit();
  });
  while (!result.has_value()) {
    loop.exec();
  }
  return *std::move(result);
}

/** Loads the operator's key into this process if a key file is specified. */
std::optional<Failure>
LoadKey(const CommandLine& aLine)
{
  const char* variable = std::getenv(kKeyVariable);
  const std::string path = aLine.Given("key-file") ? aLine.Text("key-file")
                           : variable == nullptr   ? std::string()
                                                   : variable;
  if (path.empty()) {
    return std::nullopt;
  }
  const Result<std::string> text = SettingsFile::ReadText(path);
  if (!Succeeded(text)) {
    return NotRun(FailureKind::BadInput, path + ": The key can't be read.");
  }
  Result<KeyRing> ring = KeyRing::Parse(std::get<std::string>(text));
  if (const auto* failure = std::get_if<Failure>(&ring)) {
    return NotRun(FailureKind::BadInput, path + ": " + failure->message_);
  }
  KeyHolder::OfProcess().Replace(std::move(std::get<KeyRing>(ring)));
  return std::nullopt;
}

std::string
ErrorText(const HttpReply& aReply)
{
  const Result<ErrorBody> parsed = FromJson<ErrorBody>(aReply.body_);
  const auto* body = std::get_if<ErrorBody>(&parsed);
  if (body != nullptr) {
    return body->message_;
  }
  return aReply.status_ == kNotFound
           ? "No process that could be asked has a record of it: the record is "
             "older than the retained history, or the hosts were replaced."
           : aReply.body_;
}

}

Result<EntryClient>
EntryClient::Make(const CommandLine& aLine)
{
  Result<std::vector<SocketAddress>> entries = aLine.Entries();
  if (const auto* failure = std::get_if<Failure>(&entries)) {
    return *failure;
  }
  const std::optional<Failure> refused = LoadKey(aLine);
  if (refused.has_value()) {
    return *refused;
  }
  EntryClient client;
  client.entries_ = std::move(std::get<std::vector<SocketAddress>>(entries));
  return client;
}

Result<HttpReply>
EntryClient::Call(const std::string& aMethod,
                  const std::string& aTarget,
                  const std::string& aBody) const
{
  Failure last;
  for (const SocketAddress& entry : entries_) {
    HttpCall call;
    call.method_ = aMethod;
    call.url_ = "http://" + entry.Text() + aTarget;
    call.body_ = aBody;
    SignCall(call);
    call.deadline_ = ReadMonotonicClock() + kCallTimeout;
    Result<HttpReply> result = CallOne(std::move(call));
    const auto* failure = std::get_if<Failure>(&result);
    if (failure == nullptr) {
      return result;
    }
    last = *failure;
    last.message_ = "The entry " + entry.Text() + ": " + failure->message_;
    if (aMethod != "GET" && failure->verdict_ != Verdict::DidNotRun) {
      last.message_ += " The change may have been made; check the state before "
                       "you try again.";
      break;
    }
  }
  return last;
}

std::optional<HttpReply>
EntryClient::CallOrReport(const std::string& aMethod,
                          const std::string& aTarget,
                          const std::string& aBody,
                          ExitCode& aCode) const
{
  Result<HttpReply> result = Call(aMethod, aTarget, aBody);
  if (const auto* failure = std::get_if<Failure>(&result)) {
    std::cerr << failure->message_ << '\n';
    aCode = ExitCodeOfFailure(*failure);
    return std::nullopt;
  }
  auto& reply = std::get<HttpReply>(result);
  aCode = ExitCodeOfStatus(reply.status_);
  if (aCode != ExitCode::Done) {
    std::cerr << ErrorText(reply) << '\n';
    return std::nullopt;
  }
  return std::move(reply);
}

}
