#pragma once

#include "Connection/HttpFront.h"
#include "Connection/OperatorSignature.h"

#include <string>

namespace cactusrail {

/**
 * Authenticates requests to an operators' address: accepts requests signed with
 * a shared key, and a collector's bearer key for /metrics. /healthz and /readyz
 * need no authentication, since the load balancer does not sign its requests
 * and each of them reveals only one bit. Without keys all requests are
 * accepted, which the settings allow on loopback only. Used in the thread of
 * its front.
 */
class OperatorGuard
{
public:
  /** Sets the address that operators use; signatures for others are refused. */
  void SetAddress(std::string aAddress);
  /** Sets the SHA-256 of the collector's key, in hex; if empty, no bearer key
   * is accepted. */
  void SetCollector(std::string aSha256);

  /** Returns whether the request is allowed; otherwise answers 401 and counts
   * the refusal. */
  bool Passes(const HttpExchange& aExchange);

private:
  bool IsCollector(const HttpExchange& aExchange) const;

  std::string address_;
  std::string collectorSha256_;
  SignatureChecker checker_;
};

}
