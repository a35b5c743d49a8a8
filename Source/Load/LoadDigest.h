#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cactusrail {

/** Open work of one priority on the workers of one service. */
struct PriorityLoad
{
  std::string service_;
  std::int64_t priority_ = 0;
  /** Expected remaining work of this priority, in processor-ms. */
  double work_ = 0;
  /** Learned rate at which work of this priority is completed while there is a
   * backlog, in processor-ms per ms; 0 if it is not known. */
  double rate_ = 0;
  /** The same for this priority and more urgent ones together. */
  double rateWithMoreUrgent_ = 0;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(service_, priority_, work_, rate_, rateWithMoreUrgent_);
  }
};

/** Learned relation of the estimates of a queue's jobs to the durations of
 * their tasks: ln(duration) = intercept + slope * ln(estimate), both in ms. */
struct QueueRelation
{
  std::string queue_;
  double intercept_ = 0;
  double slope_ = 1;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(queue_, intercept_, slope_);
  }
};

/** State of the load of the fleet, which the leader sends to the entries. */
struct LoadDigest
{
  /** Changes when a figure has changed noticeably; 0 for no digest. */
  std::uint64_t version_ = 0;
  /** Number of entries that accept jobs. */
  std::uint32_t entries_ = 1;
  /** Sorted by service and priority. */
  std::vector<PriorityLoad> loads_;
  std::vector<QueueRelation> queues_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(version_, entries_, loads_, queues_);
  }
};

/** Returns the expected duration of a task in ms: the estimate itself if the
 * digest has no relation for the queue. */
double
ExpectedMillis(const LoadDigest& aDigest,
               std::string_view aQueue,
               std::int64_t aEstimateMs);

/** Returns whether the figures differ so much that entries must receive the new
 * digest. */
bool
DiffersNoticeably(const LoadDigest& aOld, const LoadDigest& aNew);

/** Removes relations, then loads, until the encoded digest is within its size
 * limit. Entries accept jobs whose load is not in the digest. */
void
LimitSize(LoadDigest& aDigest);

}
