#pragma once

#include "Connection/KeyRing.h"
#include "Connection/WireMessages.h"
#include "Request/Failure.h"

#include <span>
#include <string>

namespace cactusrail {

/**
 * Encodes a message as a datagram: its frame and, if the ring has keys, a tag.
 * A replayed datagram has a valid tag; the receiver detects the replay by the
 * message's sequence and incarnation, which the tag covers.
 */
std::string
EncodeDatagram(const WireMessage& aMessage, const KeyRing& aRing);

/**
 * Decodes the message of a datagram. Fails with Refused if no key of the ring
 * produced its tag, and with BadInput if the message can't be decoded. No part
 * of the message is decoded before its tag has been verified.
 */
Result<WireMessage>
DecodeDatagram(std::span<const char> aBytes, const KeyRing& aRing);

/** EncodeDatagram() with the keys of this process. */
std::string
EncodeDatagram(const WireMessage& aMessage);

/** DecodeDatagram() with the keys of this process; failures are counted. */
Result<WireMessage>
DecodeDatagram(std::span<const char> aBytes);

}
