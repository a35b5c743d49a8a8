#pragma once

#include "Connection/WireMessages.h"
#include "Request/Failure.h"

#include <string>
#include <string_view>
#include <vector>

namespace cactusrail {

/**
 * Selects work by its labels, for instance "team=clerks,urgency!=high,owner".
 * All parts must match; a name without a value requires that the label exists.
 * "*" selects all work. An empty selector is an error, so that a missing
 * argument cannot stop all work.
 */
class Selector
{
public:
  /** Fails with BadInput if a part has no label name. */
  static Result<Selector> Parse(std::string_view aText);

  bool Matches(const Labels& aLabels) const;

private:
  enum class Test : std::uint8_t
  {
    Equals,
    Differs,
    Exists,
  };

  struct Part
  {
    std::string name_;
    Test test_ = Test::Exists;
    std::string value_;

    bool Matches(const Labels& aLabels) const;
  };

  std::vector<Part> parts_;
};

}
