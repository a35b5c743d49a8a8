#pragma once

#include "Process/MembershipView.h"
#include "Process/OperatorRoutes.h"
#include "Process/SettingsFile.h"
#include "Request/Failure.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cactusrail {

/**
 * Receives the sides' heartbeats on an entry's datagram socket, maintains the
 * membership view for operators and passes each heartbeat to a callback. Owned
 * by EntryProcess.
 */
class MembershipListener
{
public:
  using OnHeartbeat =
    std::function<void(const HeartbeatMessage&, Instant aReceivedAt)>;
  using ConfigVersion = std::function<std::uint64_t()>;
  /** Returns the "IP:port" of the other entries' membership sockets. */
  using KnownEntries = std::function<std::vector<std::string>()>;

  static Result<std::unique_ptr<MembershipListener>> Open(
    const std::string& aEntryName,
    const SocketAddress& aAddress,
    ConfigVersion aConfigVersion,
    KnownEntries aKnownEntries,
    OnHeartbeat aOnHeartbeat);
  ~MembershipListener();

  void AddRoutes(OperatorRoutes& aRoutes);

  std::uint16_t Port() const;
  const MembershipView& View() const;

private:
  class Private;
  explicit MembershipListener(std::unique_ptr<Private> aPrivate);
  std::unique_ptr<Private> private_;
};

}
