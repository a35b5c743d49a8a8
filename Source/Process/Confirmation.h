#pragma once

#include "Process/CommandLine.h"
#include "Process/ExitCode.h"

#include <span>
#include <string>
#include <string_view>

namespace cactusrail {

/** The options --yes and --dry-run of commands that choose by a selector. */
std::span<const CommandOption>
ChoiceOptions();

/** What an operator's choice of things to act upon may lead to. */
enum class ChoiceDecision : std::uint8_t
{
  Act,
  /** --dry-run: the choice was printed, nothing is done. */
  OnlyShow,
  /** More than one thing, and neither --yes nor a yes on the terminal. */
  Refuse,
};

/**
 * Decides whether a command acts on what its selector chose. Pure; aAnswer is
 * asked only if a terminal is there to ask.
 */
template<typename Ask>
ChoiceDecision
DecideChoice(std::size_t aChosen,
             bool aDryRun,
             bool aYes,
             bool aTerminal,
             const Ask& aAnswer)
{
  if (aDryRun) {
    return ChoiceDecision::OnlyShow;
  }
  if (aChosen <= 1 || aYes) {
    return ChoiceDecision::Act;
  }
  return aTerminal && aAnswer() ? ChoiceDecision::Act : ChoiceDecision::Refuse;
}

/**
 * Shows what was chosen where that is wanted, asks on a terminal, and says on
 * stderr why nothing is done if it is refused. aVerb is "drain".
 */
ChoiceDecision
ConfirmChoice(const CommandLine& aLine,
              std::string_view aVerb,
              std::span<const std::string> aChosen);

}
