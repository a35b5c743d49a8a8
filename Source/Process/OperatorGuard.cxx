#include "Process/OperatorGuard.h"

#include "Connection/FrameSigner.h"
#include "Process/Metrics.h"
#include "Process/OperatorRoutes.h"
#include "Version/Instant.h"

#include <QCryptographicHash>

namespace cactusrail {

namespace {

constexpr std::int64_t kMicrosPerSecond = 1000000;
constexpr int kUnauthorized = 401;
constexpr std::string_view kBearer = "Bearer ";

bool
IsPublicPage(const HttpExchange& aExchange)
{
  return aExchange.Method() == "GET" &&
         (aExchange.Path() == "/healthz" || aExchange.Path() == "/readyz");
}

}

void
OperatorGuard::SetAddress(std::string aAddress)
{
  address_ = std::move(aAddress);
}

void
OperatorGuard::SetCollector(std::string aSha256)
{
  collectorSha256_ = std::move(aSha256);
}

bool
OperatorGuard::IsCollector(const HttpExchange& aExchange) const
{
  const std::string authorization = aExchange.Header("Authorization");
  if (collectorSha256_.empty() || aExchange.Method() != "GET" ||
      aExchange.Path() != "/metrics" || !authorization.starts_with(kBearer)) {
    return false;
  }
  const std::string hash =
    QCryptographicHash::hash(
      QByteArray::fromStdString(authorization.substr(kBearer.size())),
      QCryptographicHash::Sha256)
      .toHex()
      .toStdString();
  return SameTag(hash, collectorSha256_);
}

bool
OperatorGuard::Passes(const HttpExchange& aExchange)
{
  const std::shared_ptr<const KeyRing> ring = KeyHolder::OfProcess().Current();
  if (ring->Empty() || IsPublicPage(aExchange) || IsCollector(aExchange)) {
    return true;
  }
  const Result<bool> checked = checker_.Check(
    { aExchange.Method(), address_, aExchange.Target(), aExchange.Body() },
    aExchange.Header("Authorization"),
    *ring,
    ReadWallClock() / kMicrosPerSecond);
  const auto* failure = std::get_if<Failure>(&checked);
  if (failure == nullptr) {
    return true;
  }
  Metrics::OfProcess().Count(Counter::UnauthenticOperators);
  aExchange.Answer(OperatorError(kUnauthorized, failure->message_));
  return false;
}

}
