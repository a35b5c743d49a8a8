#pragma once

#include "Connection/HttpFront.h"
#include "Connection/OperatorSignature.h"

#include <string>

namespace cactusrail {

/**
 * Lets only those through to an operators' address who hold a shared key:
 * signed requests, and a collector's bearer key for /metrics. /healthz and
 * /readyz are open: the balancer signs nothing and learns one bit from each.
 * Without keys all is open, which settings allow on loopback only. Used in the
 * thread of its front.
 */
class OperatorGuard
{
public:
  /** The address as operators reach it; a signature for another is refused. */
  void SetAddress(std::string aAddress);
  /** The SHA-256 of the collector's key, in hex; empty: none may read. */
  void SetCollector(std::string aSha256);

  /** Answers 401 and counts it if the request may not pass. */
  bool Passes(const HttpExchange& aExchange);

private:
  bool IsCollector(const HttpExchange& aExchange) const;

  std::string address_;
  std::string collectorSha256_;
  SignatureChecker checker_;
};

}
