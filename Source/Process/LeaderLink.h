#pragma once

#include "Connection/FleetMessages.h"
#include "Connection/SideLink.h"
#include "Version/Instant.h"

#include <QObject>
#include <QPointer>
#include <QTimer>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace cactusrail {

/**
 * Link of an entry to the leading entry. Owned by the entry's process.
 *
 * A connection may stop delivering data without being closed. Each request
 * therefore has a timeout, and the link is reopened after two requests without
 * an answer.
 */
class LeaderLink : public QObject
{
  Q_OBJECT

public:
  using Callback = std::function<void(std::optional<FleetResponseMessage>)>;
  /** Receives the answer to a heartbeat and the send time of the heartbeat. */
  using HeartbeatCallback =
    std::function<void(const FleetResponseMessage&, Instant)>;

  LeaderLink(std::string aNode, double aProcessors, double aLinkMbps);
  ~LeaderLink() override;

  /** Sets the address and incarnation of the leader; an empty address means
   * that there is none. */
  void SetLeader(const std::string& aAddress, const std::string& aIncarnation);

  /** Sends a request and calls aCallback exactly once, with std::nullopt if no
   * answer arrives within aTimeout or the link is lost. */
  void Ask(FleetRequestMessage aAsk, Millis aTimeout, Callback aCallback);

  /** Sends a request that expects no answer. */
  void Notify(FleetRequestMessage aAsk);

  /**
   * Sets the subject of heartbeats and the handler of their answers; the
   * handler is not called for heartbeats without an answer.
   */
  void SetHeartbeat(std::function<std::string()> aSubject,
                    HeartbeatCallback aOnAnswer);
  /** Sends a heartbeat every kHeartbeatInterval while aEnabled. */
  void EnableHeartbeat(bool aEnabled);

  /** Returns whether the link is open and no request has timed out since the
   * last answer. */
  bool Usable() const;

Q_SIGNALS:
  /** A message of the leader has arrived. */
  void Answered();
  /** An attempt to open the link has failed. */
  void NotOpened();
  /** The leader has yielded aVersion of its row to this entry. */
  void LeaderYields(quint64 aVersion);

private:
  void SendHeartbeat();
  SideLink* Link();
  void OnMessage(const WireMessage& aMessage);
  void OnLost(const QString& aReason);
  void Drop();
  void FailAll();

  std::string node_;
  std::uint32_t milliProcessors_;
  std::uint32_t linkMbps_;
  std::string address_;
  std::string incarnation_;
  QPointer<SideLink> link_;
  std::map<std::uint64_t, Callback> open_;
  std::uint64_t nextAsk_ = 1;
  std::uint32_t unanswered_ = 0;
  Instant retryAt_;
  QTimer heartbeat_;
  std::function<std::string()> heartbeatSubject_;
  HeartbeatCallback onHeartbeatAnswer_;
};

}
