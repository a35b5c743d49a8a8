#include "Process/ConfigurationPeers.h"

#include "Connection/HttpCaller.h"
#include "Connection/OperatorSignature.h"
#include "Connection/SideLink.h"
#include "Version/Instant.h"

#include <QTimer>

#include <map>
#include <utility>

namespace cactusrail {

namespace {

constexpr Millis kPeerTimeout{ 2000 };
constexpr Millis kPushInterval{ 1000 };
/** Number of sides to query at a time. One valid answer is enough; querying
 * several sides tolerates sides that have just ended. */
constexpr std::size_t kSidesPerQuery = 3;
/** Maximum number of stored sides with a higher version; any of them can
 * provide it. */
constexpr std::size_t kMaxNewerSides = 64;

}

class ConfigurationPeers::Private : public QObject
{
public:
  Private(const ConfigurationHolder& aHolder, OnText aOnText)
    : holder_(aHolder)
    , onText_(std::move(aOnText))
  {
  }

  SideLink* Open(const std::string& aAddress, std::uint16_t aPort);
  void Push(const HeartbeatMessage& aSide);
  void QuerySide(const HeartbeatMessage& aSide);
  void QueryEntry(const EntryRecord& aEntry);

  const ConfigurationHolder& holder_;
  OnText onText_;
  HttpCaller caller_;
  /** Earliest time to send the configuration to a side again, by side id. */
  std::map<std::string, Instant> nextPush_;
  /** Sides whose latest heartbeat reported a higher version than the current
   * one, by side id. */
  std::map<std::string, HeartbeatMessage> newerSides_;
};

SideLink*
ConfigurationPeers::Private::Open(const std::string& aAddress,
                                  std::uint16_t aPort)
{
  auto* link = new SideLink(aAddress, aPort, this);
  connect(
    link, &SideLink::Lost, link, &QObject::deleteLater, Qt::QueuedConnection);
  QTimer::singleShot(kPeerTimeout, link, &QObject::deleteLater);
  return link;
}

void
ConfigurationPeers::Private::Push(const HeartbeatMessage& aSide)
{
  const Instant now = ReadMonotonicClock();
  Instant& next = nextPush_[aSide.sideId_];
  if (next > now) {
    return;
  }
  next = now + kPushInterval;
  const std::shared_ptr<const Configuration> held = holder_.Current();
  ConfigMessage message;
  message.version_ = held->version_;
  message.text_ = ConfigurationText(*held);
  Open(aSide.address_, aSide.port_)->Send(message);
}

void
ConfigurationPeers::Private::QuerySide(const HeartbeatMessage& aSide)
{
  SideLink* link = Open(aSide.address_, aSide.port_);
  connect(
    link, &SideLink::Received, this, [this, link](const WireMessage& aMessage) {
      const auto* answer = std::get_if<ConfigMessage>(&aMessage);
      if (answer != nullptr) {
        link->deleteLater();
        onText_(answer->text_);
      }
    });
  link->Send(ConfigRequestMessage{ holder_.Current()->version_ });
}

void
ConfigurationPeers::Private::QueryEntry(const EntryRecord& aEntry)
{
  HttpCall call;
  call.method_ = "GET";
  call.url_ = "http://" + aEntry.operators_ + "/v1/config";
  SignCall(call);
  call.deadline_ = ReadMonotonicClock() + kPeerTimeout;
  caller_.Start(std::move(call), [this](const Result<HttpReply>& aReply) {
    const auto* reply = std::get_if<HttpReply>(&aReply);
    if (reply != nullptr && reply->status_ == 200) {
      onText_(reply->body_);
    }
  });
}

ConfigurationPeers::ConfigurationPeers(const ConfigurationHolder& aHolder,
                                       OnText aOnText)
  : private_(std::make_unique<Private>(aHolder, std::move(aOnText)))
{
}

ConfigurationPeers::~ConfigurationPeers() = default;

void
ConfigurationPeers::OnHeartbeat(const HeartbeatMessage& aHeartbeat)
{
  Private& self = *private_;
  const std::uint64_t held = self.holder_.Current()->version_;
  if (aHeartbeat.configVersion_ < held) {
    self.Push(aHeartbeat);
  } else {
    self.nextPush_.erase(aHeartbeat.sideId_);
  }
  if (aHeartbeat.configVersion_ <= held) {
    self.newerSides_.erase(aHeartbeat.sideId_);
  } else if (self.newerSides_.size() < kMaxNewerSides) {
    self.newerSides_[aHeartbeat.sideId_] = aHeartbeat;
  }
}

void
ConfigurationPeers::RequestConfigurations(
  const std::vector<EntryRecord>& aEntries)
{
  Private& self = *private_;
  for (const EntryRecord& entry : aEntries) {
    self.QueryEntry(entry);
  }
  std::size_t asked = 0;
  for (const auto& [id, side] : self.newerSides_) {
    if (asked++ == kSidesPerQuery) {
      break;
    }
    self.QuerySide(side);
  }
  // Later heartbeats add the sides again that still report a higher version.
  self.newerSides_.clear();
}

}
