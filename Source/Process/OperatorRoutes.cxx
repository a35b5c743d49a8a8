#include "Process/OperatorRoutes.h"

#include "Version/JsonText.h"

#include <algorithm>

namespace cactusrail {

namespace {

struct ErrorBody
{
  std::string message_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("message", message_));
  }
};

}

HttpAnswer
OperatorError(int aStatus, const std::string& aMessage)
{
  HttpAnswer answer;
  answer.status_ = aStatus;
  answer.body_ = ToJson(ErrorBody{ aMessage }) + "\n";
  return answer;
}

void
OperatorRoutes::Add(std::string aMethod, std::string aPath, Handler aHandler)
{
  handlers_[{ std::move(aPath), std::move(aMethod) }] = std::move(aHandler);
}

void
OperatorRoutes::Handle(const HttpExchange& aExchange)
{
  if (!guard_.Passes(aExchange)) {
    return;
  }
  const auto found = handlers_.find({ aExchange.Path(), aExchange.Method() });
  if (found != handlers_.end()) {
    found->second(aExchange);
    return;
  }
  const bool pathKnown = std::any_of(
    handlers_.begin(), handlers_.end(), [&aExchange](const auto& aHandler) {
      return aHandler.first.first == aExchange.Path();
    });
  aExchange.Answer(
    pathKnown
      ? OperatorError(405,
                      "This page does not support the method " +
                        aExchange.Method() + ".")
      : OperatorError(404, "There is no page " + aExchange.Path() + " here."));
}

}
