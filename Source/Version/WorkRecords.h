#pragma once

#include "Connection/WireMessages.h"

#include <cereal/cereal.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cactusrail {

/** Resources of a worker, or resource demand of a task. */
struct Resources
{
  /** CPU, in thousandths of a core. */
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

  /** Whether this demand fits into aCapacity in addition to aTaken. */
  bool FitsIn(const Resources& aCapacity, const Resources& aTaken) const
  {
    return aTaken.milliCpus_ + milliCpus_ <= aCapacity.milliCpus_ &&
           aTaken.memoryMb_ + memoryMb_ <= aCapacity.memoryMb_ &&
           aTaken.accelerators_ + accelerators_ <= aCapacity.accelerators_;
  }
};

/** Kind of work of a task. */
enum class WorkKind : std::uint8_t
{
  /** A replica of a service: urgent. */
  Service = 0,
  Batch = 1,
  /** Runs until it is stopped, such as a listing watcher or a reconciliation.
   */
  Watcher = 2,
};

/** Specification of a job, as given by the operator that created it. */
struct JobSpec
{
  std::string id_;
  WorkKind kind_ = WorkKind::Batch;
  std::string tenant_;
  /** Program that the tasks run; tasks of one program are expected to behave
   * alike. */
  std::string program_;
  Labels labels_;
  bool idempotent_ = false;
  std::uint32_t tasks_ = 1;
  /** Declared resource demand of one task; may be inaccurate. */
  Resources declared_;
  /** Declared duration of one task, in ms; may be inaccurate. 0 for tasks that
   * run until they are stopped. */
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
  /** Differs with every start of the worker. */
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
