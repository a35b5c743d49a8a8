// Stands in for the platform's table service and object store. Keeps rows and
// objects in memory. POST /fault?mode=MODE&count=N makes the next N calls fail:
//   down        answer 503 without any other effect
//   lose-answer apply the write, then close without an answer
//   stall       never answer
//   past        reads return the rows of the last "remember", or else a copy
//               made now
//   remember    saves a copy of all rows; ends every fault
//   restore     restores that copy; ends every fault
// mode=none ends every fault. GET /count returns the writes and reads so far.

#include "Connection/HttpFront.h"
#include "StandInOptions.h"
#include "Version/JsonText.h"
#include "Version/TableRows.h"

#include <QCoreApplication>

#include <map>
#include <vector>

namespace {

using cactusrail::HttpAnswer;
using cactusrail::HttpExchange;

class Platform
{
public:
  void Handle(const HttpExchange& aExchange);

private:
  void Transact(const HttpExchange& aExchange);
  void Read(const HttpExchange& aExchange);
  void SetFault(const HttpExchange& aExchange);
  bool TakeFault(const std::string& aMode);

  std::map<std::string, cactusrail::TableRow> rows_;
  std::map<std::string, cactusrail::TableRow> pastRows_;
  bool remembered_ = false;
  std::map<std::string, std::string> objects_;
  std::uint64_t nextRevision_ = 1;
  std::uint64_t writes_ = 0;
  std::uint64_t reads_ = 0;
  std::string faultMode_ = "none";
  std::uint64_t faultCount_ = 0;
  /** Holds stalled exchanges, so that they are never answered. */
  std::vector<HttpExchange> stalled_;
};

bool
Platform::TakeFault(const std::string& aMode)
{
  if (faultMode_ != aMode || faultCount_ == 0) {
    return false;
  }
  --faultCount_;
  return true;
}

void
Platform::SetFault(const HttpExchange& aExchange)
{
  faultMode_ = aExchange.Query("mode");
  const std::string count = aExchange.Query("count");
  faultCount_ = count.empty() ? ~0ULL : std::stoull(count);
  if (faultMode_ == "remember" || (faultMode_ == "past" && !remembered_)) {
    pastRows_ = rows_;
    remembered_ = true;
  }
  if (faultMode_ == "restore") {
    rows_ = pastRows_;
  }
  if (faultMode_ != "stall" && faultMode_ != "lose-answer") {
    stalled_.clear();
  }
  aExchange.Answer(HttpAnswer{});
}

void
Platform::Transact(const HttpExchange& aExchange)
{
  HttpAnswer answer;
  const auto parsed =
    cactusrail::FromJson<cactusrail::TableTransaction>(aExchange.Body());
  const auto* transaction = std::get_if<cactusrail::TableTransaction>(&parsed);
  if (transaction == nullptr) {
    answer.status_ = 400;
    answer.body_ = std::get<cactusrail::Failure>(parsed).message_;
    aExchange.Answer(answer);
    return;
  }
  ++writes_;
  cactusrail::TableOutcome outcome;
  outcome.applied_ = true;
  for (const cactusrail::RowCondition& condition : transaction->conditions_) {
    cactusrail::TableRow row;
    row.key_ = condition.key_;
    const auto found = rows_.find(condition.key_);
    if (found != rows_.end()) {
      row = found->second;
    }
    if (row.revision_ != condition.revision_) {
      outcome.applied_ = false;
      outcome.rows_.push_back(row);
    }
  }
  if (outcome.applied_) {
    for (const cactusrail::RowWrite& put : transaction->puts_) {
      const std::uint64_t revision = nextRevision_++;
      rows_[put.key_] = { put.key_, revision, put.value_ };
      outcome.rows_.push_back({ put.key_, revision, "" });
    }
    for (const std::string& key : transaction->deletes_) {
      rows_.erase(key);
    }
  }
  if (TakeFault("lose-answer")) {
    stalled_.push_back(aExchange);
    return;
  }
  answer.status_ = outcome.applied_ ? 200 : 409;
  answer.body_ = cactusrail::ToJson(outcome);
  aExchange.Answer(answer);
}

void
Platform::Read(const HttpExchange& aExchange)
{
  ++reads_;
  const auto& rows = TakeFault("past") ? pastRows_ : rows_;
  const std::string prefix = aExchange.Query("prefix");
  cactusrail::TableListing listing;
  for (auto row = rows.lower_bound(prefix);
       row != rows.end() && row->first.starts_with(prefix);
       ++row) {
    listing.rows_.push_back(row->second);
  }
  HttpAnswer answer;
  answer.body_ = cactusrail::ToJson(listing);
  aExchange.Answer(answer);
}

void
Platform::Handle(const HttpExchange& aExchange)
{
  const std::string& path = aExchange.Path();
  if (path == "/fault") {
    SetFault(aExchange);
    return;
  }
  HttpAnswer answer;
  if (path == "/count") {
    answer.body_ = "{\"writes\":" + std::to_string(writes_) +
                   ",\"reads\":" + std::to_string(reads_) + "}\n";
    aExchange.Answer(answer);
    return;
  }
  if (TakeFault("down")) {
    answer.status_ = 503;
    aExchange.Answer(answer);
    return;
  }
  if (TakeFault("stall")) {
    stalled_.push_back(aExchange);
    return;
  }
  const std::string& method = aExchange.Method();
  if (method == "POST" && path == "/v1/transact") {
    Transact(aExchange);
    return;
  }
  if (method == "GET" && path == "/v1/rows") {
    Read(aExchange);
    return;
  }
  if (method == "PUT" && path == "/v1/objects") {
    ++writes_;
    objects_[aExchange.Query("name")] = aExchange.Body();
    answer.body_ = "{}";
    aExchange.Answer(answer);
    return;
  }
  const auto object = objects_.find(aExchange.Query("name"));
  if (method == "GET" && path == "/v1/objects" && object != objects_.end()) {
    ++reads_;
    answer.body_ = object->second;
    aExchange.Answer(answer);
    return;
  }
  answer.status_ = 404;
  aExchange.Answer(answer);
}

}

int
main(int argc, char** argv)
{
  QCoreApplication application(argc, argv);
  namespace options = boost::program_options;
  options::options_description known("standin-platform");
  known.add_options()("listen", options::value<std::string>()->required())(
    "port", options::value<std::uint16_t>()->default_value(0));
  const auto values = ParseStandInOptions(argc, argv, known);
  if (!values.has_value()) {
    return 2;
  }
  Platform platform;
  cactusrail::HttpLimits limits;
  limits.maxBodyBytes_ = 64U << 20U;
  const auto front = cactusrail::HttpFront::Listen(
    (*values)["listen"].as<std::string>(),
    (*values)["port"].as<std::uint16_t>(),
    limits,
    [&platform](const HttpExchange& aExchange) { platform.Handle(aExchange); });
  if (const auto* failure = std::get_if<cactusrail::Failure>(&front)) {
    std::cerr << failure->message_ << '\n';
    return 1;
  }
  const auto& listening =
    std::get<std::unique_ptr<cactusrail::HttpFront>>(front);
  std::cout << "ready http=" << (*values)["listen"].as<std::string>() << ":"
            << listening->Port() << std::endl;
  return QCoreApplication::exec();
}
