#include "Connection/LinkSession.h"

#include "Connection/Codec.h"

namespace cactusrail {

namespace {

constexpr std::string_view kSessionPurpose = "cactusrail link 1:";
/** Texts whose tags under the session key are the proofs of the two ends. */
constexpr std::string_view kOpenerProof = "opener holds the key";
constexpr std::string_view kAcceptorProof = "acceptor holds the key";
/** Maximum size in bytes of a frame from an unauthenticated peer. */
constexpr std::size_t kMaxHandshakeFrameBytes = 1024;

Failure
Refuse(std::string aMessage)
{
  return NotRun(FailureKind::Refused, std::move(aMessage));
}

std::string_view
TextOf(std::span<const char> aBytes)
{
  return { aBytes.data(), aBytes.size() };
}

FrameDirection
Opposite(FrameDirection aDirection)
{
  return aDirection == FrameDirection::FromOpener ? FrameDirection::FromAcceptor
                                                  : FrameDirection::FromOpener;
}

}

LinkSession::LinkSession(FrameDirection aOwnDirection,
                         std::shared_ptr<const KeyRing> aRing,
                         std::string aNonce)
  : direction_(aOwnDirection)
  , ring_(std::move(aRing))
  , ownNonce_(std::move(aNonce))
  , established_(ring_->Empty())
{
}

std::string
LinkSession::Start()
{
  if (established_ || !IsOpener()) {
    return {};
  }
  return EncodeFrame(LinkHelloMessage{ ownNonce_ });
}

Result<LinkInput>
LinkSession::Take(std::span<const char> aBytes)
{
  reader_.Append(aBytes);
  LinkInput input;
  for (;;) {
    const bool tagged = incomingSigner_.has_value();
    const std::size_t limit =
      established_ ? kMaxFrameBytes : kMaxHandshakeFrameBytes;
    const Result<std::optional<RawFrame>> next =
      reader_.Next(tagged ? kTagBytes : 0, limit);
    if (const auto* failure = std::get_if<Failure>(&next)) {
      return *failure;
    }
    const auto& raw = std::get<std::optional<RawFrame>>(next);
    if (!raw.has_value()) {
      return input;
    }
    if (tagged && !SameTag(incomingSigner_->NextTag(TextOf(raw->frame_)),
                           TextOf(raw->tag_))) {
      return Refuse("The tag of a received frame is invalid.");
    }
    Result<WireMessage> message = DecodeFrame(raw->frame_);
    if (const auto* failure = std::get_if<Failure>(&message)) {
      return *failure;
    }
    if (established_) {
      input.messages_.push_back(std::move(std::get<WireMessage>(message)));
      continue;
    }
    const std::optional<Failure> refused =
      ProcessHandshake(std::get<WireMessage>(message), input);
    if (refused.has_value()) {
      return *refused;
    }
  }
}

std::optional<Failure>
LinkSession::ProcessHandshake(const WireMessage& aMessage, LinkInput& aInput)
{
  if (const auto* hello = std::get_if<LinkHelloMessage>(&aMessage)) {
    return ProcessHello(*hello, aInput);
  }
  if (const auto* proof = std::get_if<LinkProofMessage>(&aMessage)) {
    return ProcessProof(*proof, aInput);
  }
  return Refuse("The peer sent a message before the handshake was complete.");
}

std::optional<Failure>
LinkSession::ProcessHello(const LinkHelloMessage& aHello, LinkInput& aInput)
{
  if (IsOpener() || !peerNonce_.empty() ||
      aHello.nonce_.size() != kNonceBytes) {
    return Refuse("The peer's handshake message is invalid or out of order.");
  }
  peerNonce_ = aHello.nonce_;
  const SharedKey& key = ring_->Signer();
  sessionKey_ = SessionKey(key);
  LinkProofMessage proof;
  proof.keyId_ = key.id_;
  proof.nonce_ = ownNonce_;
  proof.tag_ = MakeTag(sessionKey_, kAcceptorProof);
  aInput.reply_ += EncodeFrame(proof);
  return std::nullopt;
}

std::optional<Failure>
LinkSession::ProcessProof(const LinkProofMessage& aProof, LinkInput& aInput)
{
  if (!IsOpener()) {
    if (sessionKey_.empty() ||
        !SameTag(MakeTag(sessionKey_, kOpenerProof), aProof.tag_)) {
      return Refuse(
        "The peer's proof does not match the key that was asked for.");
    }
    Establish(sessionKey_);
    return std::nullopt;
  }
  const SharedKey* key = ring_->Find(aProof.keyId_);
  if (key == nullptr || aProof.nonce_.size() != kNonceBytes) {
    return Refuse(
      "The peer uses a key that is not configured in this process.");
  }
  peerNonce_ = aProof.nonce_;
  const std::string sessionKey = SessionKey(*key);
  if (!SameTag(MakeTag(sessionKey, kAcceptorProof), aProof.tag_)) {
    return Refuse("The peer's proof does not match the key with the same id.");
  }
  LinkProofMessage proof;
  proof.keyId_ = key->id_;
  proof.tag_ = MakeTag(sessionKey, kOpenerProof);
  aInput.reply_ += EncodeFrame(proof);
  Establish(sessionKey);
  return std::nullopt;
}

std::string
LinkSession::SessionKey(const SharedKey& aKey) const
{
  const std::string& openerNonce = IsOpener() ? ownNonce_ : peerNonce_;
  const std::string& acceptorNonce = IsOpener() ? peerNonce_ : ownNonce_;
  return MakeTag(aKey.secret_,
                 std::string(kSessionPurpose) + openerNonce + acceptorNonce);
}

void
LinkSession::Establish(const std::string& aSessionKey)
{
  outgoingSigner_.emplace(aSessionKey, direction_);
  incomingSigner_.emplace(aSessionKey, Opposite(direction_));
  established_ = true;
}

std::string
LinkSession::Seal(std::string aFrame)
{
  if (outgoingSigner_.has_value()) {
    aFrame += outgoingSigner_->NextTag(aFrame);
  }
  return aFrame;
}

}
