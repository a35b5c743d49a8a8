#pragma once

#include "Connection/HttpCaller.h"
#include "Connection/KeyRing.h"
#include "Request/Failure.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cactusrail {

/** The parts of a request to an operators' address that a signature covers. */
struct SignedRequest
{
  std::string_view method_;
  /** "IP:PORT" of the process that receives the request. */
  std::string_view host_;
  /** Path and query. */
  std::string_view target_;
  std::string_view body_;
};

/**
 * Returns the Authorization header "HMAC id:seconds-nonce:tag" for a request.
 * The key itself is never sent. aNonce must be kNonceBytes long.
 */
std::string
SignRequest(const SignedRequest& aRequest,
            const SharedKey& aKey,
            std::int64_t aUnixSeconds,
            std::string_view aNonce);

/** Signs a call with the key of this process; no-op if there is no key. */
void
SignCall(HttpCall& aCall);

/**
 * Verifies the signatures of requests to an operators' address. Its only state
 * is the nonces of the last minutes; clock and keys are passed in.
 */
class SignatureChecker
{
public:
  /** Maximum clock difference between two hosts, in seconds. */
  static constexpr std::int64_t kMaxSkewSeconds = 60;
  /** Maximum number of stored nonces; signed requests beyond it are rejected.
   */
  static constexpr std::size_t kMaxNonces = 100000;

  /** Returns true, or fails with Refused and a message for the operator. */
  Result<bool> Check(const SignedRequest& aRequest,
                     std::string_view aAuthorization,
                     const KeyRing& aRing,
                     std::int64_t aUnixSeconds);

private:
  /** Expiry time of each nonce, in Unix seconds. */
  std::map<std::string, std::int64_t> nonces_;
};

}
