#pragma once

#include "Connection/WireMessages.h"
#include "Process/Instant.h"
#include "Request/Failure.h"
#include "Request/RequestStep.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace cactusrail {

/** The side's name for the connection that an attempt came over. */
using LinkId = std::uint64_t;

/** What an upstream says of itself when it announces itself to its side. */
struct Announcement
{
  std::string service_;
  Labels labels_;
  std::string address_;
  std::uint16_t port_ = 0;
  /** How many requests it serves at once. */
  std::uint16_t slots_ = 0;
  /** Changes with every start of the upstream. */
  std::uint64_t incarnation_ = 0;
  /** The announcement is void unless repeated before this. */
  Instant deadline_;
};

/** Tell the I/O layer: call the upstream. */
struct CallUpstream
{
  std::string attemptId_;
  std::string url_;
  DispatchMessage dispatch_;
  Instant deadline_;
};

/** Tell the I/O layer: send an answer to the entry that dispatched. */
struct SendAnswer
{
  LinkId link_ = 0;
  AnswerMessage answer_;
};

/** Tell the I/O layer: remember a step for explain. */
struct RecordStep
{
  RequestStep step_;
};

using SideAction = std::variant<CallUpstream, SendAnswer, RecordStep>;

/**
 * What a side decides: which attempts run at its upstream, which wait and which
 * are refused. Pure: events and a time in, actions out. Owned by SideProcess,
 * which runs the actions; tests drive it on a virtual clock.
 */
class SideCore
{
public:
  struct Limits
  {
    /** Attempts that wait for a slot; more are refused at once. Some 300 bytes
     * each besides what they carry. */
    std::size_t maxQueued_ = 256;
    /** How long the entry should wait after a refusal, at least. */
    Millis retryAfter_{ 200 };
    /** Bodies of those that wait: sixteen of the largest, of a process's 128
     * MB. */
    std::size_t maxQueuedBytes_ = 16U << 20U;
    /** What an attempt is taken to need at the upstream until answers were
     * seen.
     */
    Micros expectedService_{ 20000 };
    /** Upstream incarnations that are known to be over. */
    std::size_t maxPastIncarnations_ = 64;
    /** How long past its deadline an at-most-once request is listened for. */
    Millis outcomeGrace_{ 10000 };
  };

  explicit SideCore(const Limits& aLimits);
  ~SideCore();

  /** The upstream announced itself, anew or again. */
  std::vector<SideAction> OnAnnounce(const Announcement& aAnnouncement,
                                     Instant aNow);

  /**
   * The upstream said goodbye: what it runs may finish, nothing new starts.
   * Incarnation 0, if it did not name one, means the latest announced.
   */
  std::vector<SideAction> OnGoodbye(std::uint64_t aIncarnation, Instant aNow);

  std::vector<SideAction> OnDispatch(LinkId aLink,
                                     const DispatchMessage& aDispatch,
                                     Instant aNow);
  std::vector<SideAction> OnCancel(LinkId aLink,
                                   const CancelMessage& aCancel,
                                   Instant aNow);

  /** The upstream's whole answer to an attempt. */
  std::vector<SideAction> OnUpstreamAnswer(const std::string& aAttemptId,
                                           int aStatus,
                                           const HeaderList& aHeaders,
                                           const std::string& aBody,
                                           Instant aNow);

  /** The call to the upstream failed; the failure says what is known. */
  std::vector<SideAction> OnUpstreamFailure(const std::string& aAttemptId,
                                            const Failure& aFailure,
                                            Instant aNow);

  /** The connection to an entry ended: what it queued is dropped. */
  std::vector<SideAction> OnLinkLost(LinkId aLink, Instant aNow);

  /** A planned stop began: nothing new is taken, what is here finishes. */
  std::vector<SideAction> OnStop(Instant aNow);

  /** The stop reached its bound: all that is left is answered now. */
  std::vector<SideAction> OnStopBound(Instant aNow);

  /** Time passed: expired attempts and announcements go. */
  std::vector<SideAction> OnTick(Instant aNow);

  /** The facts of the next heartbeat; identity and address are the caller's. */
  HeartbeatMessage Heartbeat(Instant aNow) const;

  /** Nothing is queued or running: a planned stop may end. */
  bool Idle() const;

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
