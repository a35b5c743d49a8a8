#pragma once

#include "Connection/WireMessages.h"
#include "Process/EntrySettings.h"
#include "Process/Journal.h"
#include "Request/Failure.h"
#include "Version/ConfigurationHolder.h"
#include "Version/Instant.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace cactusrail {

/**
 * One thread of an entry that serves callers. It has its own listening socket
 * on the shared port, its own EntryCore, connections to sides and table client.
 * Lanes share only the configuration and the journal. Owned by EntryProcess;
 * its functions may be called from any thread.
 */
class Lane
{
public:
  /** Starts a lane; blocks until it listens or fails. With aPort 0 the system
   * chooses a free port; see Port(). */
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
   * Passes on a heartbeat; returns immediately. Its age counts from the receipt
   * by this process, so that a busy lane does not treat an unresponsive side as
   * alive for longer.
   */
  void Observe(const HeartbeatMessage& aHeartbeat, Instant aReceivedAt);

  /** Closes connections after their next answer, ahead of a planned stop. */
  void CloseAfterAnswers();

  /** Accepts no further connections; Drained() becomes true later. */
  void StopListening();

  /** Answers all open requests with their verdicts, at the time limit of a
   * stop. */
  void AnswerOpenRequests();

  /**
   * Whether the lane has stopped listening, all connections are closed with
   * their answers written, and the table has answered. Stays true from then on.
   */
  bool Drained() const;

  /** Number of requests without a final answer; updated every 10 ms while
   * requests are in progress. */
  std::size_t InProgress() const;

private:
  class Private;
  explicit Lane(std::unique_ptr<Private> aPrivate);
  std::unique_ptr<Private> private_;
};

}
