#pragma once

#include "Connection/FleetMessages.h"
#include "Load/JobAdmission.h"
#include "Process/CallerCall.h"
#include "Version/Instant.h"
#include "Version/JobDescription.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cactusrail {

/**
 * Admission of jobs at an entry: keeps the leader's load digest, and decides
 * which jobs are rejected, with the log events and metrics. While it is
 * disabled, it rejects nothing. Owned by the entry.
 */
class AdmissionControl
{
public:
  void SetEnabled(bool aEnabled) { enabled_ = aEnabled; }
  bool Enabled() const { return enabled_; }

  /** See JobAdmission::OnLeader(). */
  void OnLeader(std::uint64_t aEpoch, Instant aNow);
  /** Subject of the request for the digest: the version that this entry has. */
  std::string KnownVersion() const;
  /** Handles the leader's answer to a request sent at aAskedAt. */
  void OnAnswer(const std::optional<FleetResponseMessage>& aAnswer,
                Instant aAskedAt,
                Instant aNow);
  /** Makes the leader's answer to a request with the version that the asking
   * entry has. */
  static FleetResponseMessage MakeAnswer(const LoadDigest& aDigest,
                                         const std::string& aKnownVersion);

  /** Returns the estimate on which the job must be rejected; none to accept. */
  std::optional<CompletionEstimate> Check(const JobDescription& aJob,
                                          Instant aNow);
  void OnAccepted(const JobDescription& aJob, Instant aNow);
  /** Counts and logs a rejected job and returns the reply. */
  CallerReply Reject(const JobDescription& aJob,
                     const CompletionEstimate& aEstimate,
                     Instant aNow);

private:
  /** Returns none for jobs that are always accepted. */
  std::optional<JobDemand> DemandOf(const JobDescription& aJob) const;
  void ReportWork() const;

  JobAdmission admission_;
  bool enabled_ = false;
};

}
