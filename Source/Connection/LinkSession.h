#pragma once

#include "Connection/FrameReader.h"
#include "Connection/FrameSigner.h"
#include "Connection/KeyRing.h"
#include "Connection/WireMessages.h"
#include "Request/Failure.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace cactusrail {

/** Result of processing the bytes received on a link. */
struct LinkInput
{
  std::vector<WireMessage> messages_;
  /** Handshake reply, to be written immediately. */
  std::string reply_;
};

/**
 * Handshake and frame tags of one link, without I/O. Both ends prove possession
 * of a key without sending it:
 *
 *   opener    LinkHello(nonce)
 *   acceptor  LinkProof(key id, nonce, tag over both nonces)
 *   opener    LinkProof(key id, tag over both nonces)
 *
 * After the handshake each frame is followed by its tag under a session key
 * derived from both nonces, so frames recorded on another link are rejected.
 * With an empty ring the link is established immediately and has no tags.
 *
 * A link keeps the key it was opened with, so key rotation closes no link.
 */
class LinkSession
{
public:
  LinkSession(FrameDirection aOwnDirection,
              std::shared_ptr<const KeyRing> aRing,
              std::string aNonce);

  /** Returns the bytes that the opener writes first; may be empty. */
  std::string Start();

  /**
   * Processes received bytes. Fails with Refused if the peer's handshake or a
   * tag is invalid, and with BadInput if a frame is malformed; the link must
   * then be closed.
   */
  Result<LinkInput> Take(std::span<const char> aBytes);

  /** Whether the handshake is complete, so that frames may be sent. */
  bool Established() const { return established_; }

  /** Returns the frame with its tag; the link must be established. */
  std::string Seal(std::string aFrame);

private:
  std::optional<Failure> ProcessHandshake(const WireMessage& aMessage,
                                          LinkInput& aInput);
  std::optional<Failure> ProcessHello(const LinkHelloMessage& aHello,
                                      LinkInput& aInput);
  std::optional<Failure> ProcessProof(const LinkProofMessage& aProof,
                                      LinkInput& aInput);
  std::string SessionKey(const SharedKey& aKey) const;
  void Establish(const std::string& aSessionKey);
  bool IsOpener() const { return direction_ == FrameDirection::FromOpener; }

  FrameDirection direction_;
  std::shared_ptr<const KeyRing> ring_;
  std::string ownNonce_;
  std::string peerNonce_;
  bool established_;
  FrameReader reader_;
  std::string sessionKey_;
  std::optional<FrameSigner> outgoingSigner_;
  std::optional<FrameSigner> incomingSigner_;
};

}
