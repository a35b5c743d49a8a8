#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cereal/types/common.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <cstring>
#include <span>
#include <stdexcept>
#include <type_traits>

namespace cactusrail {

/**
 * Reads the little-endian output of cereal's PortableBinaryOutputArchive.
 *
 * cereal's own reader resizes a string or vector to the length stated in the
 * message before it checks for the bytes, so a malicious message of nine bytes
 * allocates a gigabyte. This archive first compares every length with the
 * number of bytes left and grows lists element by element, so memory is bounded
 * by the size of the frame. Malformed input throws cereal::Exception, which
 * Codec catches.
 */
class BoundedInputArchive : public cereal::InputArchive<BoundedInputArchive>
{
public:
  explicit BoundedInputArchive(std::span<const char> aBytes)
    : cereal::InputArchive<BoundedInputArchive>(this)
    , bytes_(aBytes)
  {
    std::uint8_t littleEndian = 0;
    ReadBinary(&littleEndian, sizeof(littleEndian));
    if (littleEndian != 1) {
      throw cereal::Exception("The message is not encoded in little endian.");
    }
  }

  void ReadBinary(void* aTarget, std::size_t aSize)
  {
    if (aSize > bytes_.size()) {
      throw cereal::Exception("The message ends before its last field.");
    }
    if (aSize == 0) {
      return;
    }
    std::memcpy(aTarget, bytes_.data(), aSize);
    bytes_ = bytes_.subspan(aSize);
  }

  std::size_t BytesLeft() const { return bytes_.size(); }

private:
  std::span<const char> bytes_;
};

}

/** Names the output archive that corresponds to this input archive. */
template<>
struct cereal::traits::detail::get_output_from_input<
  cactusrail::BoundedInputArchive>
{
  // NOLINTNEXTLINE(readability-identifier-naming): name required by cereal.
  using type = cereal::PortableBinaryOutputArchive;
};

namespace cactusrail {

template<class T>
requires std::is_arithmetic_v<T>
inline void
CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& aArchive, T& aValue)
{
  if constexpr (std::is_same_v<T, bool>) {
    std::uint8_t byte = 0;
    aArchive.ReadBinary(&byte, sizeof(byte));
    if (byte > 1) {
      throw cereal::Exception("The message holds a flag that is neither 0 "
                              "nor 1.");
    }
    aValue = byte == 1;
  } else {
    aArchive.ReadBinary(&aValue, sizeof(aValue));
  }
}

template<class T>
inline void
CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& aArchive,
                          cereal::NameValuePair<T>& aPair)
{
  aArchive(aPair.value);
}

template<class T>
inline void
CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& aArchive,
                          cereal::SizeTag<T>& aTag)
{
  std::uint64_t size = 0;
  aArchive.ReadBinary(&size, sizeof(size));
  if (size > aArchive.BytesLeft()) {
    throw cereal::Exception(
      "The message states a length that exceeds its size.");
  }
  aTag.size = static_cast<std::size_t>(size);
}

template<class T>
inline void
CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& aArchive,
                          cereal::BinaryData<T>& aData)
{
  aArchive.ReadBinary(aData.data, static_cast<std::size_t>(aData.size));
}

/** Loads a list of non-arithmetic elements, growing it element by element. */
template<class T, class Allocator>
requires(!std::is_arithmetic_v<T>) inline void CEREAL_LOAD_FUNCTION_NAME(
  BoundedInputArchive& aArchive,
  std::vector<T, Allocator>& aList)
{
  cereal::size_type size = 0;
  aArchive(cereal::make_size_tag(size));
  aList.clear();
  for (cereal::size_type i = 0; i < size; ++i) {
    T element;
    aArchive(element);
    aList.push_back(std::move(element));
  }
}

}
