#pragma once

#include "Connection/WireMessages.h"
#include "Process/EntrySettings.h"
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

  /** Hands on a heartbeat; returns at once. */
  void Observe(const HeartbeatMessage& aHeartbeat);

  /** No further connections; calls back, in the lane, when all is answered. */
  void StopListening();

  /** Requests without their final answer; rough, for the planned stop. */
  std::size_t InProgress() const;

private:
  class Private;
  explicit Lane(std::unique_ptr<Private> aPrivate);
  std::unique_ptr<Private> private_;
};

}
