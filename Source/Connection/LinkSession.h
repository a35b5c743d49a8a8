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

/** What bytes that arrived on a link led to. */
struct LinkInput
{
  std::vector<WireMessage> messages_;
  /** Of the handshake; to be written at once. */
  std::string reply_;
};

/**
 * The handshake and the tags of one link; no I/O. Both ends prove that they
 * hold a key without sending it:
 *
 *   opener    LinkHello(nonce)
 *   acceptor  LinkProof(key id, nonce, tag over both nonces)
 *   opener    LinkProof(key id, tag over both nonces)
 *
 * From then on each frame is followed by its tag under a key that was made of
 * both nonces, so that nothing recorded on another link is accepted. With an
 * empty ring the link stands at once and has no tags.
 *
 * A link keeps the key it was opened with: changing keys cuts no link.
 */
class LinkSession
{
public:
  LinkSession(FrameDirection aOwnDirection,
              std::shared_ptr<const KeyRing> aRing,
              std::string aNonce);

  /** What the opener writes when the connection stands; may be empty. */
  std::string Start();

  /**
   * Takes bytes that arrived. Fails with Refused if the peer does not prove
   * its key or a tag is wrong; the link must end then.
   */
  Result<LinkInput> Take(std::span<const char> aBytes);

  /** Frames may be sent. */
  bool Established() const { return established_; }

  /** A frame as it is written; the link must be established. */
  std::string Seal(std::string aFrame);

private:
  std::optional<Failure> TakeHandshake(const WireMessage& aMessage,
                                       LinkInput& aInput);
  std::optional<Failure> TakeHello(const LinkHelloMessage& aHello,
                                   LinkInput& aInput);
  std::optional<Failure> TakeProof(const LinkProofMessage& aProof,
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
  std::optional<FrameSigner> outward_;
  std::optional<FrameSigner> inward_;
};

}
