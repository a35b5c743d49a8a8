#pragma once

#include "Process/CommandLine.h"
#include "Process/ExitCode.h"

#include <span>
#include <string>
#include <string_view>

namespace cactusrail {

/** Returns the options --yes and --dry-run of commands with a selector. */
std::span<const CommandOption>
SelectorOptions();

/** Whether a command acts on the objects that its selector matched. */
enum class SelectionDecision : std::uint8_t
{
  Act,
  /** --dry-run: print the matched objects and do nothing. */
  OnlyShow,
  /** Several objects matched, without --yes or a confirmation on the terminal.
   */
  Refuse,
};

/**
 * Decides whether a command acts on the objects that its selector matched.
 * Calls aConfirm only if a terminal is available and a confirmation is needed.
 */
template<typename Ask>
SelectionDecision
DecideSelection(std::size_t aMatches,
                bool aDryRun,
                bool aYes,
                bool aTerminal,
                const Ask& aConfirm)
{
  if (aDryRun) {
    return SelectionDecision::OnlyShow;
  }
  if (aMatches <= 1 || aYes) {
    return SelectionDecision::Act;
  }
  return aTerminal && aConfirm() ? SelectionDecision::Act
                                 : SelectionDecision::Refuse;
}

/**
 * Prints the matched objects if needed, asks for confirmation on a terminal,
 * and prints the reason of a refusal to stderr. aVerb is a verb such as
 * "drain".
 */
SelectionDecision
ConfirmSelection(const CommandLine& aLine,
                 std::string_view aVerb,
                 std::span<const std::string> aMatches);

}
