#pragma once

#include "Request/Failure.h"
#include "Version/JsonGuard.h"

#include <cereal/archives/json.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>

#include <sstream>
#include <string>
#include <string_view>

namespace cactusrail {

/** Encodes a record as one line of JSON, with the names that its serialize()
 * uses. */
template<typename Record>
std::string
ToJson(const Record& aRecord)
{
  std::ostringstream stream;
  {
    cereal::JSONOutputArchive archive(
      stream, cereal::JSONOutputArchive::Options::NoIndent());
    const_cast<Record&>(aRecord).serialize(archive);
  }
  std::string text = std::move(stream).str();
  std::erase(text, '\n');
  return text;
}

/** Parses a record from JSON. The failure's message names what is missing or
 * invalid. */
template<typename Record>
Result<Record>
FromJson(std::string_view aText)
{
  const std::string unsafeReason = FindUnsafeJson(aText);
  if (!unsafeReason.empty()) {
    return NotRun(FailureKind::BadInput,
                  "The JSON text is not accepted: " + unsafeReason);
  }
  try {
    std::istringstream stream{ std::string(aText) };
    cereal::JSONInputArchive archive(stream);
    Record record;
    record.serialize(archive);
    return record;
  } catch (const std::exception& error) {
    return NotRun(FailureKind::BadInput,
                  std::string("The JSON text can't be parsed: ") +
                    error.what());
  }
}

}
