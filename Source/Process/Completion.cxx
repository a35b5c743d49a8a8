#include "Process/Completion.h"

#include "Process/CommandTable.h"

#include <set>

namespace cactusrail {

namespace {

/** Returns the distinct first words, or the second words after aFirst. */
std::string
NextWords(const CommandTable& aTable, const std::string& aFirst)
{
  std::set<std::string> words;
  for (const Command& command : aTable.Commands()) {
    const std::size_t space = command.words_.find(' ');
    const std::string first = command.words_.substr(0, space);
    if (aFirst.empty()) {
      words.insert(first);
    } else if (first == aFirst && space != std::string::npos) {
      words.insert(command.words_.substr(space + 1));
    }
  }
  std::string text;
  for (const std::string& word : words) {
    text += (text.empty() ? "" : " ") + word;
  }
  return text;
}

std::string
OptionWords(const Command& aCommand)
{
  std::string text;
  for (const CommandOption& option : aCommand.AllOptions()) {
    text += (text.empty() ? "--" : " --") + option.name_;
  }
  return text;
}

}

std::string
BashCompletion(const CommandTable& aTable)
{
  std::string script =
    "# bash completion for cactusrail; written by 'cactusrail completion'.\n"
    "_cactusrail()\n"
    "{\n"
    "  local word=${COMP_WORDS[COMP_CWORD]}\n"
    "  local verb=\"${COMP_WORDS[1]} ${COMP_WORDS[2]}\"\n"
    "  local words=\"\"\n"
    "  case \"$verb\" in\n";
  // Two-word commands come first, since bash uses the first matching pattern.
  for (const bool twoWords : { true, false }) {
    for (const Command& command : aTable.Commands()) {
      const bool hasTwo = command.words_.find(' ') != std::string::npos;
      if (hasTwo == twoWords) {
        script += "    \"" + command.words_ + (hasTwo ? "\"" : " \"*") +
                  ") words=\"" + OptionWords(command) + "\" ;;\n";
      }
    }
  }
  script += "  esac\n"
            "  if [ \"$COMP_CWORD\" -eq 1 ]; then\n"
            "    words=\"" +
            NextWords(aTable, "") +
            "\"\n"
            "  elif [ \"$COMP_CWORD\" -eq 2 ]; then\n"
            "    case \"${COMP_WORDS[1]}\" in\n";
  std::set<std::string> groups;
  for (const Command& command : aTable.Commands()) {
    const std::size_t space = command.words_.find(' ');
    const std::string first = command.words_.substr(0, space);
    if (space != std::string::npos && groups.insert(first).second) {
      script +=
        "      " + first + ") words=\"" + NextWords(aTable, first) + "\" ;;\n";
    }
  }
  return script + "    esac\n"
                  "  fi\n"
                  "  mapfile -t COMPREPLY < <(compgen -W \"$words\" -- "
                  "\"$word\")\n"
                  "}\n"
                  "complete -o default -F _cactusrail cactusrail\n";
}

}
