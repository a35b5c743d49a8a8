#pragma once

#include "Version/WorkRows.h"

#include <cereal/cereal.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cactusrail {

/** One element of the list of jobs. */
struct JobSummary
{
  std::string id_;
  std::string tenant_;
  std::string wanted_;
  bool over_ = false;
  std::uint32_t tasks_ = 0;
  std::uint32_t completed_ = 0;
  std::uint32_t failed_ = 0;
  std::uint32_t ended_ = 0;
  std::uint32_t held_ = 0;
  std::uint32_t waiting_ = 0;
  /** Number of tasks that may have run and that only an operator restarts. */
  std::uint32_t parked_ = 0;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("id", id_),
       cereal::make_nvp("tenant", tenant_),
       cereal::make_nvp("state", wanted_),
       cereal::make_nvp("over", over_),
       cereal::make_nvp("tasks", tasks_),
       cereal::make_nvp("completed", completed_),
       cereal::make_nvp("failed", failed_),
       cereal::make_nvp("ended", ended_),
       cereal::make_nvp("held", held_),
       cereal::make_nvp("waiting", waiting_),
       cereal::make_nvp("mayHaveRun", parked_));
  }
};

/** Response body of GET /v1/jobs. */
struct JobList
{
  std::vector<JobSummary> jobs_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("jobs", jobs_));
  }
};

/** Summarizes a job's row; aOver is true if the row is under "done/". */
JobSummary
Summarize(const JobRow& aJob, bool aOver);

}
