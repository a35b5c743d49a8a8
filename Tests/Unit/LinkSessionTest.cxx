#include "Connection/LinkSession.h"
#include "Connection/Codec.h"
#include "Connection/DatagramCodec.h"

#include <criterion/criterion.h>

using namespace cactusrail;

namespace {

std::shared_ptr<const KeyRing>
Ring(const std::string& aText)
{
  return std::make_shared<KeyRing>(std::get<KeyRing>(KeyRing::Parse(aText)));
}

std::string
Key(const std::string& aId, char aDigit)
{
  return aId + ":" + std::string(64, aDigit);
}

/** Both ends of one link, connected without a network. */
struct Pair
{
  Pair(const std::string& aOpenerKeys, const std::string& aAcceptorKeys)
    : opener_(FrameDirection::FromOpener, Ring(aOpenerKeys), MakeNonce())
    , acceptor_(FrameDirection::FromAcceptor, Ring(aAcceptorKeys), MakeNonce())
  {
  }

  /** Runs the handshake; returns false as soon as one end fails. */
  bool Handshake()
  {
    std::string toAcceptor = opener_.Start();
    while (!toAcceptor.empty()) {
      const auto atAcceptor = acceptor_.Take(toAcceptor);
      if (!Succeeded(atAcceptor)) {
        return false;
      }
      const auto atOpener =
        opener_.Take(std::get<LinkInput>(atAcceptor).reply_);
      if (!Succeeded(atOpener)) {
        return false;
      }
      toAcceptor = std::get<LinkInput>(atOpener).reply_;
    }
    return opener_.Established() && acceptor_.Established();
  }

  LinkSession opener_;
  LinkSession acceptor_;
};

std::string
CancelFrame(const std::string& aAttempt)
{
  return EncodeFrame(CancelMessage{ aAttempt });
}

/** Returns the number of messages that a session decodes, or -1 if it fails. */
int
MessagesOf(LinkSession& aSession, const std::string& aBytes)
{
  const auto taken = aSession.Take(aBytes);
  const auto* input = std::get_if<LinkInput>(&taken);
  return input == nullptr ? -1 : static_cast<int>(input->messages_.size());
}

}

Test(LinkSession, PeersWithCommonKeyExchangeFrames)
{
  Pair pair(Key("a", '1'), Key("a", '1'));
  cr_assert(pair.Handshake());
  std::string two = pair.opener_.Seal(CancelFrame("x"));
  two += pair.opener_.Seal(CancelFrame("y"));
  const int early = MessagesOf(pair.acceptor_, two.substr(0, 60));
  const int late = MessagesOf(pair.acceptor_, two.substr(60));
  cr_assert(early == 1 && late == 1);
  cr_assert(MessagesOf(pair.opener_, pair.acceptor_.Seal(CancelFrame("z"))) ==
            1);
}

Test(LinkSession, LinkWithoutKeysIsEstablishedImmediately)
{
  Pair pair("", "");
  cr_assert(pair.opener_.Established() && pair.opener_.Start().empty());
  cr_assert(MessagesOf(pair.acceptor_, CancelFrame("x")) == 1);
}

// Guards against links that fail during key rotation. Operators rotate a key
// host by host: first each host accepts the new key, then signs with it, then
// the old key is removed. No pair of hosts may lose its link in between.
Test(LinkSession, KeyRotationHostByHostKeepsLinks)
{
  const std::string oldKey = Key("a", '1');
  const std::string newKey = Key("b", '2');
  const std::vector<std::string> steps{
    oldKey, oldKey + "," + newKey, newKey + "," + oldKey, newKey
  };
  for (std::size_t step = 0; step + 1 < steps.size(); ++step) {
    cr_assert(Pair(steps[step], steps[step + 1]).Handshake());
    cr_assert(Pair(steps[step + 1], steps[step]).Handshake());
  }
}

// Guards against work accepted from an unauthenticated peer that has no key,
// has a different key with the right id, or sends a frame before its proof.
Test(LinkSession, UnauthenticatedPeerIsRejected)
{
  cr_assert(!Pair("", Key("a", '1')).Handshake());
  cr_assert(!Pair(Key("a", '2'), Key("a", '1')).Handshake());
  cr_assert(!Pair(Key("b", '1'), Key("a", '1')).Handshake());
  Pair pair(Key("a", '1'), Key("a", '1'));
  cr_assert(MessagesOf(pair.acceptor_, CancelFrame("x")) == -1);
  Pair large(Key("a", '1'), Key("a", '1'));
  CancelMessage flood;
  flood.attemptId_ = std::string(100000, 'x');
  cr_assert(MessagesOf(large.acceptor_, EncodeFrame(flood).substr(0, 64)) ==
            -1);
}

// Guards against a peer that returns the opener's own proof or replays frames
// recorded on another link: the session key of each link is derived from its
// own nonces.
Test(LinkSession, FramesRecordedOnAnotherLinkAreRejected)
{
  Pair first(Key("a", '1'), Key("a", '1'));
  cr_assert(first.Handshake());
  const std::string recorded = first.opener_.Seal(CancelFrame("x"));
  Pair second(Key("a", '1'), Key("a", '1'));
  cr_assert(second.Handshake());
  cr_assert(MessagesOf(second.acceptor_, recorded) == -1);
}

Test(LinkSession, ReplayedDroppedOrReflectedFrameIsRejected)
{
  for (const char* fault : { "repeat", "drop", "reflect" }) {
    Pair pair(Key("a", '1'), Key("a", '1'));
    cr_assert(pair.Handshake());
    const std::string first = pair.opener_.Seal(CancelFrame("x"));
    const std::string second = pair.opener_.Seal(CancelFrame("y"));
    const std::string name = fault;
    if (name == "repeat") {
      cr_assert(MessagesOf(pair.acceptor_, first) == 1);
      cr_assert(MessagesOf(pair.acceptor_, first) == -1);
    } else if (name == "drop") {
      cr_assert(MessagesOf(pair.acceptor_, second) == -1);
    } else {
      cr_assert(MessagesOf(pair.opener_, first) == -1);
    }
  }
}

Test(LinkSession, TaggedFrameWithAnyFlippedBitIsRejected)
{
  const std::string probe = CancelFrame("x") + std::string(kTagBytes, ' ');
  for (std::size_t bit = 0; bit < probe.size() * 8; ++bit) {
    Pair pair(Key("a", '1'), Key("a", '1'));
    cr_assert(pair.Handshake());
    std::string sealed = pair.opener_.Seal(CancelFrame("x"));
    sealed[bit / 8] = static_cast<char>(sealed[bit / 8] ^ (1 << (bit % 8)));
    cr_assert(MessagesOf(pair.acceptor_, sealed) != 1);
  }
}

// Guards against an attacker that redirects requests to itself by sending
// heartbeats for a side that does not exist or by changing the address in a
// genuine heartbeat.
Test(DatagramSeal, UntaggedOrModifiedDatagramIsRejected)
{
  const auto ring = Ring(Key("a", '1') + "," + Key("b", '2'));
  HeartbeatMessage heartbeat;
  heartbeat.sideId_ = "s1";
  const std::string good = EncodeDatagram(heartbeat, *ring);
  cr_assert(Succeeded(DecodeDatagram(good, *ring)));
  cr_assert(Succeeded(
    DecodeDatagram(EncodeDatagram(heartbeat, *Ring(Key("b", '2'))), *ring)));
  const std::string open = EncodeDatagram(heartbeat, KeyRing());
  const auto untagged = DecodeDatagram(open, *ring);
  cr_assert(std::get<Failure>(untagged).kind_ == FailureKind::Refused);
  for (std::size_t bit = 0; bit < good.size() * 8; ++bit) {
    std::string flipped = good;
    flipped[bit / 8] = static_cast<char>(flipped[bit / 8] ^ (1 << (bit % 8)));
    cr_assert(!Succeeded(DecodeDatagram(flipped, *ring)));
  }
}
