#include "Connection/TableClient.h"

#include "Connection/HttpCaller.h"
#include "Process/Metrics.h"
#include "Version/JsonText.h"

#include <QUrl>

#include <utility>

namespace cactusrail {

namespace {

constexpr int kOk = 200;
/** Status of the response if no object has the requested name. */
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

/** Counts a completed call and returns its result. */
template<typename Value>
Result<Value>
CountCall(Result<Value> aResult)
{
  Metrics& metrics = Metrics::OfProcess();
  metrics.Count(Counter::TableCalls);
  metrics.Count(Counter::TableFailures, Succeeded(aResult) ? 0 : 1);
  return aResult;
}

std::string
ObjectUrl(const std::string& aBase, const std::string& aName)
{
  return aBase + "/v1/objects?name=" +
         QUrl::toPercentEncoding(QString::fromStdString(aName)).toStdString();
}

Failure
UnexpectedStatus(const HttpReply& aReply)
{
  return Failure{ FailureKind::Unreachable,
                  Verdict::MayHaveRun,
                  "The table service answered with the unexpected status " +
                    std::to_string(aReply.status_) + ".",
                  Millis(0) };
}

Result<TableOutcome>
ReadOutcome(const Result<HttpReply>& aReply)
{
  if (const auto* failure = std::get_if<Failure>(&aReply)) {
    return *failure;
  }
  const auto& reply = std::get<HttpReply>(aReply);
  if (reply.status_ != kOk && reply.status_ != kConflict) {
    return UnexpectedStatus(reply);
  }
  Result<TableOutcome> outcome = FromJson<TableOutcome>(reply.body_);
  if (auto* failure = std::get_if<Failure>(&outcome)) {
    // The response can't be decoded, but the write may have taken effect.
    failure->verdict_ = Verdict::MayHaveRun;
  }
  return outcome;
}

Result<std::vector<TableRow>>
ReadRows(const Result<HttpReply>& aReply)
{
  if (const auto* failure = std::get_if<Failure>(&aReply)) {
    return *failure;
  }
  const auto& reply = std::get<HttpReply>(aReply);
  if (reply.status_ != kOk) {
    return UnexpectedStatus(reply);
  }
  Result<TableListing> listing = FromJson<TableListing>(reply.body_);
  if (const auto* failure = std::get_if<Failure>(&listing)) {
    return *failure;
  }
  return std::move(std::get<TableListing>(listing).rows_);
}

}

class TableClient::Private
{
public:
  explicit Private(std::string aBase)
    : base_(std::move(aBase))
  {
  }

  std::string base_;
  HttpCaller caller_;
};

TableClient::TableClient(std::string aBase)
  : private_(std::make_unique<Private>(std::move(aBase)))
{
}

TableClient::~TableClient() = default;

std::size_t
TableClient::InFlight() const
{
  return private_->caller_.InFlight();
}

void
TableClient::Transact(const TableTransaction& aTransaction,
                      Instant aDeadline,
                      std::function<void(Result<TableOutcome>)> aCallback)
{
  HttpCall call;
  call.method_ = "POST";
  call.url_ = private_->base_ + "/v1/transact";
  call.headers_.emplace_back("Content-Type", "application/json");
  call.body_ = ToJson(aTransaction);
  call.deadline_ = aDeadline;
  private_->caller_.Start(
    std::move(call),
    [callback = std::move(aCallback)](const Result<HttpReply>& aReply) {
      callback(CountCall(ReadOutcome(aReply)));
    });
}

void
TableClient::Read(const std::string& aPrefix,
                  Instant aDeadline,
                  std::function<void(Result<std::vector<TableRow>>)> aCallback)
{
  HttpCall call;
  call.method_ = "GET";
  call.url_ =
    private_->base_ + "/v1/rows?prefix=" +
    QUrl::toPercentEncoding(QString::fromStdString(aPrefix)).toStdString();
  call.deadline_ = aDeadline;
  private_->caller_.Start(
    std::move(call),
    [callback = std::move(aCallback)](const Result<HttpReply>& aReply) {
      callback(CountCall(ReadRows(aReply)));
    });
}

void
TableClient::PutObject(const std::string& aName,
                       std::string aBytes,
                       Instant aDeadline,
                       std::function<void(Result<bool>)> aCallback)
{
  HttpCall call;
  call.method_ = "PUT";
  call.url_ = ObjectUrl(private_->base_, aName);
  call.body_ = std::move(aBytes);
  call.deadline_ = aDeadline;
  private_->caller_.Start(
    std::move(call),
    [callback = std::move(aCallback)](const Result<HttpReply>& aReply) {
      const auto* reply = std::get_if<HttpReply>(&aReply);
      if (reply == nullptr) {
        callback(std::get<Failure>(aReply));
      } else if (reply->status_ != kOk) {
        callback(UnexpectedStatus(*reply));
      } else {
        callback(true);
      }
    });
}

void
TableClient::GetObject(
  const std::string& aName,
  Instant aDeadline,
  std::function<void(Result<std::optional<std::string>>)> aCallback)
{
  HttpCall call;
  call.method_ = "GET";
  call.url_ = ObjectUrl(private_->base_, aName);
  call.deadline_ = aDeadline;
  private_->caller_.Start(
    std::move(call),
    [callback = std::move(aCallback)](const Result<HttpReply>& aReply) {
      const auto* reply = std::get_if<HttpReply>(&aReply);
      if (reply == nullptr) {
        callback(std::get<Failure>(aReply));
      } else if (reply->status_ == kNotFound) {
        callback(std::optional<std::string>());
      } else if (reply->status_ != kOk) {
        callback(UnexpectedStatus(*reply));
      } else {
        callback(std::optional(reply->body_));
      }
    });
}

}
