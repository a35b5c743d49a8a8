#pragma once

#include "Request/Failure.h"

#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactusrail {

/** A key shared by operators and the processes of the system. */
struct SharedKey
{
  /** Public identifier of the key that produced a tag. */
  std::string id_;
  /** Key bytes; never logged, displayed or sent. */
  std::string secret_;
};

/**
 * The shared keys of a process, read from its settings. The first key signs;
 * all keys are accepted, so that a key can be rotated host by host.
 */
class KeyRing
{
public:
  /** Maximum number of keys: look-ups are linear, and verification of an
   * unknown tag tries every key. */
  static constexpr std::size_t kMaxKeys = 4;

  /** Parses "ID:HEX,ID:HEX"; an empty text gives an empty ring. */
  static Result<KeyRing> Parse(std::string_view aText);

  bool Empty() const { return keys_.empty(); }
  /** Returns the signing key; the ring must not be empty. */
  const SharedKey& Signer() const { return keys_.front(); }
  const SharedKey* Find(std::string_view aId) const;
  std::span<const SharedKey> Keys() const { return keys_; }

private:
  std::vector<SharedKey> keys_;
};

/**
 * Holds the current key ring of this process. Thread-safe. A new ring takes
 * effect with the next connection, datagram or request; open connections stay.
 */
class KeyHolder
{
public:
  std::shared_ptr<const KeyRing> Current() const;
  void Replace(KeyRing aRing);

  /** Returns the holder of this process; its ring is empty until main sets it.
   */
  static KeyHolder& OfProcess();

private:
  mutable std::mutex mutex_;
  std::shared_ptr<const KeyRing> ring_ = std::make_shared<const KeyRing>();
};

}
