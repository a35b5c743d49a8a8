#include "Connection/KeyRing.h"

#include <QByteArray>

#include <algorithm>

namespace cactusrail {

namespace {

constexpr std::size_t kMinHexDigits = 64;
constexpr std::size_t kMaxHexDigits = 256;
constexpr std::size_t kMaxIdLength = 16;

/** Reports an invalid key without revealing any part of it. */
Failure
BadKey(std::size_t aNumber, std::string_view aExpected)
{
  return NotRun(FailureKind::BadInput,
                "key " + std::to_string(aNumber) + ": expected " +
                  std::string(aExpected) + ".");
}

bool
IsId(std::string_view aId)
{
  constexpr std::string_view kAllowed = "abcdefghijklmnopqrstuvwxyz"
                                        "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                        "0123456789-_.";
  return !aId.empty() && aId.size() <= kMaxIdLength &&
         aId.find_first_not_of(kAllowed) == std::string_view::npos;
}

bool
IsSecret(std::string_view aHex)
{
  return aHex.size() >= kMinHexDigits && aHex.size() <= kMaxHexDigits &&
         aHex.size() % 2 == 0 &&
         aHex.find_first_not_of("0123456789abcdefABCDEF") ==
           std::string_view::npos;
}

std::string_view
TrimSpaces(std::string_view aText)
{
  constexpr std::string_view kBlank = " \t\r\n";
  const std::size_t first = aText.find_first_not_of(kBlank);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kBlank) - first + 1);
}

}

Result<KeyRing>
KeyRing::Parse(std::string_view aText)
{
  KeyRing ring;
  std::string_view rest = TrimSpaces(aText);
  bool more = !rest.empty();
  while (more) {
    const std::size_t comma = rest.find(',');
    const std::string_view part = TrimSpaces(rest.substr(0, comma));
    more = comma != std::string_view::npos;
    rest = more ? rest.substr(comma + 1) : std::string_view();
    const std::size_t number = ring.keys_.size() + 1;
    const std::size_t colon = std::min(part.find(':'), part.size());
    const std::string_view id = part.substr(0, colon);
    const std::string_view hex =
      colon == part.size() ? std::string_view() : part.substr(colon + 1);
    if (!IsId(id) || !IsSecret(hex)) {
      return BadKey(number,
                    "ID:HEX with an id of at most 16 letters or digits and 64 "
                    "to 256 hex digits");
    }
    if (ring.Find(id) != nullptr || number > kMaxKeys) {
      return BadKey(number, "at most 4 keys with different ids");
    }
    const QByteArray bytes = QByteArray::fromHex(
      QByteArray(hex.data(), static_cast<qsizetype>(hex.size())));
    ring.keys_.push_back({ std::string(id), bytes.toStdString() });
  }
  return ring;
}

const SharedKey*
KeyRing::Find(std::string_view aId) const
{
  const auto found =
    std::find_if(keys_.begin(), keys_.end(), [aId](const SharedKey& aKey) {
      return aKey.id_ == aId;
    });
  return found == keys_.end() ? nullptr : &*found;
}

std::shared_ptr<const KeyRing>
KeyHolder::Current() const
{
  const std::lock_guard lock(mutex_);
  return ring_;
}

void
KeyHolder::Replace(KeyRing aRing)
{
  auto ring = std::make_shared<const KeyRing>(std::move(aRing));
  const std::lock_guard lock(mutex_);
  ring_ = std::move(ring);
}

KeyHolder&
KeyHolder::OfProcess()
{
  static KeyHolder holder;
  return holder;
}

}
