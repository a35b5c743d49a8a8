#pragma once

#include "Connection/HttpFront.h"
#include "Process/OperatorGuard.h"

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace cactusrail {

/**
 * The pages of an entry's operators' address. Each part of the entry adds its
 * own; the address is HTTP, so that operators' usual tools reach it. Owned by
 * EntryProcess, used in its thread.
 */
class OperatorRoutes
{
public:
  using Handler = std::function<void(const HttpExchange&)>;

  /** A page is known by method and path together. */
  void Add(std::string aMethod, std::string aPath, Handler aHandler);

  /** Hands the exchange to its page, or answers 401, 404 or 405. */
  void Handle(const HttpExchange& aExchange);

  OperatorGuard& Guard() { return guard_; }

private:
  std::map<std::pair<std::string, std::string>, Handler> handlers_;
  OperatorGuard guard_;
};

/** An answer in JSON: {"message": ...}, for errors of operators' pages. */
HttpAnswer
OperatorError(int aStatus, const std::string& aMessage);

}
