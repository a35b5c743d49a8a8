#include "Process/Confirmation.h"

#include "Process/Terminal.h"

#include <array>
#include <iostream>

namespace cactusrail {

namespace {

bool
AskOnTerminal(std::string_view aVerb, std::size_t aCount)
{
  std::cerr << "Really " << aVerb << " these " << aCount << "? [y/N] ";
  std::string answer;
  std::getline(std::cin, answer);
  return answer == "y" || answer == "yes";
}

}

std::span<const CommandOption>
SelectorOptions()
{
  static const std::array<CommandOption, 2> kOptions{ {
    { "yes", "", "act without a question if the selector chose several" },
    { "dry-run", "", "print what would be chosen and do nothing" },
  } };
  return kOptions;
}

SelectionDecision
ConfirmSelection(const CommandLine& aLine,
                 std::string_view aVerb,
                 std::span<const std::string> aMatches)
{
  const bool dryRun = aLine.Given("dry-run");
  const bool yes = aLine.Given("yes");
  const bool terminal = IsTerminal(Stream::Input) && IsTerminal(Stream::Error);
  if (dryRun || (aMatches.size() > 1 && !yes && terminal)) {
    for (const std::string& name : aMatches) {
      (dryRun ? std::cout : std::cerr) << name << '\n';
    }
  }
  const SelectionDecision decision =
    DecideSelection(aMatches.size(), dryRun, yes, terminal, [&] {
      return AskOnTerminal(aVerb, aMatches.size());
    });
  if (decision == SelectionDecision::Refuse) {
    std::cerr << "Nothing was done: the selector matched " << aMatches.size()
              << "; add --yes to " << aVerb << " them all.\n";
  }
  return decision;
}

}
