#pragma once

#include "Connection/WireMessages.h"
#include "Process/EntrySettings.h"
#include "Process/Instant.h"
#include "Process/Journal.h"
#include "Request/Failure.h"
#include "Version/ConfigurationHolder.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace cactusrail {

/**
 * One thread of an entry that serves callers: its own listening socket on the
 * shared port, its own EntryCore, connections to sides and table client. Lanes
 * share only the configuration and the journal. Owned by EntryProcess; its
 * functions may be called from any thread.
 */
class Lane
{
public:
  /** aPort 0 takes a free port; see Port(). Blocks until the lane listens. */
  static Result<std::unique_ptr<Lane>> Start(
    const EntrySettings& aSettings,
    std::uint16_t aPort,
    std::uint64_t aIncarnation,
    std::int64_t aLaneNumber,
    ConfigurationHolder& aConfiguration,
    Journal& aJournal);
  ~Lane();

  std::uint16_t Port() const;

  /**
   * Hands on a heartbeat; returns at once. It counts from when this process
   * heard it: a busy lane must not believe longer in a silent side.
   */
  void Observe(const HeartbeatMessage& aHeartbeat, Instant aHeardAt);

  /** A planned stop is near: connections close after their next answer. */
  void CloseAfterAnswers();

  /** No further connections; Drained() follows. */
  void StopListening();

  /** The stop's bound has come: answers all that is open, with its verdict. */
  void GiveUpAll();

  /**
   * The lane has stopped listening, every connection that was made is closed
   * with its answers written, and the table has answered. Never false again.
   */
  bool Drained() const;

  /** Requests without their final answer, a few milliseconds ago. */
  std::size_t InProgress() const;

private:
  class Private;
  explicit Lane(std::unique_ptr<Private> aPrivate);
  std::unique_ptr<Private> private_;
};

}
