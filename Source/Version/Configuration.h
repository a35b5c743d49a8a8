#pragma once

#include "Connection/WireMessages.h"
#include "Request/Failure.h"

#include <cereal/cereal.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cactusrail {

/** A customer's team: who may call, and how much it may hold at once. */
struct TenantConfig
{
  std::string name_;
  /** SHA-256 of the key that its callers send, in hex; keys aren't kept. */
  std::string keySha256_;
  /** Its weight when tenants compete; at least 1. */
  std::uint32_t share_ = 1;
  /** The processors its batch work may hold at once, in thousandths. */
  std::uint64_t quotaMilliCpus_ = 0;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("name", name_),
       cereal::make_nvp("keySha256", keySha256_),
       cereal::make_nvp("share", share_),
       cereal::make_nvp("quotaMilliCpus", quotaMilliCpus_));
  }
};

/** A service that callers may ask for by name. */
struct ServiceConfig
{
  std::string name_;
  Labels labels_;
  /** If false, a request other than GET or HEAD runs at most once. */
  bool idempotent_ = false;
  /** The longest that a request may take, in milliseconds. */
  std::uint32_t timeoutMs_ = 10000;
  bool paused_ = false;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("name", name_),
       cereal::make_nvp("labels", labels_),
       cereal::make_nvp("idempotent", idempotent_),
       cereal::make_nvp("timeoutMs", timeoutMs_),
       cereal::make_nvp("paused", paused_));
  }
};

/** What the deployment weighs; the policy is one engine with these weights. */
struct PolicyWeights
{
  double tailLatency_ = 1.0;
  double batchThroughput_ = 1.0;
  double evictions_ = 1.0;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("tailLatency", tailLatency_),
       cereal::make_nvp("batchThroughput", batchThroughput_),
       cereal::make_nvp("evictions", evictions_));
  }
};

/**
 * The one configuration of a deployment, kept by the platform in the row
 * "config/current". Lives for a version: never changed, only replaced by one
 * with a higher version.
 */
struct Configuration
{
  std::uint64_t version_ = 0;
  std::vector<TenantConfig> tenants_;
  std::vector<ServiceConfig> services_;
  PolicyWeights weights_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("version", version_),
       cereal::make_nvp("tenants", tenants_),
       cereal::make_nvp("services", services_),
       cereal::make_nvp("weights", weights_));
  }

  const ServiceConfig* FindService(std::string_view aName) const;
  const TenantConfig* FindTenantByKey(std::string_view aKeySha256) const;
};

/** Parses and checks; a configuration that fails here is never accepted. */
Result<Configuration>
ParseConfiguration(std::string_view aText);

/** The text that ParseConfiguration reads. */
std::string
ConfigurationText(const Configuration& aConfiguration);

}
