#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cactusrail {

/**
 * The messages of batch and long-running work: between the entry that leads and
 * the sides, and between the other entries and the one that leads. Times are in
 * microseconds; clocks of two hosts are never compared, only echoed.
 */

/** What a worker has, or what tasks take of it. */
struct FleetRoom
{
  std::int64_t cpuMilli_ = 0;
  std::int64_t memoryMb_ = 0;
  std::int64_t accelerators_ = 0;

  bool operator==(const FleetRoom&) const = default;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cpuMilli_, memoryMb_, accelerators_);
  }
};

/** A worker as it described itself to the side next to it. */
struct WorkerDescription
{
  /** One life of the worker; a worker that crashed has a new one. */
  std::string id_;
  std::string service_;
  std::string dataCentre_;
  std::string rack_;
  std::vector<std::string> labels_;
  FleetRoom room_;
  /** It is leaving: no new task starts there. */
  bool draining_ = false;
  /** At least so long does a draining worker stay. */
  std::uint64_t remainingMicros_ = 0;
  /** It answers the side's calls. */
  bool answers_ = false;

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
       answers_);
  }
};

/** How a run of a task ended. */
enum class EndKind : std::uint8_t
{
  Done = 0,
  /** By its own fault or its worker's. */
  Failed = 1,
  Stopped = 2,
  /** Its lease ran out. */
  Lapsed = 3,
  /** Another member of its gang ended. */
  Broken = 4,
  /** The other members of its gang did not come. */
  Alone = 5,
};

/** The end of a run, as the worker lists it until it is acknowledged. */
struct EndFact
{
  /** Rises by one with each end of this life of the worker. */
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

/** A run that is on a worker, or on its way there. */
struct RunFact
{
  std::string task_;
  std::uint32_t run_ = 0;
  /** The side has been told to start it and knows no answer yet. */
  bool starting_ = false;
  std::string checkpoint_;
  /** Work done, 0 to 100; 100 for a long-running task that is at work. */
  std::uint32_t percent_ = 0;
  /** Tail latency in ms of a task with a latency objective; else cpu used. */
  std::uint32_t measure_ = 0;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(task_, run_, starting_, checkpoint_, percent_, measure_);
  }
};

/** Why a worker did not take a run. */
enum class StartRefusal : std::uint8_t
{
  /** It has seen this run, or a later one, end. */
  Old = 0,
  NoRoom = 1,
  /** Its advice ticket is not valid there. */
  Ticket = 2,
  /** Any other answer that says that nothing was started. */
  Other = 3,
  /** Its order was too old before the worker had taken it. */
  Expired = 4,
};

/** A run that was ordered and surely did not start. */
struct RefusedRun
{
  std::string task_;
  std::uint32_t run_ = 0;
  StartRefusal why_ = StartRefusal::Other;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(task_, run_, why_);
  }
};

/** Side to leading entry: all that is known of the worker, whole each time. */
struct FleetReport
{
  /** The side's lease clock; echoed in the next orders. */
  std::uint64_t clockMicros_ = 0;
  /** The last orders that this report takes into account. */
  std::uint64_t ordersSeen_ = 0;
  WorkerDescription worker_;
  /** How old what is said of the runs' work is. */
  std::uint64_t measuredMicrosAgo_ = 0;
  std::vector<RunFact> runs_;
  /** Ends that were not reported on this link before. */
  std::vector<EndFact> ends_;
  std::vector<RefusedRun> refused_;

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

/** A run that is new on this link, and its number in later reports there. */
struct NumberedRun
{
  std::uint16_t number_ = 0;
  RunFact fact_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(number_, fact_);
  }
};

/** What changed of a run that the leader knows by its number; see RunFact. */
struct RunFigure
{
  std::uint16_t number_ = 0;
  bool starting_ = false;
  std::uint8_t percent_ = 0;
  std::uint32_t measure_ = 0;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(number_, starting_, percent_, measure_);
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
 * Side to leading entry: what changed since the last report on this link, which
 * was whole or such a change itself. Runs of a whole report have the numbers of
 * their places in it. See ReportEncoder and ReportDecoder.
 */
struct FleetReportChange
{
  /** 1 after a whole report, then rising by one. */
  std::uint32_t sequence_ = 0;
  std::uint64_t clockMicros_ = 0;
  std::uint64_t ordersSeen_ = 0;
  std::uint64_t measuredMicrosAgo_ = 0;
  /** One if it changed, else none. */
  std::vector<WorkerDescription> worker_;
  std::vector<NumberedRun> added_;
  std::vector<RunFigure> figures_;
  std::vector<RunCheckpoint> checkpoints_;
  std::vector<std::uint16_t> removed_;
  std::vector<EndFact> ends_;
  std::vector<RefusedRun> refused_;

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
  /** The advice service's permission; empty if its queue needs none. */
  std::string ticket_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(task_, run_, payload_, checkpoint_, ticket_);
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
  /** Share of its speed at which the task works, 0 to 100. */
  std::uint32_t percent_ = 100;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(task_, run_, percent_);
  }
};

/**
 * Leading entry to side: orders, and the authority to hold what runs there
 * until so long after the echoed reading of the side's own clock. The side
 * takes orders of the highest epoch it has seen only.
 */
struct FleetOrders
{
  std::uint64_t epoch_ = 0;
  /** Rises by one with each message on this link. */
  std::uint64_t sequence_ = 0;
  std::uint64_t echoMicros_ = 0;
  std::uint64_t holdMicros_ = 0;
  /** The side watches its worker closely until so long after the echoed clock;
   * 0 for not. */
  std::uint64_t watchMicros_ = 0;
  /** The starts are void once the side's own clock reads this; 0 if there are
   * none. */
  std::uint64_t startsUntilMicros_ = 0;
  /** The worker's life that the orders and the acknowledgement are for. */
  std::string workerId_;
  /** Ends up to this one are stored; the worker may forget them. */
  std::uint64_t endsStored_ = 0;
  std::vector<StartOrder> starts_;
  std::vector<StopOrder> stops_;
  std::vector<PaceOrder> paces_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(epoch_,
       sequence_,
       echoMicros_,
       holdMicros_,
       watchMicros_,
       startsUntilMicros_,
       workerId_,
       endsStored_,
       starts_,
       stops_,
       paces_);
  }
};

/** What one entry asks of the entry that leads. */
enum class FleetQuestion : std::uint8_t
{
  /** Take note of a job that is stored already. */
  JobStored = 0,
  /** Take note of a cancellation that is stored already. */
  CancelStored = 1,
  /** What became of a job. */
  State = 2,
  /** How many jobs of a queue wait for their first start. */
  Waiting = 3,
  /** Store a job, as the asker does not reach the table service. */
  StoreJob = 4,
  /** Store a cancellation, for the same reason. */
  StoreCancel = 5,
};

struct FleetAskMessage
{
  std::uint64_t id_ = 0;
  FleetQuestion question_ = FleetQuestion::State;
  /** A job's id, or a queue's key. */
  std::string subject_;
  /** The job as RecordCodec writes it, where it is to be stored or noted. */
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
  /** It leads no more, or has not read everything yet. */
  NotLeading = 1,
  /** It knows no such job; it may be stored all the same. */
  Unknown = 2,
  /** Surely not stored. */
  NotStored = 3,
  /** It may have been stored. */
  InDoubt = 4,
  /** It leads no more, for want of the table or of processor time; the asker,
   * which has both, takes over. Answers what was told without a question. */
  TakeOver = 5,
};

struct FleetAnswerMessage
{
  std::uint64_t id_ = 0;
  FleetOutcome outcome_ = FleetOutcome::Ok;
  /** A JobState, a count, or the version of the leader's row that is yielded.
   */
  std::uint64_t value_ = 0;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(id_, outcome_, value_);
  }
};

/** Entry to entry: the newest configuration, for those cut off the table. */
struct FleetConfigurationMessage
{
  std::int64_t version_ = 0;
  /** The document as the operator wrote it. */
  std::string document_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(version_, document_);
  }
};

/** Opener to acceptor, first: who opens the link. */
struct FleetHelloMessage
{
  std::string node_;
  /** The opener is the entry that leads, and sends orders. */
  bool leads_ = false;
  std::uint64_t epoch_ = 0;
  /** Of an entry's host, in thousandths of a processor. */
  std::uint32_t milliProcessors_ = 0;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(node_, leads_, epoch_, milliProcessors_);
  }
};

}
