#include "Version/JsonGuard.h"
#include "Version/Configuration.h"

#include <criterion/criterion.h>

using namespace cactusrail;

// Anyone who reaches an HTTP address of ours sends a number of 800 digits. The
// JSON library reads beyond its table of powers of ten and the process dies
// with all requests in it. Found by fuzzing the configuration's parser.
Test(JsonGuard, RefusesANumberOfManyDigits)
{
  const std::string text =
    "[" + std::string(30, '4') + "." + std::string(800, '5') + "]";
  cr_assert(!FindJsonHazard(text).empty());
  cr_assert(!Succeeded(ParseConfiguration(text)));
}

// The same with a megabyte of opening brackets: the library calls itself for
// each and the stack ends before the text does.
Test(JsonGuard, RefusesDeepNesting)
{
  const std::string text(1U << 20U, '[');
  cr_assert(!FindJsonHazard(text).empty());
  cr_assert(!Succeeded(ParseConfiguration(text)));
}

Test(JsonGuard, TakesLongDigitsAndBracketsInsideStrings)
{
  const std::string text =
    "{\"key\":\"" + std::string(64, '7') + std::string(64, '[') + "\\\"\"}";
  cr_assert(FindJsonHazard(text).empty());
}
