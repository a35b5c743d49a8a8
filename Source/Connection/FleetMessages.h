#pragma once

#include "Version/WorkerIncarnation.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cactusrail {

/**
 * The messages for batch and long-running work, exchanged between the leading
 * entry and the sides and between the leading entry and the other entries.
 * Times are in microseconds. Clocks of two hosts are never compared; a host's
 * clock reading is only echoed to it.
 */

/** Capacity of a worker, or resources that tasks use. */
struct FleetResources
{
  std::int64_t cpuMilli_ = 0;
  std::int64_t memoryMb_ = 0;
  std::int64_t accelerators_ = 0;

  bool operator==(const FleetResources&) const = default;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cpuMilli_, memoryMb_, accelerators_);
  }
};

/** Self-description of a worker, as sent to the side on its host. */
struct WorkerDescription
{
  /** Incarnation of the worker; a restart after a crash changes it. */
  std::string id_;
  std::string service_;
  std::string dataCentre_;
  std::string rack_;
  std::vector<std::string> labels_;
  FleetResources room_;
  /** Whether the worker is draining; no new task starts on it. */
  bool draining_ = false;
  /** Minimum remaining time of a draining worker. */
  std::uint64_t remainingMicros_ = 0;
  /** Whether the worker responds to the side's calls. */
  bool answers_ = false;
  /** Start time of the worker's process as it announces it, in ms since 1970;
   * 0 if it announces none. Together with id_ it identifies an incarnation, as
   * a worker may restart under its id. */
  std::int64_t startedAtMs_ = 0;

  WorkerIncarnation Incarnation() const { return { id_, startedAtMs_ }; }

  bool operator==(const WorkerDescription&) const = default;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(id_,
       service_,
       dataCentre_,
       rack_,
       labels_,
       room_,
       draining_,
       remainingMicros_,
       answers_,
       startedAtMs_);
  }
};

/** How a run of a task ended. */
enum class EndKind : std::uint8_t
{
  Done = 0,
  /** Failed because of the task or its worker. */
  Failed = 1,
  Stopped = 2,
  /** Its lease expired. */
  Lapsed = 3,
  /** Another member of its gang ended. */
  Broken = 4,
  /** The other members of its gang did not start. */
  Alone = 5,
};

/** The end of a run; the worker lists it until it is acknowledged. */
struct RunEndReport
{
  /** Increases by one with each end in this incarnation of the worker. */
  std::uint64_t number_ = 0;
  std::string task_;
  std::uint32_t run_ = 0;
  EndKind kind_ = EndKind::Done;
  std::string checkpoint_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(number_, task_, run_, kind_, checkpoint_);
  }
};

/** A run that is on a worker, or whose start is in flight. */
struct RunStatus
{
  std::string task_;
  std::uint32_t run_ = 0;
  /** The side has received the start order but no response of the worker. */
  bool starting_ = false;
  std::string checkpoint_;
  /** Progress, 0 to 100; 100 for a long-running task that is operating. */
  std::uint32_t percent_ = 0;
  /** Tail latency in ms of a task with a latency objective; for other tasks the
   * CPU used. */
  std::uint32_t measure_ = 0;
  /** Pace in force, as a percentage of full speed; kUnknownPace if the side has
   * found the run on its worker and has not paced it since. */
  std::uint8_t pace_ = 100;

  static constexpr std::uint8_t kUnknownPace = 255;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(task_, run_, starting_, checkpoint_, percent_, measure_, pace_);
  }
};

/** Reason why a worker refused a run. */
enum class StartRejection : std::uint8_t
{
  /** This run, or a later one of the task, has already ended there. */
  Old = 0,
  NoRoom = 1,
  /** The run's advice ticket is not valid on this worker. */
  Ticket = 2,
  /** Any other response stating that nothing was started. */
  Other = 3,
  /** The start order expired before the worker accepted it. */
  Expired = 4,
};

/** A run that was ordered and is known not to have started. */
struct RejectedRun
{
  std::string task_;
  std::uint32_t run_ = 0;
  StartRejection why_ = StartRejection::Other;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(task_, run_, why_);
  }
};

/** Side to leading entry: the complete state of the worker. */
struct FleetReport
{
  /** Reading of the side's lease clock; echoed in the next orders. */
  std::uint64_t clockMicros_ = 0;
  /** Sequence number of the last orders that this report reflects. */
  std::uint64_t ordersSeen_ = 0;
  WorkerDescription worker_;
  /** Age of the progress figures of the runs. */
  std::uint64_t measuredMicrosAgo_ = 0;
  std::vector<RunStatus> runs_;
  /** Ends not yet reported on this link. */
  std::vector<RunEndReport> ends_;
  std::vector<RejectedRun> refused_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(clockMicros_,
       ordersSeen_,
       worker_,
       measuredMicrosAgo_,
       runs_,
       ends_,
       refused_);
  }
};

/** A run that is new on this link, with its number in later reports. */
struct NumberedRun
{
  std::uint16_t number_ = 0;
  RunStatus fact_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(number_, fact_);
  }
};

/** Changed figures of a run, identified by its number; see RunStatus. */
struct RunProgress
{
  std::uint16_t number_ = 0;
  bool starting_ = false;
  std::uint8_t percent_ = 0;
  std::uint32_t measure_ = 0;
  std::uint8_t pace_ = 100;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(number_, starting_, percent_, measure_, pace_);
  }
};

struct RunCheckpoint
{
  std::uint16_t number_ = 0;
  std::string checkpoint_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(number_, checkpoint_);
  }
};

/**
 * Side to leading entry: the changes since the last report on this link, which
 * was either a full report or another change. The runs of a full report are
 * numbered by their position in it. See ReportEncoder and ReportDecoder.
 */
struct FleetReportChange
{
  /** 1 after a full report, then increasing by one. */
  std::uint32_t sequence_ = 0;
  std::uint64_t clockMicros_ = 0;
  std::uint64_t ordersSeen_ = 0;
  std::uint64_t measuredMicrosAgo_ = 0;
  /** One element if the description changed, otherwise empty. */
  std::vector<WorkerDescription> worker_;
  std::vector<NumberedRun> added_;
  std::vector<RunProgress> figures_;
  std::vector<RunCheckpoint> checkpoints_;
  std::vector<std::uint16_t> removed_;
  std::vector<RunEndReport> ends_;
  std::vector<RejectedRun> refused_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(sequence_,
       clockMicros_,
       ordersSeen_,
       measuredMicrosAgo_,
       worker_,
       added_,
       figures_,
       checkpoints_,
       removed_,
       ends_,
       refused_);
  }
};

struct StartOrder
{
  std::string task_;
  std::uint32_t run_ = 0;
  std::string payload_;
  std::string checkpoint_;
  /** Permission from the advice service; empty if the queue requires none. */
  std::string ticket_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(task_, run_, payload_, checkpoint_, ticket_);
  }
};

/** Role of a run beside the other runs of its worker. */
struct RunProfile
{
  std::string task_;
  std::uint32_t run_ = 0;
  /** Tail latency that the task must meet, in ms; 0 for none. */
  std::uint32_t latencyObjectiveMs_ = 0;
  /** Whether the task uses idle CPU only, so that its pace may be lowered. */
  bool backfill_ = false;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(task_, run_, latencyObjectiveMs_, backfill_);
  }
};

struct StopOrder
{
  std::string task_;
  std::uint32_t run_ = 0;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(task_, run_);
  }
};

struct PaceOrder
{
  std::string task_;
  std::uint32_t run_ = 0;
  /** Percentage of its full speed at which the task runs, 0 to 100. */
  std::uint32_t percent_ = 100;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(task_, run_, percent_);
  }
};

/**
 * Leading entry to side: orders, and the authority to renew the leases of the
 * side's runs until leaseMicros_ after the echoed reading of the side's clock.
 * The side accepts only orders of the highest epoch that it has received.
 */
struct FleetOrders
{
  std::uint64_t epoch_ = 0;
  /** Increases by one with each message on this link. */
  std::uint64_t sequence_ = 0;
  std::uint64_t echoMicros_ = 0;
  std::uint64_t leaseMicros_ = 0;
  /** Time after the echoed clock reading until which the side uses
   * high-frequency reporting; 0 disables it. */
  std::uint64_t highFrequencyMicros_ = 0;
  /** Reading of the side's clock at which the starts expire; 0 without starts.
   */
  std::uint64_t startsUntilMicros_ = 0;
  /** Incarnation of the worker that orders and acknowledgement apply to. */
  std::string workerId_;
  /** Number of the last stored end; the worker may discard ends up to it. */
  std::uint64_t endsStored_ = 0;
  std::vector<StartOrder> starts_;
  std::vector<StopOrder> stops_;
  std::vector<PaceOrder> paces_;
  /** Profiles of runs that the side does not know yet. */
  std::vector<RunProfile> profiles_;
  /** Start time of the worker's incarnation, see
   * WorkerDescription::startedAtMs_. */
  std::int64_t workerStartedAtMs_ = 0;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(epoch_,
       sequence_,
       echoMicros_,
       leaseMicros_,
       highFrequencyMicros_,
       startsUntilMicros_,
       workerId_,
       endsStored_,
       starts_,
       stops_,
       paces_,
       profiles_,
       workerStartedAtMs_);
  }
};

/** Requests of an entry to the leading entry. */
enum class FleetRequestKind : std::uint8_t
{
  /** Notification of a job that is already stored. */
  JobStored = 0,
  /** Notification of a cancellation that is already stored. */
  CancelStored = 1,
  /** Query of the state of a job. */
  State = 2,
  /** Query of the number of jobs in a queue that wait for their first start. */
  Waiting = 3,
  /** Store a job, because the requester can't reach the table service. */
  StoreJob = 4,
  /** Store a cancellation, because the requester can't reach the table service.
   */
  StoreCancel = 5,
  /** Heartbeat of the link to the leader. The subject is the version of the
   * last load digest received; the answer holds a newer one, if there is one.
   */
  Load = 6,
};

struct FleetRequestMessage
{
  std::uint64_t id_ = 0;
  FleetRequestKind question_ = FleetRequestKind::State;
  /** Id of a job, or key of a queue. */
  std::string subject_;
  /** Job encoded by RecordCodec, if the request stores or announces one. */
  std::string record_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(id_, question_, subject_, record_);
  }
};

enum class FleetOutcome : std::uint8_t
{
  Ok = 0,
  /** The entry no longer leads, or has not read the whole table yet. */
  NotLeading = 1,
  /** The job is unknown to the entry, but may be stored nevertheless. */
  Unknown = 2,
  /** The write had no effect. */
  NotStored = 3,
  /** Unknown outcome: the write may have taken effect. */
  OutcomeUnknown = 4,
  /** The entry gave up leadership, because it lacks access to the table or
   * processor time; the recipient, which has both, takes over. Sent in reply to
   * a notification or a hello, with id_ 0. */
  TakeOver = 5,
};

struct FleetResponseMessage
{
  std::uint64_t id_ = 0;
  FleetOutcome outcome_ = FleetOutcome::Ok;
  /** A JobState, a count, or the version of the leader's row when leadership is
   * handed over. */
  std::uint64_t value_ = 0;
  /** Load digest encoded by RecordCodec, in answers to Load; empty if it has
   * not changed. */
  std::string record_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(id_, outcome_, value_, record_);
  }
};

/** Entry to entry: the newest configuration, for entries that can't reach the
 * table service. */
struct FleetConfigurationMessage
{
  std::int64_t version_ = 0;
  /** Document as written by the operator. */
  std::string document_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(version_, document_);
  }
};

/** Opener to acceptor, first message: identity of the opener. */
struct FleetHelloMessage
{
  std::string node_;
  /** Whether the opener is the leading entry, which sends orders. */
  bool isLeader_ = false;
  std::uint64_t epoch_ = 0;
  /** Processor capacity of an entry's host, in thousandths of a processor. */
  std::uint32_t milliProcessors_ = 0;
  /** Bandwidth of an entry's host, in Mbit/s; 0 if it is not known. */
  std::uint32_t linkMbps_ = 0;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(node_, isLeader_, epoch_, milliProcessors_, linkMbps_);
  }
};

}
