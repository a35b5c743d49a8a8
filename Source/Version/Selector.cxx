#include "Version/Selector.h"

#include <algorithm>

namespace cactusrail {

bool
Selector::Part::Matches(const Labels& aLabels) const
{
  const auto found =
    std::find_if(aLabels.begin(), aLabels.end(), [this](const auto& aLabel) {
      return aLabel.first == name_;
    });
  const bool exists = found != aLabels.end();
  switch (test_) {
    case Test::Equals:
      return exists && found->second == value_;
    case Test::Differs:
      return !exists || found->second != value_;
    default:
      return exists;
  }
}

Result<Selector>
Selector::Parse(std::string_view aText)
{
  Selector selector;
  if (aText == "*") {
    return selector;
  }
  std::size_t from = 0;
  while (from <= aText.size()) {
    const std::size_t comma = std::min(aText.find(',', from), aText.size());
    const std::string_view word = aText.substr(from, comma - from);
    from = comma + 1;
    const std::size_t equals = word.find('=');
    const bool differs =
      equals != std::string_view::npos && equals > 0 && word[equals - 1] == '!';
    Part part;
    part.name_ = std::string(word.substr(0, differs ? equals - 1 : equals));
    if (part.name_.empty()) {
      return NotRun(
        FailureKind::BadInput,
        "The selector '" + std::string(aText) +
          "' has a part without a label name; write "
          "NAME=VALUE, NAME!=VALUE or NAME, or * to select all work.");
    }
    if (equals != std::string_view::npos) {
      part.test_ = differs ? Test::Differs : Test::Equals;
      part.value_ = std::string(word.substr(equals + 1));
    }
    selector.parts_.push_back(std::move(part));
  }
  return selector;
}

bool
Selector::Matches(const Labels& aLabels) const
{
  return std::all_of(parts_.begin(), parts_.end(), [&](const Part& aPart) {
    return aPart.Matches(aLabels);
  });
}

}
