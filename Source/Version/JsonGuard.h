#pragma once

#include <string>
#include <string_view>

namespace cactusrail {

/**
 * What in a text would harm the JSON library; empty if nothing would.
 *
 * Failures guarded against, found by fuzzing (Tests/Fuzz, target
 * "configuration"): a number of some hundred digits makes the library's number
 * reader read beyond its tables and the process dies; a text of nothing but
 * opening brackets overflows the stack. Whoever reaches an HTTP address could
 * send either. Numbers of more than 32 characters and nesting deeper than 16
 * are refused before the library sees them; no record of ours comes near.
 */
std::string
FindJsonHazard(std::string_view aText);

}
