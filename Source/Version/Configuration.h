#pragma once

#include "Connection/WireMessages.h"
#include "Request/Failure.h"

#include <cereal/cereal.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cactusrail {

/** A tenant: the credentials of its callers and its share of the resources. */
struct TenantConfig
{
  std::string name_;
  /** SHA-256 of the key that its callers send, in hex; the key itself is not
   * stored. */
  std::string keySha256_;
  /** Weight of the tenant when tenants compete; at least 1. */
  std::uint32_t share_ = 1;
  /** Maximum CPU that its batch work may hold at once, in thousandths of a
   * core. */
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

/** A service that callers may request by name. */
struct ServiceConfig
{
  std::string name_;
  Labels labels_;
  /** If false, a request other than GET or HEAD runs at most once. */
  bool idempotent_ = false;
  /** Request timeout, in milliseconds. */
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

/** Relative weights of the scheduling goals; one policy engine uses them all.
 */
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
 * The configuration of a deployment, stored by the platform in the row
 * "config/current". Immutable: a configuration is only ever replaced by one
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

/** Parses and validates a configuration. A configuration that fails here is
 * never accepted. */
Result<Configuration>
ParseConfiguration(std::string_view aText);

/** Returns the text that ParseConfiguration() reads. */
std::string
ConfigurationText(const Configuration& aConfiguration);

}
