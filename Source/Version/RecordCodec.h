#pragma once

#include "Connection/BoundedInputArchive.h"
#include "Request/Failure.h"

#include <cereal/archives/portable_binary.hpp>

#include <span>
#include <sstream>
#include <string>
#include <string_view>

namespace cactusrail {

/** Encodes a record as bytes for the table service. */
template<typename Record>
std::string
EncodeRecord(const Record& aRecord)
{
  std::ostringstream stream;
  {
    using Output = cereal::PortableBinaryOutputArchive;
    Output archive(stream, Output::Options::LittleEndian());
    archive(aRecord);
  }
  return std::move(stream).str();
}

/** Decodes a record from bytes of EncodeRecord(). Lengths are checked before
 * memory is allocated. */
template<typename Record>
Result<Record>
DecodeRecord(std::string_view aBytes)
{
  try {
    BoundedInputArchive archive(
      std::span<const char>(aBytes.data(), aBytes.size()));
    Record record;
    archive(record);
    return record;
  } catch (const std::exception& error) {
    return NotRun(FailureKind::BadInput,
                  std::string("The record can't be decoded: ") + error.what());
  }
}

}
