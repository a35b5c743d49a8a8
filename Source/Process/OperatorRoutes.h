#pragma once

#include "Connection/HttpFront.h"
#include "Process/OperatorGuard.h"

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace cactusrail {

/**
 * HTTP routes of an entry's operators' address. Each part of the entry adds its
 * own routes. HTTP allows operators to use common tools. Owned by EntryProcess
 * and used in its thread.
 */
class OperatorRoutes
{
public:
  using Handler = std::function<void(const HttpExchange&)>;

  /** Adds a route for a method and path. */
  void Add(std::string aMethod, std::string aPath, Handler aHandler);

  /** Passes the exchange to its handler, or answers 401, 404 or 405. */
  void Handle(const HttpExchange& aExchange);

  OperatorGuard& Guard() { return guard_; }

private:
  std::map<std::pair<std::string, std::string>, Handler> handlers_;
  OperatorGuard guard_;
};

/** Makes an error answer in JSON: {"message": ...}. */
HttpAnswer
OperatorError(int aStatus, const std::string& aMessage);

}
