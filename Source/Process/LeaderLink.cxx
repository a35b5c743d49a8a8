#include "Process/LeaderLink.h"

#include "Process/FleetTimings.h"
#include "Process/Log.h"
#include "Process/SocketAddress.h"

#include <utility>

namespace cactusrail {

namespace {

constexpr std::uint32_t kMaxUnanswered = 2;
constexpr Millis kRetry{ 200 };
/** Timeout of a heartbeat; late answers still count as a sign of life. */
constexpr Millis kHeartbeatTimeout{ 1000 };

}

LeaderLink::LeaderLink(std::string aNode, double aProcessors, double aLinkMbps)
  : node_(std::move(aNode))
  , milliProcessors_(static_cast<std::uint32_t>(1000 * aProcessors))
  , linkMbps_(static_cast<std::uint32_t>(aLinkMbps))
{
  connect(&heartbeat_, &QTimer::timeout, this, [this] { SendHeartbeat(); });
}

LeaderLink::~LeaderLink()
{
  if (!link_.isNull()) {
    link_->disconnect();
    delete link_;
  }
}

void
LeaderLink::SetLeader(const std::string& aAddress,
                      const std::string& aIncarnation)
{
  if (address_ == aAddress && incarnation_ == aIncarnation) {
    return;
  }
  address_ = aAddress;
  incarnation_ = aIncarnation;
  retryAt_ = Instant();
  Drop();
  Link();
}

void
LeaderLink::SetHeartbeat(std::function<std::string()> aSubject,
                         HeartbeatCallback aOnAnswer)
{
  heartbeatSubject_ = std::move(aSubject);
  onHeartbeatAnswer_ = std::move(aOnAnswer);
}

void
LeaderLink::EnableHeartbeat(bool aEnabled)
{
  if (!aEnabled) {
    heartbeat_.stop();
  } else if (!heartbeat_.isActive()) {
    heartbeat_.start(kHeartbeatInterval);
    SendHeartbeat();
  }
}

void
LeaderLink::SendHeartbeat()
{
  if (address_.empty()) {
    return;
  }
  FleetRequestMessage ask;
  ask.question_ = FleetRequestKind::Load;
  ask.subject_ = heartbeatSubject_ ? heartbeatSubject_() : std::string();
  const Instant sentAt = ReadMonotonicClock();
  Ask(std::move(ask),
      kHeartbeatTimeout,
      [this, sentAt](const std::optional<FleetResponseMessage>& aAnswer) {
        if (aAnswer.has_value() && onHeartbeatAnswer_) {
          onHeartbeatAnswer_(*aAnswer, sentAt);
        }
      });
}

bool
LeaderLink::Usable() const
{
  return !link_.isNull() && unanswered_ == 0;
}

void
LeaderLink::Drop()
{
  if (!link_.isNull()) {
    link_->disconnect();
    link_->Close();
    link_->deleteLater();
    link_.clear();
  }
  unanswered_ = 0;
  FailAll();
}

void
LeaderLink::FailAll()
{
  for (auto& [id, callback] : std::exchange(open_, {})) {
    callback(std::nullopt);
  }
}

SideLink*
LeaderLink::Link()
{
  if (!link_.isNull()) {
    return link_;
  }
  const Result<SocketAddress> address = ParseSocketAddress(address_);
  if (!Succeeded(address) || ReadMonotonicClock() < retryAt_) {
    return nullptr;
  }
  const auto& target = std::get<SocketAddress>(address);
  link_ = new SideLink(target.ip_, target.port_, nullptr);
  connect(link_,
          &SideLink::Received,
          this,
          [this](const WireMessage& aMessage) { OnMessage(aMessage); });
  connect(link_,
          &SideLink::Lost,
          this,
          [this](bool aNeverConnected, const QString& aReason) {
            if (aNeverConnected) {
              Q_EMIT NotOpened();
            }
            OnLost(aReason);
          });
  link_->Send(
    FleetHelloMessage{ node_, false, 0, milliProcessors_, linkMbps_ });
  return link_;
}

void
LeaderLink::OnLost(const QString& aReason)
{
  LogChange("leader-link-lost",
            { { "leader", address_ }, { "reason", aReason.toStdString() } });
  retryAt_ = ReadMonotonicClock() + kRetry;
  Drop();
  QTimer::singleShot(kRetry, this, [this] { Link(); });
}

void
LeaderLink::OnMessage(const WireMessage& aMessage)
{
  const auto* answer = std::get_if<FleetResponseMessage>(&aMessage);
  if (answer == nullptr) {
    return;
  }
  unanswered_ = 0;
  Q_EMIT Answered();
  if (answer->outcome_ == FleetOutcome::TakeOver) {
    Q_EMIT LeaderYields(answer->value_);
    return;
  }
  const auto found = open_.find(answer->id_);
  if (found == open_.end()) {
    return;
  }
  const Callback callback = std::move(found->second);
  open_.erase(found);
  callback(*answer);
}

void
LeaderLink::Ask(FleetRequestMessage aAsk, Millis aTimeout, Callback aCallback)
{
  SideLink* link = Link();
  if (link == nullptr) {
    aCallback(std::nullopt);
    return;
  }
  aAsk.id_ = nextAsk_++;
  const std::uint64_t id = aAsk.id_;
  open_.emplace(id, std::move(aCallback));
  link->Send(aAsk);
  QTimer::singleShot(aTimeout, this, [this, id] {
    const auto found = open_.find(id);
    if (found == open_.end()) {
      return;
    }
    const Callback callback = std::move(found->second);
    open_.erase(found);
    if (++unanswered_ >= kMaxUnanswered) {
      retryAt_ = ReadMonotonicClock() + kRetry;
      Drop();
    }
    callback(std::nullopt);
  });
}

void
LeaderLink::Notify(FleetRequestMessage aAsk)
{
  if (SideLink* link = Link()) {
    aAsk.id_ = 0;
    link->Send(aAsk);
  }
}

}
