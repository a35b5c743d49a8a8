#include "Connection/OperatorSignature.h"
#include "Connection/FrameSigner.h"

#include <criterion/criterion.h>

#include <vector>

using namespace cactusrail;

namespace {

constexpr std::int64_t kNow = 1800000000;

const SignedRequest kDrain{ "POST", "127.0.0.1:7001", "/v1/drain?w=1", "{}" };

KeyRing
Ring(const std::string& aText)
{
  return std::get<KeyRing>(KeyRing::Parse(aText));
}

const KeyRing&
OwnRing()
{
  static const KeyRing kRing = Ring("ops:" + std::string(64, '1'));
  return kRing;
}

std::string
Signed(const SignedRequest& aRequest, std::int64_t aSeconds = kNow)
{
  return SignRequest(aRequest, OwnRing().Signer(), aSeconds, MakeNonce());
}

bool
Accepts(const SignedRequest& aRequest,
        const std::string& aAuthorization,
        std::int64_t aSeconds = kNow)
{
  SignatureChecker checker;
  return Succeeded(
    checker.Check(aRequest, aAuthorization, OwnRing(), aSeconds));
}

}

Test(OperatorSignature, SignedRequestIsAccepted)
{
  cr_assert(Accepts(kDrain, Signed(kDrain)));
}

// Guards against an attacker on the network that modifies a signed request:
// another method, worker, entry or body.
Test(OperatorSignature, ModifiedRequestIsRejected)
{
  const std::string signature = Signed(kDrain);
  SignedRequest other = kDrain;
  other.method_ = "PUT";
  cr_assert(!Accepts(other, signature));
  other = kDrain;
  other.host_ = "127.0.0.1:7002";
  cr_assert(!Accepts(other, signature));
  other = kDrain;
  other.target_ = "/v1/drain?w=2";
  cr_assert(!Accepts(other, signature));
  other = kDrain;
  other.body_ = "{ }";
  cr_assert(!Accepts(other, signature));
}

Test(OperatorSignature, MissingForeignAndMalformedSignaturesAreRejected)
{
  const std::string good = Signed(kDrain);
  const KeyRing foreign = Ring("ops:" + std::string(64, '2'));
  cr_assert(!Accepts(kDrain, ""));
  cr_assert(!Accepts(kDrain, "Bearer x"));
  cr_assert(
    !Accepts(kDrain, SignRequest(kDrain, foreign.Signer(), kNow, MakeNonce())));
  for (std::size_t size = 0; size < good.size(); ++size) {
    cr_assert(!Accepts(kDrain, good.substr(0, size)));
  }
  cr_assert(!Accepts(kDrain, "HMAC ops:99999999999999999999-aa:bb"));
}

// Guards against replay of a recorded drain request an hour later, immediately,
// or just before its timestamp expires.
Test(OperatorSignature, ReplayedRequestIsRejected)
{
  const std::int64_t skew = SignatureChecker::kMaxSkewSeconds;
  cr_assert(!Accepts(kDrain, Signed(kDrain), kNow + 3600));
  cr_assert(!Accepts(kDrain, Signed(kDrain), kNow - skew - 1));
  SignatureChecker checker;
  const std::string signature = Signed(kDrain);
  cr_assert(Succeeded(checker.Check(kDrain, signature, OwnRing(), kNow)));
  for (const std::int64_t later : { std::int64_t(0), skew, skew + 1 }) {
    cr_assert(
      !Succeeded(checker.Check(kDrain, signature, OwnRing(), kNow + later)));
  }
}

Test(KeyRing, RejectsMalformedKeyLists)
{
  const std::string hex(64, 'a');
  const std::vector<std::string> malformedTexts{
    std::string("a"), "a:",
    ":" + hex,        "a:" + hex.substr(1),
    "a:" + hex + ",", "a:" + hex + ",a:" + hex,
    "a b:" + hex,     "a:" + hex + "g"
  };
  for (const std::string& text : malformedTexts) {
    cr_assert(!Succeeded(KeyRing::Parse(text)), "%s", text.c_str());
  }
  cr_assert(std::get<KeyRing>(KeyRing::Parse("")).Empty());
  cr_assert(Ring(" a:" + hex + " , b:" + hex + "\n").Keys().size() == 2);
}
