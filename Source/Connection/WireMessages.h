#pragma once

#include "Connection/FleetMessages.h"
#include "Request/Verdict.h"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace cactusrail {

/**
 * The messages between the processes of the system. Every length and list is
 * checked against the received bytes before memory is allocated for it; see
 * BoundedInputArchive. Deadlines are sent as the remaining time in
 * microseconds, because two hosts share no clock; the receiver converts the
 * remaining time to a deadline on arrival.
 */

using HeaderList = std::vector<std::pair<std::string, std::string>>;
using Labels = std::vector<std::pair<std::string, std::string>>;

/** Entry to side: run one attempt of a request at the upstream. */
struct DispatchMessage
{
  std::string requestId_;
  /** Unique over all entries and restarts; the side accepts each only once. */
  std::string attemptId_;
  /** Upstream incarnation that the entry selected; the side refuses the attempt
   * for any other. */
  std::uint64_t upstreamIncarnation_ = 0;
  std::uint64_t remainingMicros_ = 0;
  std::string tenant_;
  bool idempotent_ = false;
  std::string method_;
  std::string target_;
  HeaderList headers_;
  std::string body_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(requestId_,
       attemptId_,
       upstreamIncarnation_,
       remainingMicros_,
       tenant_,
       idempotent_,
       method_,
       target_,
       headers_,
       body_);
  }
};

/** Entry to side: the caller has stopped waiting for this attempt. */
struct CancelMessage
{
  std::string attemptId_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(attemptId_);
  }
};

/** Side to entry: the result of one attempt. */
struct AnswerMessage
{
  std::string requestId_;
  std::string attemptId_;
  Verdict verdict_ = Verdict::MayHaveRun;
  /** HTTP status of the upstream; 0 if the upstream sent no response. */
  std::uint16_t status_ = 0;
  HeaderList headers_;
  std::string body_;
  /** Reason for a missing response, as a complete sentence. */
  std::string reason_;
  std::uint32_t retryAfterMs_ = 0;
  /** Time that the attempt was queued at the side and served at the upstream.
   */
  std::uint64_t queuedMicros_ = 0;
  std::uint64_t servedMicros_ = 0;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(requestId_,
       attemptId_,
       verdict_,
       status_,
       headers_,
       body_,
       reason_,
       retryAfterMs_,
       queuedMicros_,
       servedMicros_);
  }
};

/** Availability of a side to entries. */
enum class SideState : std::uint8_t
{
  NoUpstream = 0,
  Ready = 1,
  Leaving = 2,
};

/** Side to every entry, by datagram, a few times per second. */
struct HeartbeatMessage
{
  std::string sideId_;
  /** Changes with every start of the side process. */
  std::uint64_t sideIncarnation_ = 0;
  /** Increases with every heartbeat of an incarnation; older ones are dropped.
   */
  std::uint64_t sequence_ = 0;
  std::string dataCentre_;
  std::string address_;
  std::uint16_t port_ = 0;
  std::string service_;
  Labels labels_;
  SideState state_ = SideState::NoUpstream;
  std::uint64_t upstreamIncarnation_ = 0;
  std::uint16_t slots_ = 0;
  std::uint16_t busy_ = 0;
  std::uint16_t queued_ = 0;
  std::uint64_t configVersion_ = 0;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(sideId_,
       sideIncarnation_,
       sequence_,
       dataCentre_,
       address_,
       port_,
       service_,
       labels_,
       state_,
       upstreamIncarnation_,
       slots_,
       busy_,
       queued_,
       configVersion_);
  }
};

/** Entry to side, by datagram: acknowledges a heartbeat and lists the known
 * entries. */
struct HeartbeatAckMessage
{
  std::string entryId_;
  std::uint64_t sequence_ = 0;
  std::uint64_t configVersion_ = 0;
  /** "IP:port" of the entries' membership sockets. */
  std::vector<std::string> entries_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(entryId_, sequence_, configVersion_, entries_);
  }
};

/** Either end of a connection: requests the peer's configuration. */
struct ConfigRequestMessage
{
  std::uint64_t heldVersion_ = 0;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(heldVersion_);
  }
};

/** Response to ConfigRequestMessage: the complete configuration, as the text
 * that was accepted. */
struct ConfigMessage
{
  std::uint64_t version_ = 0;
  std::string text_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(version_, text_);
  }
};

/** Entry to side: queries the recorded steps of a request. */
struct HistoryRequestMessage
{
  std::string question_;
  std::string requestId_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(question_, requestId_);
  }
};

/** Side to entry: the recorded steps of a request, as JSON lines of
 * RequestStep. */
struct HistoryResponseMessage
{
  std::string question_;
  std::vector<std::string> steps_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(question_, steps_);
  }
};

/** Opener to acceptor, first message on a link: requests proof of a key. */
struct LinkHelloMessage
{
  /** Newly generated random bytes. */
  std::string nonce_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(nonce_);
  }
};

/** Proof that a peer possesses a shared key; see LinkSession. */
struct LinkProofMessage
{
  std::string keyId_;
  /** Random bytes of the acceptor; empty in the opener's proof. */
  std::string nonce_;
  std::string tag_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(keyId_, nonce_, tag_);
  }
};

/** All messages. The index is the type number on the wire: append only. */
using WireMessage = std::variant<DispatchMessage,
                                 CancelMessage,
                                 AnswerMessage,
                                 HeartbeatMessage,
                                 HeartbeatAckMessage,
                                 ConfigRequestMessage,
                                 ConfigMessage,
                                 HistoryRequestMessage,
                                 HistoryResponseMessage,
                                 LinkHelloMessage,
                                 LinkProofMessage,
                                 FleetHelloMessage,
                                 FleetReport,
                                 FleetOrders,
                                 FleetRequestMessage,
                                 FleetResponseMessage,
                                 FleetConfigurationMessage,
                                 FleetReportChange>;

}
