#pragma once

#include "Connection/WireMessages.h"
#include "Request/Failure.h"

#include <string>
#include <string_view>
#include <vector>

namespace cactusrail {

/**
 * Chooses work by its labels: "team=clerks,urgency!=high,owner". All parts
 * must hold; a bare name asks that the label is there. The empty selector is
 * refused, so that a forgotten argument never stops everything; "*" chooses
 * all.
 */
class Selector
{
public:
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
