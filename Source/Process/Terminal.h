#pragma once

#include <cstdint>
#include <string_view>

namespace cactusrail {

/** Standard stream of the process. */
enum class Stream : std::uint8_t
{
  Input,
  Output,
  Error,
};

/** Returns whether the stream is connected to a terminal. */
bool
IsTerminal(Stream aStream);

/**
 * Shows the progress of a long operation on one line of stderr, which each
 * update overwrites. Writes nothing unless stderr is a terminal.
 */
class ProgressLine
{
public:
  ProgressLine();
  /** Ends the line if one was written. */
  ~ProgressLine();

  void Show(std::string_view aText);

private:
  bool terminal_;
  bool shown_ = false;
};

}
