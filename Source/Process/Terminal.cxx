#include "Process/Terminal.h"

#include <iostream>
#include <unistd.h>

namespace cactusrail {

bool
IsTerminal(Stream aStream)
{
  switch (aStream) {
    case Stream::Input:
      return ::isatty(STDIN_FILENO) == 1;
    case Stream::Output:
      return ::isatty(STDOUT_FILENO) == 1;
    case Stream::Error:
      return ::isatty(STDERR_FILENO) == 1;
  }
  return false;
}

ProgressLine::ProgressLine()
  : terminal_(IsTerminal(Stream::Error))
{
}

ProgressLine::~ProgressLine()
{
  if (shown_) {
    std::cerr << '\n';
  }
}

void
ProgressLine::Show(std::string_view aText)
{
  if (!terminal_) {
    return;
  }
  constexpr std::string_view kEraseLine = "\r\033[K";
  std::cerr << kEraseLine << aText << std::flush;
  shown_ = true;
}

}
