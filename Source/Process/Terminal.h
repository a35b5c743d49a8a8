#pragma once

#include <cstdint>
#include <string_view>

namespace cactusrail {

/** A standard stream of the process. */
enum class Stream : std::uint8_t
{
  Input,
  Output,
  Error,
};

/** Whether a person is at the other end. */
bool
IsTerminal(Stream aStream);

/**
 * Shows how far a long operation has come, on one line of stderr that is
 * written over. Nothing is written unless stderr is a terminal.
 */
class ProgressLine
{
public:
  ProgressLine();
  /** Ends the line if there is one. */
  ~ProgressLine();

  void Show(std::string_view aText);

private:
  bool terminal_;
  bool shown_ = false;
};

}
