#pragma once

#include "Request/Failure.h"

#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactusrail {

/** A key that operators and our processes share. */
struct SharedKey
{
  /** Not secret; says which key made a tag. */
  std::string id_;
  /** The bytes; never logged, shown or sent. */
  std::string secret_;
};

/**
 * The shared keys of a process, from its settings. The first one signs; all
 * are accepted, so that a key can be changed host by host.
 */
class KeyRing
{
public:
  /** Each look-up is a walk, and each unknown tag is tried with every key. */
  static constexpr std::size_t kMaxKeys = 4;

  /** Reads "ID:HEX,ID:HEX"; an empty text gives an empty ring. */
  static Result<KeyRing> Parse(std::string_view aText);

  bool Empty() const { return keys_.empty(); }
  /** The key that signs; the ring must not be empty. */
  const SharedKey& Signer() const { return keys_.front(); }
  const SharedKey* Find(std::string_view aId) const;
  std::span<const SharedKey> Keys() const { return keys_; }

private:
  std::vector<SharedKey> keys_;
};

/**
 * The key ring in force in this process. Safe from any thread; a new ring takes
 * effect with the next connection, datagram or request, and cuts none.
 */
class KeyHolder
{
public:
  std::shared_ptr<const KeyRing> Current() const;
  void Replace(KeyRing aRing);

  /** The holder of this process; empty until main fills it. */
  static KeyHolder& OfProcess();

private:
  mutable std::mutex mutex_;
  std::shared_ptr<const KeyRing> ring_ = std::make_shared<const KeyRing>();
};

}
