#include "Process/MembershipListener.h"

#include "Connection/Codec.h"
#include "Connection/DatagramCodec.h"
#include "Process/Log.h"

#include <QUdpSocket>

namespace cactusrail {

namespace {

/** Maximum number of entries in an acknowledgement, so that it fits into one
 * datagram. */
constexpr std::size_t kMaxAckEntries = 32;

}

class MembershipListener::Private : public QObject
{
public:
  void OnDatagram();
  void HandleHeartbeat(const HeartbeatMessage& aHeartbeat,
                       const QHostAddress& aFrom,
                       quint16 aFromPort);
  std::string Table() const;

  std::string entryName_;
  SocketAddress address_;
  ConfigVersion configVersion_;
  KnownEntries knownEntries_;
  OnHeartbeat onHeartbeat_;
  QUdpSocket socket_;
  MembershipView view_;
  std::uint64_t badDatagrams_ = 0;
};

void
MembershipListener::Private::OnDatagram()
{
  while (socket_.hasPendingDatagrams()) {
    QByteArray bytes(kMaxDatagramBytes + 1, Qt::Uninitialized);
    QHostAddress from;
    quint16 fromPort = 0;
    const qint64 size =
      socket_.readDatagram(bytes.data(), bytes.size(), &from, &fromPort);
    if (size < 0 || size > static_cast<qint64>(kMaxDatagramBytes)) {
      ++badDatagrams_;
      continue;
    }
    const Result<WireMessage> message =
      DecodeDatagram({ bytes.constData(), static_cast<std::size_t>(size) });
    const auto* decoded = std::get_if<WireMessage>(&message);
    const auto* heartbeat =
      decoded == nullptr ? nullptr : std::get_if<HeartbeatMessage>(decoded);
    if (heartbeat == nullptr) {
      ++badDatagrams_;
      continue;
    }
    HandleHeartbeat(*heartbeat, from, fromPort);
  }
}

void
MembershipListener::Private::HandleHeartbeat(const HeartbeatMessage& aHeartbeat,
                                             const QHostAddress& aFrom,
                                             quint16 aFromPort)
{
  const Instant now = ReadMonotonicClock();
  const MembershipChange change = view_.Observe(aHeartbeat, now);
  if (change == MembershipChange::Stale) {
    return;
  }
  if (change != MembershipChange::None) {
    LogChange(
      "side-changed",
      { { "side", aHeartbeat.sideId_ },
        { "service", aHeartbeat.service_ },
        { "state", std::to_string(static_cast<int>(aHeartbeat.state_)) } });
  }
  onHeartbeat_(aHeartbeat, now);
  HeartbeatAckMessage ack;
  ack.entryId_ = entryName_;
  ack.sequence_ = aHeartbeat.sequence_;
  ack.configVersion_ = configVersion_();
  ack.entries_.push_back(address_.ip_ + ":" +
                         std::to_string(socket_.localPort()));
  for (std::string& entry : knownEntries_()) {
    if (ack.entries_.size() < kMaxAckEntries) {
      ack.entries_.push_back(std::move(entry));
    }
  }
  const std::string frame = EncodeDatagram(ack);
  socket_.writeDatagram(
    frame.data(), static_cast<qint64>(frame.size()), aFrom, aFromPort);
}

std::string
MembershipListener::Private::Table() const
{
  std::string text;
  const Instant now = ReadMonotonicClock();
  for (const SideView& side : view_.All()) {
    const HeartbeatMessage& facts = side.heartbeat_;
    const bool usable =
      side.usableUntil_ > now && facts.state_ == SideState::Ready;
    text += facts.sideId_ + " " + facts.dataCentre_ + " " + facts.service_ +
            " " + (usable ? "usable" : "unusable") + " " +
            std::to_string(facts.busy_) + "/" + std::to_string(facts.slots_) +
            " config=" + std::to_string(facts.configVersion_) + "\n";
  }
  return text;
}

MembershipListener::MembershipListener(std::unique_ptr<Private> aPrivate)
  : private_(std::move(aPrivate))
{
}

MembershipListener::~MembershipListener() = default;

Result<std::unique_ptr<MembershipListener>>
MembershipListener::Open(const std::string& aEntryName,
                         const SocketAddress& aAddress,
                         ConfigVersion aConfigVersion,
                         KnownEntries aKnownEntries,
                         OnHeartbeat aOnHeartbeat)
{
  auto self = std::make_unique<Private>();
  self->entryName_ = aEntryName;
  self->address_ = aAddress;
  self->configVersion_ = std::move(aConfigVersion);
  self->knownEntries_ = std::move(aKnownEntries);
  self->onHeartbeat_ = std::move(aOnHeartbeat);
  const QHostAddress address(QString::fromStdString(aAddress.ip_));
  if (!self->socket_.bind(address, aAddress.port_)) {
    return NotRun(FailureKind::Unreachable,
                  "Can't open the membership socket " + aAddress.Text() + ": " +
                    self->socket_.errorString().toStdString() + ".");
  }
  Private* raw = self.get();
  QObject::connect(
    &raw->socket_, &QUdpSocket::readyRead, raw, [raw] { raw->OnDatagram(); });
  return std::unique_ptr<MembershipListener>(
    new MembershipListener(std::move(self)));
}

void
MembershipListener::AddRoutes(OperatorRoutes& aRoutes)
{
  const Private* self = private_.get();
  aRoutes.Add("GET", "/v1/sides", [self](const HttpExchange& aExchange) {
    HttpAnswer answer;
    answer.contentType_ = "text/plain";
    answer.body_ = self->Table();
    aExchange.Answer(answer);
  });
  aRoutes.Add("GET", "/v1/counters", [self](const HttpExchange& aExchange) {
    HttpAnswer answer;
    answer.body_ =
      "{\"badDatagrams\":" + std::to_string(self->badDatagrams_) + "}\n";
    aExchange.Answer(answer);
  });
}

std::uint16_t
MembershipListener::Port() const
{
  return private_->socket_.localPort();
}

const MembershipView&
MembershipListener::View() const
{
  return private_->view_;
}

}
