#pragma once

#include "Connection/KeyRing.h"
#include "Connection/WireMessages.h"
#include "Request/Failure.h"

#include <span>
#include <string>

namespace cactusrail {

/**
 * A message as a datagram: its frame and, if there are keys, a tag. A repeated
 * datagram has a right tag; the message's sequence and incarnation, which the
 * tag covers, tell the receiver that it is old.
 */
std::string
SealDatagram(const WireMessage& aMessage, const KeyRing& aRing);

/**
 * The message of a datagram. Fails with Refused if no key of the ring made its
 * tag, with BadInput if it can't be read. Nothing of the message is decoded
 * before its tag is known to be right.
 */
Result<WireMessage>
OpenDatagram(std::span<const char> aBytes, const KeyRing& aRing);

/** SealDatagram() with the keys of this process. */
std::string
SealDatagram(const WireMessage& aMessage);

/** OpenDatagram() with the keys of this process; failures are counted. */
Result<WireMessage>
OpenDatagram(std::span<const char> aBytes);

}
