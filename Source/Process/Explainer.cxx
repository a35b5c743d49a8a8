#include "Process/Explainer.h"

#include "Connection/HttpCaller.h"
#include "Connection/OperatorSignature.h"
#include "Connection/SideLink.h"
#include "Connection/TableClient.h"
#include "Process/Journal.h"
#include "Process/MembershipListener.h"
#include "Process/StepSegments.h"
#include "Request/ExplainVerdict.h"
#include "Version/JsonText.h"

#include <QTimer>
#include <QUrl>

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cactusrail {

namespace {

constexpr Millis kRecallTimeout{ 1000 };
constexpr Millis kStoreTimeout{ 3000 };
/** Number of slots of a lost entry in one window, which are read together, and
 * the maximum number of windows. */
constexpr std::uint64_t kSlotsPerWindow = 8;
constexpr std::uint64_t kMaxWindows = 4;
/** Number of slots of a lost side to read, starting at the slot of the step
 * that names the side. */
constexpr std::uint64_t kSideSlotsRead = 2;
/** Maximum number of sides to query. All sides are candidates if no step names
 * a side; the limit keeps one request from flooding them. */
constexpr std::size_t kMaxSidesQueried = 64;
/** Prefix of a side's name in a step's host and at the end of its detail. */
constexpr std::string_view kSidePrefix = "side/";

/** Steps of one request, in the response to operators and other entries. */
struct StepList
{
  std::vector<RequestStep> steps_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("steps", steps_));
  }
};

/** State of one explain request while queries to other processes are in flight.
 */
struct ExplainQuery
{
  HttpExchange exchange_;
  std::string id_;
  std::vector<RequestStep> steps_;
  std::size_t open_ = 0;
  std::uint64_t windows_ = 0;
  /** Continuation to call when all open queries have completed. */
  std::function<void()> next_;

  void Done()
  {
    if (--open_ == 0) {
      std::exchange(next_, nullptr)();
    }
  }

  void AddSteps(const std::vector<RequestStep>& aSteps)
  {
    std::copy_if(
      aSteps.begin(),
      aSteps.end(),
      std::back_inserter(steps_),
      [this](const RequestStep& aStep) { return aStep.requestId_ == id_; });
  }

  bool IsConcluded() const
  {
    return ExplainVerdict(steps_).verdict_ != Verdict::MayHaveRun;
  }
};

using SharedExplainQuery = std::shared_ptr<ExplainQuery>;

/** Returns the name of the side at the end of a step's detail; empty if the
 * detail names no side. */
std::string
NamedSide(const RequestStep& aStep)
{
  const std::size_t at = aStep.detail_.rfind(kSidePrefix);
  if (at == std::string::npos) {
    return {};
  }
  std::string name = aStep.detail_.substr(at + kSidePrefix.size());
  return name.find(' ') == std::string::npos ? name : std::string();
}

}

class Explainer::Private : public QObject
{
public:
  Private(const Journal& aJournal,
          const MembershipListener& aMembership,
          const EntryDirectory& aDirectory,
          TableClient& aStore)
    : journal_(aJournal)
    , membership_(aMembership)
    , directory_(aDirectory)
    , store_(aStore)
  {
  }

  void Explain(const HttpExchange& aExchange);
  void Recall(const HttpExchange& aExchange) const;
  void QueryEntries(const SharedExplainQuery& aQuery);
  void ReadLostEntry(const SharedExplainQuery& aQuery);
  void QuerySides(const SharedExplainQuery& aQuery);
  void ReadLostSides(const SharedExplainQuery& aQuery);
  static void Answer(const SharedExplainQuery& aQuery);
  void QueryEntry(const EntryRecord& aEntry, const SharedExplainQuery& aQuery);
  void QuerySide(const HeartbeatMessage& aSide,
                 const SharedExplainQuery& aQuery);
  void ReadSegment(const std::string& aName, const SharedExplainQuery& aQuery);

  const Journal& journal_;
  const MembershipListener& membership_;
  const EntryDirectory& directory_;
  TableClient& store_;
  HttpCaller caller_;
};

void
Explainer::Private::Explain(const HttpExchange& aExchange)
{
  auto query = std::make_shared<ExplainQuery>(
    ExplainQuery{ aExchange, aExchange.Query("id"), {}, 0, 0, nullptr });
  query->steps_ = journal_.Recall(query->id_);
  QueryEntries(query);
}

void
Explainer::Private::Recall(const HttpExchange& aExchange) const
{
  HttpAnswer answer;
  answer.body_ =
    ToJson(StepList{ journal_.Recall(aExchange.Query("id")) }) + "\n";
  aExchange.Answer(answer);
}

void
Explainer::Private::QueryEntries(const SharedExplainQuery& aQuery)
{
  aQuery->open_ = 1;
  aQuery->next_ = [this, aQuery] { ReadLostEntry(aQuery); };
  for (const EntryRecord& entry : directory_.Others()) {
    QueryEntry(entry, aQuery);
  }
  aQuery->Done();
}

void
Explainer::Private::QueryEntry(const EntryRecord& aEntry,
                               const SharedExplainQuery& aQuery)
{
  ++aQuery->open_;
  HttpCall call;
  call.method_ = "GET";
  call.url_ =
    "http://" + aEntry.operators_ + "/v1/recall?id=" +
    QUrl::toPercentEncoding(QString::fromStdString(aQuery->id_)).toStdString();
  call.deadline_ = ReadMonotonicClock() + kRecallTimeout;
  SignCall(call);
  caller_.Start(std::move(call), [aQuery](const Result<HttpReply>& aReply) {
    const auto* reply = std::get_if<HttpReply>(&aReply);
    if (reply != nullptr) {
      const auto read = FromJson<StepList>(reply->body_);
      const auto* list = std::get_if<StepList>(&read);
      aQuery->AddSteps(list == nullptr ? std::vector<RequestStep>()
                                       : list->steps_);
    }
    aQuery->Done();
  });
}

/**
 * Reads the stored segments of the entry that received the request, if no live
 * entry has that entry's steps in memory. Starts at the slot that the request
 * id specifies and reads windows of slots until the outcome is known, or
 * kMaxWindows is reached.
 */
void
Explainer::Private::ReadLostEntry(const SharedExplainQuery& aQuery)
{
  aQuery->open_ = 1;
  aQuery->next_ = [this, aQuery] { QuerySides(aQuery); };
  std::optional<RequestOrigin> origin = ReadRequestId(aQuery->id_);
  const bool isRemembered =
    origin.has_value() && aQuery->windows_ == 0 &&
    std::any_of(aQuery->steps_.begin(),
                aQuery->steps_.end(),
                [&origin](const RequestStep& aStep) {
                  return aStep.host_ == "entry/" + origin->entry_;
                });
  const bool hasWindows = aQuery->windows_ < kMaxWindows;
  if (!origin.has_value() || isRemembered || !hasWindows ||
      aQuery->IsConcluded()) {
    aQuery->Done();
    return;
  }
  aQuery->next_ = [this, aQuery] { ReadLostEntry(aQuery); };
  origin->slot_ += aQuery->windows_ * kSlotsPerWindow;
  ++aQuery->windows_;
  const std::uint64_t now =
    SlotOf(ReadWallClock(), origin->incarnation_, kEntrySlot);
  for (std::uint64_t i = 0; i < kSlotsPerWindow && origin->slot_ <= now; ++i) {
    ReadSegment(EntrySegmentName(*origin), aQuery);
    ++origin->slot_;
  }
  if (origin->slot_ > now) {
    aQuery->windows_ = kMaxWindows;
  }
  aQuery->Done();
}

void
Explainer::Private::ReadSegment(const std::string& aName,
                                const SharedExplainQuery& aQuery)
{
  ++aQuery->open_;
  store_.GetObject(
    aName,
    ReadMonotonicClock() + kStoreTimeout,
    [aQuery](const Result<std::optional<std::string>>& aResult) {
      const auto* found = std::get_if<std::optional<std::string>>(&aResult);
      if (found != nullptr && found->has_value()) {
        aQuery->AddSteps(cactusrail::ReadSegment(**found, aQuery->id_));
      }
      aQuery->Done();
    });
}

void
Explainer::Private::QuerySides(const SharedExplainQuery& aQuery)
{
  aQuery->open_ = 1;
  aQuery->next_ = [this, aQuery] { ReadLostSides(aQuery); };
  std::set<std::string> named;
  for (const RequestStep& step : aQuery->steps_) {
    named.insert(NamedSide(step));
  }
  named.erase("");
  std::size_t asked = 0;
  for (const SideView& side : membership_.View().All()) {
    const bool wanted =
      named.empty() || named.contains(side.heartbeat_.sideId_);
    if (wanted && asked++ < kMaxSidesQueried) {
      QuerySide(side.heartbeat_, aQuery);
    }
  }
  aQuery->Done();
}

void
Explainer::Private::QuerySide(const HeartbeatMessage& aSide,
                              const SharedExplainQuery& aQuery)
{
  ++aQuery->open_;
  auto* link = new SideLink(aSide.address_, aSide.port_, this);
  HistoryRequestMessage recall;
  recall.requestId_ = aQuery->id_;
  link->Send(recall);
  auto* timer = new QTimer(link);
  timer->setSingleShot(true);
  const auto finish = [link, timer, aQuery] {
    timer->disconnect();
    link->disconnect();
    link->deleteLater();
    aQuery->Done();
  };
  connect(timer, &QTimer::timeout, this, finish);
  connect(link, &SideLink::Lost, this, finish, Qt::QueuedConnection);
  connect(link,
          &SideLink::Received,
          this,
          [aQuery, finish](const WireMessage& aMessage) {
            const auto* memory = std::get_if<HistoryResponseMessage>(&aMessage);
            if (memory == nullptr) {
              return;
            }
            for (const std::string& text : memory->steps_) {
              aQuery->AddSteps(cactusrail::ReadSegment(text));
            }
            finish();
          });
  timer->start(kRecallTimeout);
}

/** Reads the stored segments of each side that a step names but that returned
 * no steps. Such a side is gone or was restarted. */
void
Explainer::Private::ReadLostSides(const SharedExplainQuery& aQuery)
{
  aQuery->open_ = 1;
  aQuery->next_ = [aQuery] { Answer(aQuery); };
  std::set<std::string> respondedHosts;
  for (const RequestStep& step : aQuery->steps_) {
    respondedHosts.insert(step.host_);
  }
  const std::uint64_t now = SlotOf(ReadWallClock(), 0, kSideSlot);
  std::set<std::string> objects;
  for (const RequestStep& step : aQuery->steps_) {
    const std::string side = NamedSide(step);
    if (side.empty() ||
        respondedHosts.contains(std::string(kSidePrefix) + side)) {
      continue;
    }
    const std::uint64_t first = SlotOf(step.wallMicros_, 0, kSideSlot);
    const std::uint64_t end = std::min(now + 1, first + kSideSlotsRead);
    for (std::uint64_t slot = first; slot < end; ++slot) {
      objects.insert(SideSegmentName(side, slot));
    }
  }
  for (const std::string& object : objects) {
    ReadSegment(object, aQuery);
  }
  aQuery->Done();
}

void
Explainer::Private::Answer(const SharedExplainQuery& aQuery)
{
  StepList list{ SortedSteps(std::move(aQuery->steps_)) };
  HttpAnswer answer;
  answer.status_ = list.steps_.empty() ? 404 : 200;
  answer.body_ = ToJson(list) + "\n";
  aQuery->exchange_.Answer(answer);
}

Explainer::Explainer(const Journal& aJournal,
                     const MembershipListener& aMembership,
                     const EntryDirectory& aDirectory,
                     TableClient& aStore)
  : private_(
      std::make_unique<Private>(aJournal, aMembership, aDirectory, aStore))
{
}

Explainer::~Explainer() = default;

void
Explainer::AddRoutes(OperatorRoutes& aRoutes)
{
  Private* self = private_.get();
  aRoutes.Add("GET", "/v1/explain", [self](const HttpExchange& aExchange) {
    self->Explain(aExchange);
  });
  aRoutes.Add("GET", "/v1/recall", [self](const HttpExchange& aExchange) {
    self->Recall(aExchange);
  });
}

}
