#include "Version/JsonGuard.h"
#include "Version/Configuration.h"

#include <criterion/criterion.h>

using namespace cactusrail;

// A client sends a number of 800 digits to an HTTP port. Without the guard the
// JSON library reads beyond its table of powers of ten, and the process crashes
// with all its requests. Found by fuzzing the configuration parser.
Test(JsonGuard, RefusesANumberOfManyDigits)
{
  const std::string text =
    "[" + std::string(30, '4') + "." + std::string(800, '5') + "]";
  cr_assert(!FindUnsafeJson(text).empty());
  cr_assert(!Succeeded(ParseConfiguration(text)));
}

// A client sends a megabyte of opening brackets. Without the guard the JSON
// library recurses once per bracket and overflows the stack.
Test(JsonGuard, RefusesDeepNesting)
{
  const std::string text(1U << 20U, '[');
  cr_assert(!FindUnsafeJson(text).empty());
  cr_assert(!Succeeded(ParseConfiguration(text)));
}

// Limits on numbers and nesting must not refuse long strings, such as keys in
// hex.
Test(JsonGuard, AcceptsLongDigitsAndBracketsInsideStrings)
{
  const std::string text =
    "{\"key\":\"" + std::string(64, '7') + std::string(64, '[') + "\\\"\"}";
  cr_assert(FindUnsafeJson(text).empty());
}
