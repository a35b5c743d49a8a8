#pragma once

#include "Connection/FleetMessages.h"
#include "Connection/SideLink.h"
#include "Process/Instant.h"

#include <QObject>
#include <QPointer>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace cactusrail {

/**
 * The link of an entry to the entry that leads. Owned by the entry's process.
 *
 * A connection may fall silent without an end: questions have a deadline, and
 * after two without an answer the link is made anew.
 */
class LeaderLink : public QObject
{
  Q_OBJECT

public:
  using Callback = std::function<void(std::optional<FleetAnswerMessage>)>;

  LeaderLink(std::string aNode, double aProcessors);
  ~LeaderLink() override;

  /** Where the leader is; an empty address for none. */
  void SetLeader(const std::string& aAddress, const std::string& aLife);

  /** Asks; the callback comes once, with nothing if there was no answer. */
  void Ask(FleetAskMessage aAsk, Millis aTimeout, Callback aCallback);

  /** Tells without waiting for an answer. */
  void Tell(FleetAskMessage aAsk);

  /** The leader answered not long ago. */
  bool Usable() const;

Q_SIGNALS:
  /** The leader has yielded its row in this version to this entry. */
  void LeaderYields(quint64 aVersion);

private:
  SideLink* Link();
  void OnMessage(const WireMessage& aMessage);
  void OnLost(const QString& aReason);
  void Drop();
  void FailAll();

  std::string node_;
  std::uint32_t milliProcessors_;
  std::string address_;
  std::string life_;
  QPointer<SideLink> link_;
  std::map<std::uint64_t, Callback> open_;
  std::uint64_t nextAsk_ = 1;
  std::uint32_t unanswered_ = 0;
  Instant retryAt_;
};

}
