#pragma once

#include "Load/LoadDigest.h"
#include "Version/Instant.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace cactusrail {

/** A submitted job, as far as its admission depends on it. */
struct JobDemand
{
  std::string service_;
  std::int64_t priority_ = 0;
  /** Expected work of all tasks, in processor-ms. */
  double work_ = 0;
  /** Expected duration of the longest chain of steps, in ms. */
  double chainMs_ = 0;
  /** Time within which the job should be completed, in ms. */
  double objectiveMs_ = 0;
  /** Time after which its result is of no use, in ms. */
  double usefulMs_ = 0;
};

/** Expected completion of a job, from its submission. */
struct CompletionEstimate
{
  /** Time until the work ahead of the job is completed. */
  double waitMs_ = 0;
  /** Completion on which the decision is based: an early one, or a late one
   * once there is a shortage. */
  double assumedMs_ = 0;
  /** Work ahead, in processor-ms. */
  double workAhead_ = 0;
};

/**
 * Decides which jobs an entry rejects because they cannot be completed while
 * their result is useful, and when their callers should return.
 *
 * The first rejection needs a cautious estimate, under which the job cannot be
 * useful even if it waits for less than expected. From then on there is a
 * shortage, and a job is accepted only if it is useful even if it waits longer
 * than expected: with the cautious estimate alone, a lasting overload would
 * keep the wait at the limit of that estimate, at which hardly any accepted job
 * is useful. The shortage ends when the wait has halved.
 *
 * Rejects only on a fresh digest of the leader with a known rate. Performs no
 * I/O and reads no clock.
 */
class JobAdmission
{
public:
  /** Handles the epoch of the leader. Right after a change of the leader the
   * digest may miss work, and all jobs are accepted. */
  void OnLeader(std::uint64_t aEpoch, Instant aNow);
  /** Handles the leader's answer to a request sent at aAskedAt. */
  void OnDigest(LoadDigest aDigest, Instant aAskedAt, Instant aNow);
  /** Handles the answer that the last digest is still correct. */
  void OnUnchanged(Instant aAskedAt, Instant aNow);

  /** Returns the estimate on which the job must be rejected; none to accept. */
  std::optional<CompletionEstimate> Check(const JobDemand& aDemand,
                                          Instant aNow);
  /** Counts an accepted job until a digest includes it. */
  void OnAccepted(const JobDemand& aDemand, Instant aNow);
  /** Counts a rejected job and returns when its caller should submit it again.
   * Callers return one after the other, at the rate of completion. */
  Millis OnRejected(const JobDemand& aDemand,
                    const CompletionEstimate& aEstimate,
                    Instant aNow);

  const LoadDigest& Digest() const { return digest_; }

private:
  using Key = std::pair<std::string, std::int64_t>;

  struct Accepted
  {
    Instant at_;
    std::string service_;
    std::int64_t priority_ = 0;
    double work_ = 0;
  };

  bool HasFreshDigest(Instant aNow) const;
  const PriorityLoad* LoadOf(const JobDemand& aDemand) const;
  CompletionEstimate EstimateFor(const JobDemand& aDemand,
                                 const PriorityLoad& aLoad,
                                 Instant aNow) const;
  void Confirm(Instant aAskedAt, Instant aNow);

  LoadDigest digest_;
  /** Time at which the leader last confirmed the digest; none without one. */
  std::optional<Instant> receivedAt_;
  std::uint64_t epoch_ = 0;
  Instant epochSince_;
  /** Jobs that this entry accepted and that the digest may not include. */
  std::deque<Accepted> accepted_;
  /** Next time at which a rejected caller may return, by service and
   * priority. */
  std::map<Key, Instant> nextReturn_;
  /** Wait in ms at the first rejection of each shortage, by service and
   * priority. */
  std::map<Key, double> shortages_;
};

}
