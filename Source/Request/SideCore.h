#pragma once

#include "Connection/WireMessages.h"
#include "Request/Failure.h"
#include "Request/RequestStep.h"
#include "Version/Instant.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace cactusrail {

/** Identifies the connection from which the side received an attempt. */
using LinkId = std::uint64_t;

/** Registration that an upstream sends to its side. */
struct Announcement
{
  std::string service_;
  Labels labels_;
  std::string address_;
  std::uint16_t port_ = 0;
  /** Number of requests that the upstream serves concurrently. */
  std::uint16_t slots_ = 0;
  /** Differs for each start of the upstream. */
  std::uint64_t incarnation_ = 0;
  /** The announcement expires at this time unless it is repeated. */
  Instant deadline_;
};

/** Action: call the upstream. */
struct CallUpstream
{
  std::string attemptId_;
  std::string url_;
  DispatchMessage dispatch_;
  Instant deadline_;
};

/** Action: send an answer to the entry that dispatched the attempt. */
struct SendAnswer
{
  LinkId link_ = 0;
  AnswerMessage answer_;
};

/** Action: store a step for the explain command. */
struct RecordStep
{
  RequestStep step_;
};

using SideAction = std::variant<CallUpstream, SendAnswer, RecordStep>;

/**
 * Decision logic of a side: which attempts run at its upstream, which wait and
 * which are refused. Performs no I/O: handles events with a time and returns
 * actions. Owned by SideProcess, which executes the actions; tests drive it on
 * a virtual clock.
 */
class SideCore
{
public:
  struct Limits
  {
    /** Maximum number of attempts that wait for a slot; more are refused at
     * once. Each takes some 300 bytes in addition to its payload. */
    std::size_t maxQueued_ = 256;
    /** Minimum delay before the entry retries after a refusal. */
    Millis retryAfter_{ 200 };
    /** Maximum total size of the waiting bodies: sixteen of the largest, out of
     * the 128 MB of the process. */
    std::size_t maxQueuedBytes_ = 16U << 20U;
    /** Assumed service time at the upstream until answers are measured. */
    Micros assumedServiceTime_{ 20000 };
    /** Maximum number of ended upstream incarnations that are stored. */
    std::size_t maxEndedIncarnations_ = 64;
    /** Time past its deadline for which the call of an at-most-once request
     * stays open. */
    Millis outcomeGrace_{ 10000 };
  };

  explicit SideCore(const Limits& aLimits);
  ~SideCore();

  /** Handles a first or repeated announcement of the upstream. */
  std::vector<SideAction> OnAnnounce(const Announcement& aAnnouncement,
                                     Instant aNow);

  /**
   * Handles the goodbye of the upstream: running attempts may finish, and no
   * new attempt starts. Incarnation 0 (none given) means the latest announced
   * one.
   */
  std::vector<SideAction> OnGoodbye(std::uint64_t aIncarnation, Instant aNow);

  std::vector<SideAction> OnDispatch(LinkId aLink,
                                     const DispatchMessage& aDispatch,
                                     Instant aNow);
  std::vector<SideAction> OnCancel(LinkId aLink,
                                   const CancelMessage& aCancel,
                                   Instant aNow);

  /** Handles the upstream's complete answer to an attempt. */
  std::vector<SideAction> OnUpstreamAnswer(const std::string& aAttemptId,
                                           int aStatus,
                                           const HeaderList& aHeaders,
                                           const std::string& aBody,
                                           Instant aNow);

  /** Handles a failed call to the upstream; aFailure holds the verdict. */
  std::vector<SideAction> OnUpstreamFailure(const std::string& aAttemptId,
                                            const Failure& aFailure,
                                            Instant aNow);

  /** Drops the queued attempts of an entry whose connection ended. */
  std::vector<SideAction> OnLinkLost(LinkId aLink, Instant aNow);

  /** Starts a planned stop: new attempts are refused, accepted ones finish. */
  std::vector<SideAction> OnStop(Instant aNow);

  /** Answers all remaining attempts when the timeout of the stop expires. */
  std::vector<SideAction> OnStopTimeout(Instant aNow);

  /** Removes expired attempts and announcements. */
  std::vector<SideAction> OnTick(Instant aNow);

  /** Returns the next heartbeat; the caller sets identity and address. */
  HeartbeatMessage Heartbeat(Instant aNow) const;

  /** Whether no attempt is queued or running, so that a planned stop may end.
   */
  bool Idle() const;

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
