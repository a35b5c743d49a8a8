#pragma once

#include "Connection/WireMessages.h"

#include <cereal/cereal.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cactusrail {

/** What a worker has, or a task takes. */
struct Resources
{
  /** Thousandths of a processor. */
  std::int64_t milliCpus_ = 0;
  std::int64_t memoryMb_ = 0;
  std::int64_t accelerators_ = 0;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("milliCpus", milliCpus_),
       cereal::make_nvp("memoryMb", memoryMb_),
       cereal::make_nvp("accelerators", accelerators_));
  }

  bool operator==(const Resources&) const = default;

  Resources& operator+=(const Resources& aOther)
  {
    milliCpus_ += aOther.milliCpus_;
    memoryMb_ += aOther.memoryMb_;
    accelerators_ += aOther.accelerators_;
    return *this;
  }

  /** Whether this much fits beside what is taken already. */
  bool FitsIn(const Resources& aCapacity, const Resources& aTaken) const
  {
    return aTaken.milliCpus_ + milliCpus_ <= aCapacity.milliCpus_ &&
           aTaken.memoryMb_ + memoryMb_ <= aCapacity.memoryMb_ &&
           aTaken.accelerators_ + accelerators_ <= aCapacity.accelerators_;
  }
};

/** What kind of work a task does. */
enum class WorkKind : std::uint8_t
{
  /** A replica of a service: urgent. */
  Service = 0,
  Batch = 1,
  /** Stays open until it is stopped: a listing watcher, a reconciliation. */
  Watcher = 2,
};

/** What an operator asked for when creating work. */
struct JobSpec
{
  std::string id_;
  WorkKind kind_ = WorkKind::Batch;
  std::string tenant_;
  /** What it runs; tasks of one program are expected to behave alike. */
  std::string program_;
  Labels labels_;
  bool idempotent_ = false;
  std::uint32_t tasks_ = 1;
  /** Per task, as declared; may be far off. */
  Resources declared_;
  /** Per task, as declared; may be far off. 0 for what does not end. */
  std::uint64_t declaredRunMs_ = 0;

  template<class Archive>
  void serialize(Archive& ar)
  {
    auto kind = static_cast<std::uint8_t>(kind_);
    ar(cereal::make_nvp("id", id_),
       cereal::make_nvp("kind", kind),
       cereal::make_nvp("tenant", tenant_),
       cereal::make_nvp("program", program_),
       cereal::make_nvp("labels", labels_),
       cereal::make_nvp("idempotent", idempotent_),
       cereal::make_nvp("tasks", tasks_),
       cereal::make_nvp("declared", declared_),
       cereal::make_nvp("declaredRunMs", declaredRunMs_));
    kind_ = static_cast<WorkKind>(kind);
  }
};

/** A worker, as the platform registers it in the row "worker/ID". */
struct WorkerRow
{
  std::string id_;
  std::string address_;
  std::uint16_t port_ = 0;
  std::string dataCentre_;
  std::string rack_;
  Resources capacity_;
  /** Changes with every start of the worker. */
  std::uint64_t incarnation_ = 0;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("id", id_),
       cereal::make_nvp("address", address_),
       cereal::make_nvp("port", port_),
       cereal::make_nvp("dataCentre", dataCentre_),
       cereal::make_nvp("rack", rack_),
       cereal::make_nvp("capacity", capacity_),
       cereal::make_nvp("incarnation", incarnation_));
  }
};

}
