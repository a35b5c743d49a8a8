#include "Connection/OperatorSignature.h"

#include "Connection/FrameSigner.h"

#include <QByteArray>
#include <QCryptographicHash>
#include <QUrl>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <optional>

namespace cactusrail {

namespace {

constexpr std::string_view kScheme = "HMAC ";
constexpr std::string_view kPurpose = "cactusrail operator 1";

Failure
Refuse(std::string aMessage)
{
  return NotRun(FailureKind::Refused, std::move(aMessage));
}

std::string
Hex(std::string_view aBytes)
{
  return QByteArray(aBytes.data(), static_cast<qsizetype>(aBytes.size()))
    .toHex()
    .toStdString();
}

std::string
BodyHash(std::string_view aBody)
{
  return QCryptographicHash::hash(
           QByteArrayView(aBody.data(), static_cast<qsizetype>(aBody.size())),
           QCryptographicHash::Sha256)
    .toHex()
    .toStdString();
}

/** Returns the tag in hex; aTimeAndNonce is "seconds-nonce". */
std::string
TagOf(const SignedRequest& aRequest,
      const SharedKey& aKey,
      std::string_view aTimeAndNonce)
{
  std::string text(kPurpose);
  for (const std::string_view part :
       { aRequest.method_, aRequest.host_, aRequest.target_, aTimeAndNonce }) {
    text += '\n';
    text += part;
  }
  text += '\n';
  text += BodyHash(aRequest.body_);
  return Hex(MakeTag(aKey.secret_, text));
}

/** The parts of "HMAC id:seconds-nonce:tag". */
struct Authorization
{
  std::string_view keyId_;
  std::string_view timeAndNonce_;
  std::int64_t seconds_ = 0;
  std::string_view tag_;
};

std::optional<Authorization>
ReadAuthorization(std::string_view aText)
{
  if (!aText.starts_with(kScheme)) {
    return std::nullopt;
  }
  aText.remove_prefix(kScheme.size());
  const std::size_t first = aText.find(':');
  const std::size_t last = aText.rfind(':');
  if (first == std::string_view::npos || first == last) {
    return std::nullopt;
  }
  Authorization read;
  read.keyId_ = aText.substr(0, first);
  read.timeAndNonce_ = aText.substr(first + 1, last - first - 1);
  read.tag_ = aText.substr(last + 1);
  const char* begin = read.timeAndNonce_.data();
  const auto [stop, error] =
    std::from_chars(begin, begin + read.timeAndNonce_.size(), read.seconds_);
  const auto digits = static_cast<std::size_t>(stop - begin);
  if (error != std::errc() ||
      read.timeAndNonce_.size() != digits + 1 + 2 * kNonceBytes ||
      read.timeAndNonce_[digits] != '-') {
    return std::nullopt;
  }
  return read;
}

}

std::string
SignRequest(const SignedRequest& aRequest,
            const SharedKey& aKey,
            std::int64_t aUnixSeconds,
            std::string_view aNonce)
{
  const std::string timeAndNonce =
    std::to_string(aUnixSeconds) + "-" + Hex(aNonce);
  return std::string(kScheme) + aKey.id_ + ":" + timeAndNonce + ":" +
         TagOf(aRequest, aKey, timeAndNonce);
}

void
SignCall(HttpCall& aCall)
{
  const std::shared_ptr<const KeyRing> ring = KeyHolder::OfProcess().Current();
  if (ring->Empty()) {
    return;
  }
  const std::size_t start = aCall.url_.find("://") + 3;
  const std::size_t slash =
    std::min(aCall.url_.find('/', start), aCall.url_.size());
  const std::string host = aCall.url_.substr(start, slash - start);
  const std::string target = aCall.url_.substr(slash);
  const auto now = std::chrono::duration_cast<std::chrono::seconds>(
    std::chrono::system_clock::now().time_since_epoch());
  aCall.headers_.emplace_back(
    "Authorization",
    SignRequest({ aCall.method_, host, target, aCall.body_ },
                ring->Signer(),
                now.count(),
                MakeNonce()));
}

Result<bool>
SignatureChecker::Check(const SignedRequest& aRequest,
                        std::string_view aAuthorization,
                        const KeyRing& aRing,
                        std::int64_t aUnixSeconds)
{
  const std::optional<Authorization> read = ReadAuthorization(aAuthorization);
  if (!read.has_value()) {
    return Refuse("This address requires a request that is signed with an "
                  "operators' key; use --key-file.");
  }
  const SharedKey* key = aRing.Find(read->keyId_);
  if (key == nullptr ||
      !SameTag(TagOf(aRequest, *key, read->timeAndNonce_), read->tag_)) {
    return Refuse("The request's signature is invalid, or its key is not "
                  "configured in this process.");
  }
  if (read->seconds_ < aUnixSeconds - kMaxSkewSeconds ||
      read->seconds_ > aUnixSeconds + kMaxSkewSeconds) {
    return Refuse("The request was signed more than a minute ago, or the "
                  "clocks of the two hosts differ; synchronize the clocks.");
  }
  std::erase_if(nonces_, [aUnixSeconds](const auto& aNonce) {
    return aNonce.second < aUnixSeconds;
  });
  if (nonces_.size() >= kMaxNonces) {
    return Refuse("Too many signed requests in the last minutes; retry later.");
  }
  // Rejects replayed requests: a nonce is stored for as long as the request's
  // timestamp is accepted.
  const bool fresh = nonces_
                       .emplace(std::string(read->timeAndNonce_),
                                read->seconds_ + kMaxSkewSeconds)
                       .second;
  if (!fresh) {
    return Refuse(
      "The signed request has already been received; sign it again.");
  }
  return true;
}

}
