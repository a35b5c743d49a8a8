#pragma once

#include "Connection/HttpCaller.h"
#include "Connection/KeyRing.h"
#include "Request/Failure.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cactusrail {

/** What a signature covers of a request on an operators' address. */
struct SignedRequest
{
  std::string_view method_;
  /** "IP:PORT" of the process that is asked. */
  std::string_view host_;
  /** Path and query. */
  std::string_view target_;
  std::string_view body_;
};

/**
 * The Authorization header "HMAC id:seconds-nonce:tag" for a request. The key
 * itself is never sent. aNonce is kNonceBytes long.
 */
std::string
SignRequest(const SignedRequest& aRequest,
            const SharedKey& aKey,
            std::int64_t aUnixSeconds,
            std::string_view aNonce);

/** Signs a call with this process's key; does nothing if it has none. */
void
SignCall(HttpCall& aCall);

/**
 * Decides whether a request on an operators' address is signed. Holds the
 * nonces of the last minutes; pure otherwise: clocks and keys are given.
 */
class SignatureChecker
{
public:
  /** How far the clocks of two hosts may be apart, in seconds. */
  static constexpr std::int64_t kMaxSkewSeconds = 60;
  /** Nonces remembered; beyond them signed requests are refused. */
  static constexpr std::size_t kMaxNonces = 100000;

  /** True, or Refused with a sentence for the operator. */
  Result<bool> Check(const SignedRequest& aRequest,
                     std::string_view aAuthorization,
                     const KeyRing& aRing,
                     std::int64_t aUnixSeconds);

private:
  /** When each nonce may be forgotten. */
  std::map<std::string, std::int64_t> nonces_;
};

}
