#include "Process/Explainer.h"

#include "Connection/SideLink.h"
#include "Process/Journal.h"
#include "Process/MembershipListener.h"
#include "Version/JsonText.h"

#include <QTimer>

#include <algorithm>
#include <string>
#include <vector>

namespace cactusrail {

namespace {

constexpr Millis kRecallTimeout{ 1000 };

/** The steps of one request, as operators read them. */
struct StepList
{
  std::vector<RequestStep> steps_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("steps", steps_));
  }
};

/** One question, until the last of those asked has answered or timed out. */
struct Question
{
  HttpExchange exchange_;
  StepList list_;
  std::size_t open_ = 1;

  void Done()
  {
    if (--open_ != 0) {
      return;
    }
    std::stable_sort(list_.steps_.begin(),
                     list_.steps_.end(),
                     [](const RequestStep& aLeft, const RequestStep& aRight) {
                       return aLeft.wallMicros_ < aRight.wallMicros_;
                     });
    HttpAnswer answer;
    answer.status_ = list_.steps_.empty() ? 404 : 200;
    answer.body_ = ToJson(list_) + "\n";
    exchange_.Answer(answer);
  }

  void Take(const RecollectionMessage& aMemory)
  {
    for (const std::string& text : aMemory.steps_) {
      const Result<RequestStep> step = FromJson<RequestStep>(text);
      if (const auto* parsed = std::get_if<RequestStep>(&step)) {
        list_.steps_.push_back(*parsed);
      }
    }
  }
};

}

class Explainer::Private : public QObject
{
public:
  Private(const Journal& aJournal, const MembershipListener& aMembership)
    : journal_(aJournal)
    , membership_(aMembership)
  {
  }

  void Explain(const HttpExchange& aExchange);
  void Ask(const HeartbeatMessage& aSide,
           const std::string& aRequestId,
           const std::shared_ptr<Question>& aQuestion);

  const Journal& journal_;
  const MembershipListener& membership_;
};

void
Explainer::Private::Explain(const HttpExchange& aExchange)
{
  const std::string id = aExchange.Query("id");
  auto question = std::make_shared<Question>(Question{ aExchange, {}, 1 });
  question->list_.steps_ = journal_.Recall(id);
  const std::vector<RequestStep> own = question->list_.steps_;
  for (const SideView& side : membership_.View().All()) {
    const std::string name = "side/" + side.heartbeat_.sideId_;
    const bool named =
      std::any_of(own.begin(), own.end(), [&name](const RequestStep& aStep) {
        return aStep.detail_.ends_with(name);
      });
    if (named) {
      Ask(side.heartbeat_, id, question);
    }
  }
  question->Done();
}

void
Explainer::Private::Ask(const HeartbeatMessage& aSide,
                        const std::string& aRequestId,
                        const std::shared_ptr<Question>& aQuestion)
{
  ++aQuestion->open_;
  auto* link = new SideLink(aSide.address_, aSide.port_, this);
  RecallMessage recall;
  recall.requestId_ = aRequestId;
  link->Send(recall);
  auto* timer = new QTimer(link);
  timer->setSingleShot(true);
  const auto finish = [link, timer, aQuestion] {
    timer->disconnect();
    link->disconnect();
    link->deleteLater();
    aQuestion->Done();
  };
  connect(timer, &QTimer::timeout, this, finish);
  connect(link, &SideLink::Lost, this, finish, Qt::QueuedConnection);
  connect(link,
          &SideLink::Received,
          this,
          [aQuestion, finish](const WireMessage& aMessage) {
            const auto* memory = std::get_if<RecollectionMessage>(&aMessage);
            if (memory != nullptr) {
              aQuestion->Take(*memory);
              finish();
            }
          });
  timer->start(kRecallTimeout);
}

Explainer::Explainer(const Journal& aJournal,
                     const MembershipListener& aMembership)
  : private_(std::make_unique<Private>(aJournal, aMembership))
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
}

}
