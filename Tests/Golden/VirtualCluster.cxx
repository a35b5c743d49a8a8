#include "VirtualCluster.h"

#include "Request/EntryCore.h"
#include "Request/ExplainVerdict.h"
#include "Request/SideCore.h"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <iomanip>
#include <set>
#include <sstream>

namespace cactusrail {

namespace {

constexpr Instant kStart{ Micros(3600000000) };
constexpr Micros kHop{ 1000 };
constexpr Micros kLocalHop{ 200 };
constexpr Micros kTableHop{ 2000 };
constexpr Micros kSlowTable{ 300000 };
constexpr Micros kLateTable{ 3000000 };
constexpr Micros kEchoDelay{ 900000 };
constexpr Micros kEntryTick{ 10000 };
constexpr Micros kSideTick{ 50000 };
constexpr Micros kHeartbeat{ 200000 };
constexpr Micros kAnnounce{ 1000000 };
/** Same value as in SideProcess. */
constexpr Millis kAnnouncementLife{ 3000 };
constexpr Millis kLeavingNotice{ 1000 };
/** Time for which a session continues after its last event. */
constexpr Millis kDrain{ 8000 };
/** Maximum delay of an answer after the deadline, if the entry is alive. */
constexpr Millis kAnswerSlack{ 30 };
constexpr std::size_t kMaxShownBodyBytes = 60;
constexpr std::string_view kRetryLabelPrefix = "again-";
/**
 * Promise 7: maximum time after the start of its leave in which an upstream
 * gets new attempts. A leave that is reported to the side takes effect at once;
 * one that the side must detect takes the lifetime of an announcement. A frozen
 * side accepts earlier messages later, so its time starts when it thaws.
 */
constexpr Millis kReportedLeaveTimeout{ 10 };
constexpr Millis kDetectedLeaveTimeout =
  kAnnouncementLife + kReportedLeaveTimeout;

using Words = std::vector<std::string>;

struct Caller
{
  std::string label_;
  std::string entry_;
  std::string requestId_;
  std::string key_;
  std::string payload_;
  bool idempotent_ = false;
  bool hungUp_ = false;
  bool entryDied_ = false;
  bool entryFroze_ = false;
  Instant deadline_;
  Instant answeredAt_;
  std::vector<AnswerCaller> answers_;
};

template<typename Core>
struct Node
{
  std::string name_;
  std::unique_ptr<Core> core_;
  std::uint64_t incarnation_ = 0;
  bool frozen_ = false;
  bool stopping_ = false;
  Instant stopEarliest_;
  Instant stopBound_;
  std::deque<std::function<void()>> inbox_;
  std::vector<RequestStep> journal_;
};

struct EntryNode : Node<EntryCore>
{
  std::uint64_t nextRequest_ = 1;
};

struct Upstream
{
  bool alive_ = false;
  bool announces_ = false;
  bool closes_ = false;
  std::uint64_t incarnation_ = 0;
  /** Incarnation that this one replaced. */
  std::uint64_t previousIncarnation_ = 0;
  std::uint16_t slots_ = 2;
  /** Whether the upstream is leaving; reset by its next start. */
  bool leaving_ = false;
  std::string leaveKind_;
  Instant leavingSince_;
  bool sideFroze_ = false;
  /** Time at which the side received the last announcement. */
  Instant announcedAt_;
  std::int64_t lastCallAfter_ = 0;
  std::set<std::string> calls_;
};

struct SideNode : Node<SideCore>
{
  std::uint64_t sequence_ = 0;
  bool mute_ = false;
  bool echo_ = false;
  Upstream upstream_;
};

struct Link
{
  bool up_ = false;
  bool blocked_ = false;
  bool stalled_ = false;
  bool duplicates_ = false;
  std::uint64_t generation_ = 0;
  LinkId id_ = 0;
  std::deque<std::function<void()>> held_;
};

struct Row
{
  std::uint64_t revision_ = 0;
  ClaimRecord record_;
};

Words
Split(const std::string& aLine)
{
  std::istringstream stream(aLine);
  Words words;
  std::string word;
  while (stream >> word) {
    words.push_back(word);
  }
  return words;
}

std::string
HeaderValue(const HeaderList& aHeaders, std::string_view aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (name == aName) {
      return value;
    }
  }
  return {};
}

std::string
RecordText(const ClaimRecord& aRecord)
{
  return aRecord.requestId_ +
         (aRecord.finished_ ? " finished: " : " unfinished") +
         (aRecord.finished_ ? std::string(VerdictText(aRecord.verdict_)) : "");
}

}

SessionCounts&
SessionCounts::operator+=(const SessionCounts& aOther)
{
  sent_ += aOther.sent_;
  run_ += aOther.run_;
  answered_ += aOther.answered_;
  notRun_ += aOther.notRun_;
  mayHaveRun_ += aOther.mayHaveRun_;
  unanswered_ += aOther.unanswered_;
  ranTwice_ += aOther.ranTwice_;
  falseNotRun_ += aOther.falseNotRun_;
  explainedUnknown_ += aOther.explainedUnknown_;
  tableWrites_ += aOther.tableWrites_;
  atMostOnce_ += aOther.atMostOnce_;
  return *this;
}

std::string
SessionCounts::Text() const
{
  std::ostringstream text;
  text << "sent " << sent_ << ", run " << run_ << ", answered " << answered_
       << ", not run " << notRun_ << ", may have run " << mayHaveRun_
       << ", untold " << unanswered_ << ", doubled " << ranTwice_
       << ", false \"not run\" " << falseNotRun_ << ", explained in doubt "
       << explainedUnknown_ << ", table writes " << tableWrites_ << " for "
       << atMostOnce_ << " at-most-once requests";
  return text.str();
}

class VirtualCluster::Private
{
public:
  explicit Private(bool aKeepTranscript)
    : keepTranscript_(aKeepTranscript)
  {
  }

  // The clock.
  void At(Instant aTime, std::function<void()> aEvent)
  {
    events_.emplace(aTime, std::move(aEvent));
  }
  void After(Micros aDelay, std::function<void()> aEvent)
  {
    At(now_ + aDelay, std::move(aEvent));
  }
  void RunUntil(Instant aEnd);
  void AddLine(const std::string& aText);

  // The script.
  void Execute(const Words& aWords);
  void StartEntry(const std::string& aName);
  void StartSide(const std::string& aName);
  void StartUpstream(const std::string& aSide);
  void KillUpstream(const std::string& aSide);
  void Leave(SideNode& aSide, const std::string& aLeaveKind);
  void EndLeaving(Upstream& aUpstream);
  void Goodbye(const std::string& aSide, bool aLost);
  void Send(const Words& aWords);
  void HangUp(const std::string& aLabel);
  void Cut(const std::string& aEntry, const std::string& aSide);
  void CutAll(const std::string& aNode);
  void Stall(Link& aLink, bool aStalled);
  void Freeze(const std::string& aNode);
  void Thaw(const std::string& aNode);
  void Kill(const std::string& aNode);
  void Stop(const std::string& aNode, Millis aBound);
  void Heal();

  // The processes.
  template<typename NodeType>
  void Deliver(NodeType& aNode, std::function<void()> aEvent);
  void EntryTick(const std::string& aName, std::uint64_t aIncarnation);
  void SideTick(const std::string& aName, std::uint64_t aIncarnation);
  void Heartbeat(const std::string& aName, std::uint64_t aIncarnation);
  void SendHeartbeat(SideNode& aSide);
  void Announce(const std::string& aSide, std::uint64_t aIncarnation);
  void DeliverAnnouncement(const std::string& aSide);
  void RunEntry(EntryNode& aEntry, const std::vector<EntryAction>& aActions);
  void RunSide(SideNode& aSide, const std::vector<SideAction>& aActions);
  void Do(EntryNode& aEntry, const SendDispatch& aAction);
  void Do(EntryNode& aEntry, const SendCancel& aAction);
  void Do(EntryNode& aEntry, const AnswerCaller& aAction);
  void Do(EntryNode& aEntry, const WriteClaim& aAction);
  void Do(EntryNode& aEntry, const RecordEntryStep& aAction);
  void Do(SideNode& aSide, const CallUpstream& aAction);
  void Do(SideNode& aSide, const SendAnswer& aAction);
  void Do(SideNode& aSide, const RecordStep& aAction);
  void RecordStepOf(std::vector<RequestStep>& aJournal,
                    const std::string& aHost,
                    RequestStep aStep);

  // The network, the upstream and the table.
  bool Connect(EntryNode& aEntry, SideNode& aSide, Link& aLink);
  void Carry(const std::string& aEntry,
             const std::string& aSide,
             std::function<void()> aDeliver);
  void Serve(const std::string& aSide, const CallUpstream& aCall);
  void EndCall(const std::string& aSide,
               std::uint64_t aSideIncarnation,
               const std::string& aAttemptId,
               const Failure* aFailure,
               const std::string& aBody);
  ClaimWriteResult Apply(const WriteClaim& aWrite);
  void AnswerWrite(const std::string& aEntry,
                   std::uint64_t aIncarnation,
                   const WriteClaim& aWrite,
                   const ClaimWriteResult& aResult,
                   std::uint64_t aTicket);

  // The checks.
  void Check();
  void CheckAnswer(const Caller& aCaller);
  void CheckExplain(const Caller& aCaller);
  void AddViolation(const std::string& aText) { violations_.push_back(aText); }

  EntryNode* FindEntry(const std::string& aName, std::uint64_t aIncarnation)
  {
    const auto found = entries_.find(aName);
    return found == entries_.end() || found->second.core_ == nullptr ||
               found->second.incarnation_ != aIncarnation
             ? nullptr
             : &found->second;
  }
  SideNode* FindSide(const std::string& aName, std::uint64_t aIncarnation)
  {
    const auto found = sides_.find(aName);
    return found == sides_.end() || found->second.core_ == nullptr ||
               found->second.incarnation_ != aIncarnation
             ? nullptr
             : &found->second;
  }
  Link& LinkOf(const std::string& aEntry, const std::string& aSide)
  {
    return links_[{ aEntry, aSide }];
  }

  bool keepTranscript_;
  Instant now_ = kStart;
  std::multimap<Instant, std::function<void()>> events_;
  std::string transcript_;
  std::map<std::string, EntryNode> entries_;
  std::map<std::string, SideNode> sides_;
  std::map<std::pair<std::string, std::string>, Link> links_;
  std::map<std::string, Caller> callers_;
  std::map<std::string, std::string> labelByRequest_;
  std::map<std::string, Row> rows_;
  std::string tableMode_ = "up";
  std::uint64_t nextRevision_ = 1;
  std::uint64_t nextIncarnation_ = 1;
  std::uint64_t nextLink_ = 1;
  std::uint64_t nextTicket_ = 1;
  std::set<std::uint64_t> openTickets_;
  std::map<std::string, std::uint64_t> runsByRequest_;
  std::map<std::string, std::uint64_t> runsByKey_;
  std::map<std::string, std::string> bodyByKey_;
  /** Time at which a side received a dispatch, by attempt. */
  std::map<std::string, Instant> receivedAt_;
  std::map<std::string, std::string> expected_;
  bool entryKilled_ = false;
  SessionCounts counts_;
  std::vector<std::string> violations_;
  std::map<std::string, std::vector<std::int64_t>> leaving_;
};

void
VirtualCluster::Private::RunUntil(Instant aEnd)
{
  while (!events_.empty() && events_.begin()->first <= aEnd) {
    auto event = events_.extract(events_.begin());
    now_ = event.key();
    event.mapped()();
  }
}

void
VirtualCluster::Private::AddLine(const std::string& aText)
{
  if (!keepTranscript_) {
    return;
  }
  std::ostringstream line;
  line << std::fixed << std::setprecision(1) << std::setw(8)
       << static_cast<double>((now_ - kStart).count()) / 1000.0 << "  " << aText
       << "\n";
  transcript_ += line.str();
}

/**
 * entry NAME | side NAME | upstream SIDE           starts or restarts a process
 * send LABEL ENTRY KEY once|many DEADLINE SERVE [BODY]    BODY BYTESx: its size
 * hangup LABEL
 * cut|block|unblock|stall|unstall|double ENTRY SIDE  affects their connection
 * mute|unmute|echo SIDE                              affects its heartbeats
 * goodbye|goodbye-lost|silence|dies|closes SIDE      affects its upstream
 * announce SIDE                  delivers a delayed repeat of an announcement
 * goodbye-old SIDE               goodbye of the previous upstream incarnation
 * freeze|thaw|kill NODE, stop NODE BOUND             entry or side
 * table up|down|stall|lost|late|slow
 * heal                                               ends all faults
 * expect LABEL ran|not-run|may-have-run          expected verdict of the caller
 */
void
VirtualCluster::Private::Execute(const Words& aWords)
{
  const std::string& verb = aWords.at(1);
  const std::string first = aWords.size() > 2 ? aWords.at(2) : "";
  const std::string second = aWords.size() > 3 ? aWords.at(3) : "";
  std::string line = "*";
  for (std::size_t index = 1; index < aWords.size(); ++index) {
    line += " " + aWords.at(index);
  }
  AddLine(line);
  if (verb == "entry") {
    StartEntry(first);
  } else if (verb == "side") {
    StartSide(first);
  } else if (verb == "upstream") {
    StartUpstream(first);
  } else if (verb == "send") {
    Send(aWords);
  } else if (verb == "hangup") {
    HangUp(first);
  } else if (verb == "cut") {
    Cut(first, second);
  } else if (verb == "block") {
    LinkOf(first, second).blocked_ = true;
  } else if (verb == "unblock") {
    LinkOf(first, second).blocked_ = false;
  } else if (verb == "double") {
    LinkOf(first, second).duplicates_ = true;
  } else if (verb == "stall") {
    Stall(LinkOf(first, second), true);
  } else if (verb == "unstall") {
    Stall(LinkOf(first, second), false);
  } else if (verb == "mute") {
    sides_.at(first).mute_ = true;
  } else if (verb == "unmute") {
    sides_.at(first).mute_ = false;
  } else if (verb == "echo") {
    sides_.at(first).echo_ = true;
  } else if (verb == "goodbye") {
    Goodbye(first, false);
  } else if (verb == "goodbye-lost") {
    Goodbye(first, true);
  } else if (verb == "silence") {
    sides_.at(first).upstream_.announces_ = false;
    Leave(sides_.at(first), "silence");
  } else if (verb == "dies") {
    KillUpstream(first);
  } else if (verb == "closes") {
    sides_.at(first).upstream_.closes_ = true;
  } else if (verb == "freeze") {
    Freeze(first);
  } else if (verb == "thaw") {
    Thaw(first);
  } else if (verb == "kill") {
    Kill(first);
  } else if (verb == "stop") {
    Stop(first, Millis(std::stoi(second)));
  } else if (verb == "table") {
    tableMode_ = first;
  } else if (verb == "announce") {
    DeliverAnnouncement(first);
  } else if (verb == "goodbye-old") {
    SideNode& side = sides_.at(first);
    RunSide(side,
            side.core_->OnGoodbye(side.upstream_.previousIncarnation_, now_));
  } else if (verb == "expect") {
    expected_[first] = second;
  } else if (verb == "heal") {
    Heal();
  } else {
    AddViolation("The script has no verb '" + verb + "'.");
  }
}

void
VirtualCluster::Private::StartEntry(const std::string& aName)
{
  EntryNode& entry = entries_[aName];
  if (entry.core_ != nullptr) {
    Kill(aName);
  }
  entry = EntryNode{};
  entry.name_ = aName;
  entry.incarnation_ = nextIncarnation_++;
  entry.core_ = std::make_unique<EntryCore>(EntryCore::Limits{});
  EntryTick(aName, entry.incarnation_);
}

void
VirtualCluster::Private::StartSide(const std::string& aName)
{
  SideNode& side = sides_[aName];
  if (side.core_ != nullptr) {
    Kill(aName);
  }
  Upstream upstream = std::move(side.upstream_);
  if (upstream.leaveKind_ == "planned stop") {
    EndLeaving(upstream);
  }
  side = SideNode{};
  side.upstream_ = std::move(upstream);
  side.name_ = aName;
  side.incarnation_ = nextIncarnation_++;
  SideCore::Limits limits;
  limits.maxQueued_ = 4;
  side.core_ = std::make_unique<SideCore>(limits);
  SideTick(aName, side.incarnation_);
  Heartbeat(aName, side.incarnation_);
}

void
VirtualCluster::Private::StartUpstream(const std::string& aSide)
{
  KillUpstream(aSide);
  Upstream& upstream = sides_.at(aSide).upstream_;
  EndLeaving(upstream);
  upstream.alive_ = true;
  upstream.announces_ = true;
  upstream.closes_ = false;
  upstream.previousIncarnation_ = upstream.incarnation_;
  upstream.incarnation_ = nextIncarnation_++;
  Announce(aSide, upstream.incarnation_);
}

void
VirtualCluster::Private::KillUpstream(const std::string& aSide)
{
  SideNode& side = sides_.at(aSide);
  if (!side.upstream_.alive_) {
    return;
  }
  Leave(side, "death");
  side.upstream_.alive_ = false;
  side.upstream_.announces_ = false;
  const std::set<std::string> calls = std::exchange(side.upstream_.calls_, {});
  const Failure failure{ FailureKind::Unreachable,
                         Verdict::MayHaveRun,
                         "The upstream closed the connection.",
                         Millis(0) };
  for (const std::string& attempt : calls) {
    EndCall(aSide, side.incarnation_, attempt, &failure, "");
  }
}

void
VirtualCluster::Private::Leave(SideNode& aSide, const std::string& aLeaveKind)
{
  Upstream& upstream = aSide.upstream_;
  if (upstream.leaving_ || !upstream.alive_) {
    return;
  }
  upstream.leaving_ = true;
  upstream.leaveKind_ = aLeaveKind;
  upstream.leavingSince_ = now_;
  upstream.sideFroze_ = aSide.frozen_;
  upstream.lastCallAfter_ = 0;
}

void
VirtualCluster::Private::EndLeaving(Upstream& aUpstream)
{
  if (!aUpstream.leaving_) {
    return;
  }
  aUpstream.leaving_ = false;
  const std::string& leaveKind = aUpstream.leaveKind_;
  const std::string frozen = aUpstream.sideFroze_ ? ", side frozen" : "";
  leaving_[leaveKind + frozen].push_back(aUpstream.lastCallAfter_);
  const bool detected = leaveKind == "silence" || leaveKind == "lost goodbye";
  // Includes an announcement in flight when the upstream stopped announcing.
  const Millis announcedAfter =
    std::max(Millis(0),
             std::chrono::ceil<Millis>(aUpstream.announcedAt_ -
                                       aUpstream.leavingSince_));
  const Millis bound =
    detected ? announcedAfter + kDetectedLeaveTimeout : kReportedLeaveTimeout;
  if (!aUpstream.sideFroze_ && aUpstream.lastCallAfter_ > bound.count()) {
    AddViolation("An upstream got a new call " +
                 std::to_string(aUpstream.lastCallAfter_) + " ms after its " +
                 leaveKind + ".");
  }
}

void
VirtualCluster::Private::Goodbye(const std::string& aSide, bool aLost)
{
  SideNode& side = sides_.at(aSide);
  const bool lost = aLost || side.core_ == nullptr;
  Leave(side, lost ? "lost goodbye" : "goodbye");
  side.upstream_.announces_ = false;
  if (lost) {
    return;
  }
  const std::uint64_t incarnation = side.incarnation_;
  const std::uint64_t upstream = side.upstream_.incarnation_;
  After(kLocalHop, [this, aSide, incarnation, upstream] {
    SideNode* node = FindSide(aSide, incarnation);
    if (node != nullptr) {
      Deliver(*node, [this, node, upstream] {
        RunSide(*node, node->core_->OnGoodbye(upstream, now_));
        SendHeartbeat(*node);
      });
    }
  });
}

void
VirtualCluster::Private::Send(const Words& aWords)
{
  EntryNode& entry = entries_.at(aWords.at(3));
  Caller caller;
  caller.label_ = aWords.at(2);
  caller.entry_ = entry.name_;
  caller.key_ = aWords.at(4);
  caller.idempotent_ = aWords.at(5) == "many";
  caller.payload_ = aWords.size() > 8 ? aWords.at(8) : caller.key_;
  if (caller.payload_.ends_with('x')) {
    caller.payload_ = std::string(std::stoul(caller.payload_), 'x');
  }
  caller.deadline_ = now_ + Millis(std::stoi(aWords.at(6)));
  if (entry.core_ == nullptr ||
      (entry.stopping_ && now_ >= entry.stopEarliest_)) {
    AddLine("caller/" + caller.label_ + " finds no entry there");
    return;
  }
  ++counts_.sent_;
  counts_.atMostOnce_ += caller.idempotent_ ? 0 : 1;
  caller.requestId_ = entry.name_ + "-" + std::to_string(entry.incarnation_) +
                      "-" + std::to_string(entry.nextRequest_++);
  RequestFacts facts;
  facts.requestId_ = caller.requestId_;
  facts.tenant_ = "valtierra";
  facts.service_ = "payout";
  facts.idempotent_ = caller.idempotent_;
  facts.key_ = caller.key_;
  facts.method_ = "POST";
  facts.target_ = "/";
  facts.headers_ = { { "X-Serve-Ms", aWords.at(7) }, { "X-Key", caller.key_ } };
  facts.body_ = caller.payload_;
  facts.deadline_ = caller.deadline_;
  caller.entryFroze_ = entry.frozen_;
  labelByRequest_[caller.requestId_] = caller.label_;
  callers_[caller.label_] = caller;
  EntryNode* raw = &entry;
  Deliver(entry, [this, raw, facts] {
    RunEntry(*raw, raw->core_->OnRequest(facts, now_));
  });
}

void
VirtualCluster::Private::HangUp(const std::string& aLabel)
{
  const auto found = callers_.find(aLabel);
  if (found == callers_.end() || !found->second.answers_.empty()) {
    return;
  }
  found->second.hungUp_ = true;
  EntryNode& entry = entries_.at(found->second.entry_);
  if (entry.core_ == nullptr || found->second.entryDied_) {
    return;
  }
  const std::string id = found->second.requestId_;
  EntryNode* raw = &entry;
  Deliver(entry, [this, raw, id] {
    RunEntry(*raw, raw->core_->OnCallerDisconnected(id, now_));
  });
}

void
VirtualCluster::Private::Cut(const std::string& aEntry,
                             const std::string& aSide)
{
  Link& link = LinkOf(aEntry, aSide);
  if (!link.up_) {
    return;
  }
  link.up_ = false;
  link.held_.clear();
  ++link.generation_;
  const LinkId id = link.id_;
  const std::uint64_t entryIncarnation = entries_.at(aEntry).incarnation_;
  const std::uint64_t sideIncarnation = sides_.at(aSide).incarnation_;
  After(kHop, [this, aEntry, aSide, id, entryIncarnation, sideIncarnation] {
    if (EntryNode* entry = FindEntry(aEntry, entryIncarnation)) {
      Deliver(*entry, [this, entry, aSide] {
        RunEntry(*entry, entry->core_->OnSideLost(aSide, false, now_));
      });
    }
    if (SideNode* side = FindSide(aSide, sideIncarnation)) {
      Deliver(*side, [this, side, id] {
        RunSide(*side, side->core_->OnLinkLost(id, now_));
      });
    }
  });
}

void
VirtualCluster::Private::CutAll(const std::string& aNode)
{
  for (const auto& [names, link] : links_) {
    if (names.first == aNode || names.second == aNode) {
      Cut(names.first, names.second);
    }
  }
}

void
VirtualCluster::Private::Stall(Link& aLink, bool aStalled)
{
  aLink.stalled_ = aStalled;
  while (!aStalled && !aLink.held_.empty()) {
    After(Micros(0), std::move(aLink.held_.front()));
    aLink.held_.pop_front();
  }
}

void
VirtualCluster::Private::Freeze(const std::string& aNode)
{
  if (entries_.contains(aNode)) {
    entries_.at(aNode).frozen_ = true;
    for (auto& [label, caller] : callers_) {
      caller.entryFroze_ = caller.entryFroze_ || caller.entry_ == aNode;
    }
  } else {
    sides_.at(aNode).frozen_ = true;
    sides_.at(aNode).upstream_.sideFroze_ = true;
  }
}

void
VirtualCluster::Private::Thaw(const std::string& aNode)
{
  const auto thaw = [](auto& aFrozen) {
    aFrozen.frozen_ = false;
    auto inbox = std::exchange(aFrozen.inbox_, {});
    for (const auto& event : inbox) {
      if (aFrozen.core_ != nullptr) {
        event();
      }
    }
  };
  if (entries_.contains(aNode)) {
    thaw(entries_.at(aNode));
  } else {
    thaw(sides_.at(aNode));
  }
}

void
VirtualCluster::Private::Kill(const std::string& aNode)
{
  CutAll(aNode);
  if (!entries_.contains(aNode)) {
    sides_.at(aNode).core_.reset();
    sides_.at(aNode).upstream_.calls_.clear();
    return;
  }
  entryKilled_ = true;
  entries_.at(aNode).core_.reset();
  for (auto& [label, caller] : callers_) {
    if (caller.entry_ == aNode && caller.answers_.empty()) {
      caller.entryDied_ = true;
    }
  }
}

void
VirtualCluster::Private::Stop(const std::string& aNode, Millis aBound)
{
  if (entries_.contains(aNode)) {
    EntryNode& entry = entries_.at(aNode);
    entry.stopping_ = true;
    entry.stopEarliest_ = now_ + kLeavingNotice;
    entry.stopBound_ = now_ + aBound;
    return;
  }
  SideNode& side = sides_.at(aNode);
  if (side.core_ == nullptr) {
    return;
  }
  side.stopping_ = true;
  side.stopEarliest_ = now_ + kLeavingNotice;
  side.stopBound_ = now_ + aBound;
  Leave(side, "planned stop");
  RunSide(side, side.core_->OnStop(now_));
  SendHeartbeat(side);
}

void
VirtualCluster::Private::Heal()
{
  tableMode_ = "up";
  for (auto& [names, link] : links_) {
    link.blocked_ = false;
    Stall(link, false);
  }
  for (auto& [name, side] : sides_) {
    side.mute_ = false;
    if (side.core_ == nullptr) {
      StartSide(name);
    } else if (side.frozen_) {
      Thaw(name);
    }
    StartUpstream(name);
  }
  for (auto& [name, entry] : entries_) {
    if (entry.core_ == nullptr) {
      StartEntry(name);
    } else if (entry.frozen_) {
      Thaw(name);
    }
  }
}

template<typename NodeType>
void
VirtualCluster::Private::Deliver(NodeType& aNode, std::function<void()> aEvent)
{
  if (aNode.frozen_) {
    aNode.inbox_.push_back(std::move(aEvent));
    return;
  }
  aEvent();
}

void
VirtualCluster::Private::EntryTick(const std::string& aName,
                                   std::uint64_t aIncarnation)
{
  EntryNode* entry = FindEntry(aName, aIncarnation);
  if (entry == nullptr) {
    return;
  }
  if (!entry->frozen_) {
    RunEntry(*entry, entry->core_->OnTick(now_));
    if (entry->stopping_ && now_ >= entry->stopBound_) {
      RunEntry(*entry, entry->core_->OnStopTimeout(now_));
    }
    const bool idle =
      entry->core_->InProgress() == 0 && entry->core_->UnwrittenOutcomes() == 0;
    if (entry->stopping_ &&
        (now_ >= entry->stopBound_ || (idle && now_ >= entry->stopEarliest_))) {
      const std::size_t unwritten = entry->core_->UnwrittenOutcomes();
      AddLine("entry/" + aName + " ends, " + std::to_string(unwritten) +
              " outcomes unwritten");
      // The keys stay claimed, as if the entry had been killed.
      entryKilled_ = entryKilled_ || unwritten > 0;
      CutAll(aName);
      entry->core_.reset();
      return;
    }
  }
  After(kEntryTick,
        [this, aName, aIncarnation] { EntryTick(aName, aIncarnation); });
}

void
VirtualCluster::Private::SideTick(const std::string& aName,
                                  std::uint64_t aIncarnation)
{
  SideNode* side = FindSide(aName, aIncarnation);
  if (side == nullptr) {
    return;
  }
  if (!side->frozen_) {
    RunSide(*side, side->core_->OnTick(now_));
    const bool bound = side->stopping_ && now_ >= side->stopBound_;
    if (bound) {
      RunSide(*side, side->core_->OnStopTimeout(now_));
    }
    const bool done =
      side->stopping_ && side->core_->Idle() && now_ >= side->stopEarliest_;
    if (bound || done) {
      side->stopping_ = false;
      After(kHop * 2, [this, aName, aIncarnation] {
        if (SideNode* ended = FindSide(aName, aIncarnation)) {
          AddLine("side/" + aName + " ends");
          CutAll(aName);
          ended->core_.reset();
        }
      });
    }
  }
  After(kSideTick,
        [this, aName, aIncarnation] { SideTick(aName, aIncarnation); });
}

void
VirtualCluster::Private::Heartbeat(const std::string& aName,
                                   std::uint64_t aIncarnation)
{
  SideNode* side = FindSide(aName, aIncarnation);
  if (side == nullptr) {
    return;
  }
  if (!side->frozen_) {
    SendHeartbeat(*side);
  }
  After(kHeartbeat,
        [this, aName, aIncarnation] { Heartbeat(aName, aIncarnation); });
}

void
VirtualCluster::Private::SendHeartbeat(SideNode& aSide)
{
  HeartbeatMessage heartbeat = aSide.core_->Heartbeat(now_);
  heartbeat.sideId_ = aSide.name_;
  heartbeat.sideIncarnation_ = aSide.incarnation_;
  heartbeat.sequence_ = ++aSide.sequence_;
  if (aSide.mute_) {
    return;
  }
  const auto carry = [this, heartbeat] {
    for (auto& [name, entry] : entries_) {
      if (entry.core_ == nullptr) {
        continue;
      }
      EntryNode* raw = &entry;
      Deliver(entry, [this, raw, heartbeat] {
        const MembershipChange change =
          raw->core_->OnHeartbeat(heartbeat, now_);
        if (change != MembershipChange::None &&
            change != MembershipChange::Stale) {
          AddLine("entry/" + raw->name_ + " side-changed " + heartbeat.sideId_ +
                  " state " +
                  std::to_string(static_cast<int>(heartbeat.state_)));
        }
      });
    }
  };
  After(kHop, carry);
  if (aSide.echo_) {
    After(kEchoDelay, carry);
  }
}

void
VirtualCluster::Private::Announce(const std::string& aSide,
                                  std::uint64_t aIncarnation)
{
  const Upstream& upstream = sides_.at(aSide).upstream_;
  if (!upstream.announces_ || upstream.incarnation_ != aIncarnation) {
    return;
  }
  DeliverAnnouncement(aSide);
  After(kAnnounce,
        [this, aSide, aIncarnation] { Announce(aSide, aIncarnation); });
}

void
VirtualCluster::Private::DeliverAnnouncement(const std::string& aSide)
{
  const Upstream& upstream = sides_.at(aSide).upstream_;
  Announcement announcement;
  announcement.service_ = "payout";
  announcement.slots_ = upstream.slots_;
  announcement.incarnation_ = upstream.incarnation_;
  const std::uint64_t sideIncarnation = sides_.at(aSide).incarnation_;
  After(kLocalHop, [this, aSide, sideIncarnation, announcement] {
    SideNode* side = FindSide(aSide, sideIncarnation);
    if (side == nullptr) {
      return;
    }
    Deliver(*side, [this, side, announcement] {
      Announcement stamped = announcement;
      stamped.deadline_ = now_ + kAnnouncementLife;
      side->upstream_.announcedAt_ = now_;
      RunSide(*side, side->core_->OnAnnounce(stamped, now_));
      SendHeartbeat(*side);
    });
  });
}

void
VirtualCluster::Private::RunEntry(EntryNode& aEntry,
                                  const std::vector<EntryAction>& aActions)
{
  for (const EntryAction& action : aActions) {
    std::visit([&](const auto& aAction) { Do(aEntry, aAction); }, action);
  }
}

void
VirtualCluster::Private::RunSide(SideNode& aSide,
                                 const std::vector<SideAction>& aActions)
{
  for (const SideAction& action : aActions) {
    std::visit([&](const auto& aAction) { Do(aSide, aAction); }, action);
  }
}

bool
VirtualCluster::Private::Connect(EntryNode& aEntry,
                                 SideNode& aSide,
                                 Link& aLink)
{
  if (aLink.up_) {
    return true;
  }
  if (aLink.blocked_ || aSide.core_ == nullptr) {
    const std::string side = aSide.name_;
    const std::string entry = aEntry.name_;
    const std::uint64_t incarnation = aEntry.incarnation_;
    After(kHop, [this, side, entry, incarnation] {
      if (EntryNode* node = FindEntry(entry, incarnation)) {
        Deliver(*node, [this, node, side] {
          RunEntry(*node, node->core_->OnSideLost(side, true, now_));
        });
      }
    });
    return false;
  }
  aLink.up_ = true;
  aLink.id_ = nextLink_++;
  return true;
}

void
VirtualCluster::Private::Carry(const std::string& aEntry,
                               const std::string& aSide,
                               std::function<void()> aDeliver)
{
  Link& link = LinkOf(aEntry, aSide);
  const std::uint64_t generation = link.generation_;
  auto arrive =
    [this, aEntry, aSide, generation, deliver = std::move(aDeliver)] {
      if (LinkOf(aEntry, aSide).generation_ == generation) {
        deliver();
      }
    };
  if (link.stalled_) {
    link.held_.emplace_back(std::move(arrive));
    return;
  }
  After(kHop, arrive);
  if (link.duplicates_) {
    After(kHop * 3, arrive);
  }
}

void
VirtualCluster::Private::Do(EntryNode& aEntry, const SendDispatch& aAction)
{
  SideNode& side = sides_.at(aAction.sideId_);
  Link& link = LinkOf(aEntry.name_, side.name_);
  AddLine("entry/" + aEntry.name_ + " > side/" + side.name_ + " dispatch " +
          aAction.dispatch_.attemptId_);
  if (!Connect(aEntry, side, link)) {
    return;
  }
  const std::uint64_t incarnation = side.incarnation_;
  const LinkId id = link.id_;
  const std::string name = side.name_;
  Carry(aEntry.name_,
        name,
        [this, name, incarnation, id, dispatch = aAction.dispatch_] {
          SideNode* node = FindSide(name, incarnation);
          if (node != nullptr) {
            Deliver(*node, [this, node, id, dispatch] {
              receivedAt_.emplace(dispatch.attemptId_, now_);
              RunSide(*node, node->core_->OnDispatch(id, dispatch, now_));
            });
          }
        });
}

void
VirtualCluster::Private::Do(EntryNode& aEntry, const SendCancel& aAction)
{
  const std::string name = aAction.sideId_;
  Link& link = LinkOf(aEntry.name_, name);
  if (!link.up_) {
    return;
  }
  AddLine("entry/" + aEntry.name_ + " > side/" + name + " cancel " +
          aAction.cancel_.attemptId_);
  const std::uint64_t incarnation = sides_.at(name).incarnation_;
  const LinkId id = link.id_;
  Carry(aEntry.name_,
        name,
        [this, name, incarnation, id, cancel = aAction.cancel_] {
          SideNode* node = FindSide(name, incarnation);
          if (node != nullptr) {
            Deliver(*node, [this, node, id, cancel] {
              RunSide(*node, node->core_->OnCancel(id, cancel, now_));
            });
          }
        });
}

void
VirtualCluster::Private::Do(EntryNode& aEntry, const AnswerCaller& aAction)
{
  const std::string label = labelByRequest_[aAction.requestId_];
  AddLine("entry/" + aEntry.name_ + " > caller/" + label + " " +
          std::string(VerdictText(aAction.verdict_)) + ", status " +
          std::to_string(aAction.status_) + ", retry after " +
          std::to_string(aAction.retryAfter_.count()) + " ms: " +
          (aAction.reason_.empty() ? aAction.body_ : aAction.reason_));
  Caller& caller = callers_[label];
  caller.answers_.push_back(aAction);
  caller.answeredAt_ = now_;
}

void
VirtualCluster::Private::Do(EntryNode& aEntry, const WriteClaim& aAction)
{
  AddLine("entry/" + aEntry.name_ + " > table " + aAction.key_ + " at " +
          std::to_string(aAction.expectedRevision_) + ": " +
          RecordText(aAction.record_));
  const std::string entry = aEntry.name_;
  const std::uint64_t incarnation = aEntry.incarnation_;
  const std::uint64_t ticket = nextTicket_++;
  openTickets_.insert(ticket);
  ++counts_.tableWrites_;
  if (tableMode_ == "down") {
    After(kHop, [this, entry, incarnation, aAction, ticket] {
      AnswerWrite(
        entry, incarnation, aAction, { ClaimWrite::NotWritten, 0, {} }, ticket);
    });
    return;
  }
  const bool loses = tableMode_ == "lost" || tableMode_ == "late";
  Micros delay = kTableHop;
  if (tableMode_ == "late") {
    delay = kLateTable;
  } else if (tableMode_ == "slow") {
    delay = kSlowTable;
  }
  if (tableMode_ != "stall") {
    After(delay, [this, entry, incarnation, aAction, loses, ticket] {
      const ClaimWriteResult result = Apply(aAction);
      if (!loses) {
        After(kTableHop, [this, entry, incarnation, aAction, result, ticket] {
          AnswerWrite(entry, incarnation, aAction, result, ticket);
        });
      }
    });
  }
  At(aAction.deadline_, [this, entry, incarnation, aAction, ticket] {
    AnswerWrite(entry, incarnation, aAction, {}, ticket);
  });
}

void
VirtualCluster::Private::AnswerWrite(const std::string& aEntry,
                                     std::uint64_t aIncarnation,
                                     const WriteClaim& aWrite,
                                     const ClaimWriteResult& aResult,
                                     std::uint64_t aTicket)
{
  if (openTickets_.erase(aTicket) == 0) {
    return;
  }
  EntryNode* entry = FindEntry(aEntry, aIncarnation);
  if (entry == nullptr) {
    return;
  }
  Deliver(*entry, [this, entry, aWrite, aResult] {
    static constexpr std::array<std::string_view, 4> kNames{
      "applied", "refused", "not written", "no answer"
    };
    AddLine("table > entry/" + entry->name_ + " " + aWrite.key_ + " " +
            std::string(kNames.at(static_cast<std::size_t>(aResult.outcome_))) +
            (aResult.outcome_ == ClaimWrite::Refused
               ? ", it holds " + RecordText(aResult.record_)
               : ""));
    RunEntry(*entry,
             entry->core_->OnClaimWritten(
               aWrite.requestId_, aWrite.writeId_, aResult, now_));
  });
}

ClaimWriteResult
VirtualCluster::Private::Apply(const WriteClaim& aWrite)
{
  Row& row = rows_[aWrite.key_];
  if (row.revision_ != aWrite.expectedRevision_) {
    return { ClaimWrite::Refused, row.revision_, row.record_ };
  }
  row.revision_ = nextRevision_++;
  row.record_ = aWrite.record_;
  return { ClaimWrite::Applied, row.revision_, {} };
}

void
VirtualCluster::Private::RecordStepOf(std::vector<RequestStep>& aJournal,
                                      const std::string& aHost,
                                      RequestStep aStep)
{
  aStep.host_ = aHost;
  aStep.wallMicros_ = now_.time_since_epoch().count();
  AddLine(aHost + " notes " + aStep.requestId_ + " " + aStep.step_ + " (" +
          std::string(VerdictText(aStep.verdict_)) +
          (aStep.conclusive_ ? ", conclusive)" : ")") +
          (aStep.attemptId_.empty() ? "" : " " + aStep.attemptId_) + ": " +
          aStep.detail_);
  aJournal.push_back(std::move(aStep));
}

void
VirtualCluster::Private::Do(EntryNode& aEntry, const RecordEntryStep& aAction)
{
  RecordStepOf(aEntry.journal_, "entry/" + aEntry.name_, aAction.step_);
}

void
VirtualCluster::Private::Do(SideNode& aSide, const RecordStep& aAction)
{
  RecordStepOf(aSide.journal_, "side/" + aSide.name_, aAction.step_);
}

void
VirtualCluster::Private::Do(SideNode& aSide, const CallUpstream& aAction)
{
  const std::string name = aSide.name_;
  const std::uint64_t incarnation = aSide.incarnation_;
  After(kLocalHop, [this, name, incarnation, aAction] {
    if (FindSide(name, incarnation) != nullptr) {
      Serve(name, aAction);
    }
  });
  At(aAction.deadline_, [this, name, incarnation, aAction] {
    if (sides_.at(name).upstream_.calls_.erase(aAction.attemptId_) != 0) {
      const Failure failure{ FailureKind::TimedOut,
                             Verdict::MayHaveRun,
                             "The upstream did not answer in time.",
                             Millis(0) };
      EndCall(name, incarnation, aAction.attemptId_, &failure, "");
    }
  });
}

void
VirtualCluster::Private::Serve(const std::string& aSide,
                               const CallUpstream& aCall)
{
  Upstream& upstream = sides_.at(aSide).upstream_;
  const std::uint64_t incarnation = sides_.at(aSide).incarnation_;
  const std::string attempt = aCall.attemptId_;
  if (!upstream.alive_) {
    const Failure failure{ FailureKind::Unreachable,
                           Verdict::DidNotRun,
                           "The upstream refused the connection.",
                           Millis(0) };
    EndCall(aSide, incarnation, attempt, &failure, "");
    return;
  }
  const std::string& id = aCall.dispatch_.requestId_;
  const std::string key = HeaderValue(aCall.dispatch_.headers_, "X-Key");
  AddLine("upstream/" + aSide + " runs " + id + " for key " + key);
  ++counts_.run_;
  ++runsByRequest_[id];
  ++runsByKey_[key];
  const std::string body = "ran " + id + " with " + aCall.dispatch_.body_;
  bodyByKey_[key] = body;
  const Instant taken = receivedAt_[attempt];
  if (upstream.leaving_ && taken > upstream.leavingSince_) {
    upstream.lastCallAfter_ =
      std::chrono::duration_cast<Millis>(taken - upstream.leavingSince_)
        .count();
  }
  upstream.calls_.insert(attempt);
  const Millis serve(
    std::stoi(HeaderValue(aCall.dispatch_.headers_, "X-Serve-Ms")));
  After(serve, [this, aSide, incarnation, attempt, body] {
    Upstream& server = sides_.at(aSide).upstream_;
    if (server.calls_.erase(attempt) == 0) {
      return;
    }
    const Failure closed{ FailureKind::Broken,
                          Verdict::MayHaveRun,
                          "The upstream closed without an answer.",
                          Millis(0) };
    EndCall(
      aSide, incarnation, attempt, server.closes_ ? &closed : nullptr, body);
  });
}

void
VirtualCluster::Private::EndCall(const std::string& aSide,
                                 std::uint64_t aSideIncarnation,
                                 const std::string& aAttemptId,
                                 const Failure* aFailure,
                                 const std::string& aBody)
{
  SideNode* side = FindSide(aSide, aSideIncarnation);
  if (side == nullptr) {
    return;
  }
  if (aFailure != nullptr) {
    Deliver(*side, [this, side, aAttemptId, failure = *aFailure] {
      RunSide(*side, side->core_->OnUpstreamFailure(aAttemptId, failure, now_));
    });
    return;
  }
  Deliver(*side, [this, side, aAttemptId, aBody] {
    RunSide(
      *side,
      side->core_->OnUpstreamAnswer(
        aAttemptId, 200, { { "Content-Type", "text/plain" } }, aBody, now_));
  });
}

void
VirtualCluster::Private::Do(SideNode& aSide, const SendAnswer& aAction)
{
  for (const auto& [names, link] : links_) {
    if (!link.up_ || link.id_ != aAction.link_) {
      continue;
    }
    const std::string entry = names.first;
    const std::string side = aSide.name_;
    const std::uint64_t incarnation = entries_.at(entry).incarnation_;
    std::string line = "side/" + side;
    line.append(" > entry/").append(entry).append(" answer ");
    line.append(aAction.answer_.attemptId_).append(" ");
    AddLine(line.append(VerdictText(aAction.answer_.verdict_)));
    Carry(
      entry, side, [this, entry, side, incarnation, answer = aAction.answer_] {
        if (EntryNode* node = FindEntry(entry, incarnation)) {
          Deliver(*node, [this, node, side, answer] {
            RunEntry(*node, node->core_->OnAnswer(side, answer, now_));
          });
        }
      });
    return;
  }
}

void
VirtualCluster::Private::CheckAnswer(const Caller& aCaller)
{
  const std::string callerName = "caller " + aCaller.label_;
  const bool excused = aCaller.entryDied_ || aCaller.hungUp_;
  if (aCaller.answers_.empty()) {
    ++counts_.unanswered_;
    if (!excused) {
      AddViolation(callerName + " never got an answer.");
    }
    return;
  }
  if (aCaller.answers_.size() > 1) {
    AddViolation(callerName + " got two answers.");
  }
  const bool late = aCaller.answeredAt_ > aCaller.deadline_ + kAnswerSlack;
  if (late && !aCaller.entryFroze_) {
    AddViolation(callerName + " got its answer after the deadline.");
  }
  const AnswerCaller& received = aCaller.answers_.front();
  const std::uint64_t runs = runsByRequest_[aCaller.requestId_];
  if (received.verdict_ == Verdict::DidNotRun) {
    ++counts_.notRun_;
    if (runs > 0) {
      ++counts_.falseNotRun_;
      AddViolation(callerName + " got \"did not run\", but the request ran.");
    }
    if (received.retryAfter_.count() == 0 && received.status_ != 422) {
      AddViolation(callerName + " got no retry delay.");
    }
  } else if (received.verdict_ == Verdict::MayHaveRun) {
    ++counts_.mayHaveRun_;
  } else {
    ++counts_.answered_;
    if (runsByKey_[aCaller.key_] == 0) {
      AddViolation(callerName + " got \"ran\", but the request did not run.");
    }
  }
  if (received.status_ != 200) {
    return;
  }
  std::string expectedBody = "ran ";
  expectedBody.append(aCaller.requestId_)
    .append(" with ")
    .append(aCaller.payload_);
  const bool own = received.body_ == expectedBody;
  const bool replayed = !aCaller.idempotent_ && runs == 0 &&
                        received.body_ == bodyByKey_[aCaller.key_] &&
                        received.body_.ends_with(" with " + aCaller.payload_);
  if (!own && !replayed) {
    AddViolation(callerName +
                 " got the answer to another request: " + received.body_);
  }
}

void
VirtualCluster::Private::CheckExplain(const Caller& aCaller)
{
  std::vector<RequestStep> steps;
  const auto collect = [&](const auto& aNodes) {
    for (const auto& [name, node] : aNodes) {
      if (node.core_ == nullptr) {
        continue;
      }
      std::copy_if(node.journal_.begin(),
                   node.journal_.end(),
                   std::back_inserter(steps),
                   [&](const RequestStep& aStep) {
                     return aStep.requestId_ == aCaller.requestId_;
                   });
    }
  };
  collect(entries_);
  collect(sides_);
  const Explanation explanation = ExplainVerdict(steps);
  const std::uint64_t runs = runsByRequest_[aCaller.requestId_];
  AddLine("explain " + aCaller.requestId_ + ": " +
          std::string(VerdictText(explanation.verdict_)) + ", it ran " +
          std::to_string(runs) + " times. " + explanation.reason_);
  counts_.explainedUnknown_ +=
    explanation.verdict_ == Verdict::MayHaveRun ? 1 : 0;
  if ((explanation.verdict_ == Verdict::DidNotRun && runs > 0) ||
      (explanation.verdict_ == Verdict::Ran && runs == 0)) {
    AddViolation("Explain is wrong about caller " + aCaller.label_ + ": " +
                 explanation.reason_);
  }
}

void
VirtualCluster::Private::Check()
{
  std::set<std::string> onceKeys;
  std::set<std::string> keysWithUnknownOutcome;
  for (const auto& [label, caller] : callers_) {
    if (label.empty()) {
      continue;
    }
    CheckAnswer(caller);
    CheckExplain(caller);
    if (!caller.idempotent_) {
      onceKeys.insert(caller.key_);
    }
    const bool answeredNotRun =
      !caller.answers_.empty() &&
      caller.answers_.front().verdict_ == Verdict::DidNotRun;
    if (!answeredNotRun && !label.starts_with(kRetryLabelPrefix)) {
      keysWithUnknownOutcome.insert(caller.key_);
    }
  }
  for (const std::string& key : onceKeys) {
    if (runsByKey_[key] > 1) {
      ++counts_.ranTwice_;
      AddViolation("Key " + key + " ran " + std::to_string(runsByKey_[key]) +
                   " times.");
    }
  }
  for (const auto& [label, expected] : expected_) {
    const std::vector<AnswerCaller>& received = callers_[label].answers_;
    std::string got(received.empty() ? "nothing"
                                     : VerdictText(received.front().verdict_));
    std::replace(got.begin(), got.end(), ' ', '-');
    if (got != (expected == "not-run" ? "did-not-run" : expected)) {
      std::ostringstream text;
      text << "caller " << label << " got " << got << ", expected " << expected
           << ".";
      AddViolation(text.str());
    }
  }
  // A retry "again-KEY" after "heal" at the end of a session must run.
  for (const auto& [label, caller] : callers_) {
    const bool ran = !caller.answers_.empty() &&
                     caller.answers_.front().verdict_ == Verdict::Ran;
    if (label.starts_with(kRetryLabelPrefix) && !ran && !entryKilled_ &&
        !keysWithUnknownOutcome.contains(caller.key_)) {
      AddViolation(
        "Key " + caller.key_ +
        " is blocked: all callers got \"did not run\", but the retry after "
        "the faults did not run either.");
    }
  }
}

VirtualCluster::VirtualCluster(bool aKeepTranscript)
  : private_(std::make_unique<Private>(aKeepTranscript))
{
}

VirtualCluster::~VirtualCluster() = default;

void
VirtualCluster::Run(std::string_view aScript)
{
  Private& self = *private_;
  std::istringstream stream{ std::string(aScript) };
  std::string line;
  Instant end = kStart;
  while (std::getline(stream, line)) {
    const Words words = Split(line);
    if (words.empty() || words.front().starts_with('#')) {
      continue;
    }
    const Instant time = kStart + Millis(std::stoi(words.front()));
    end = std::max(end, time);
    self.At(time, [&self, words] { self.Execute(words); });
  }
  self.RunUntil(end + kDrain);
  for (auto& [name, side] : self.sides_) {
    self.EndLeaving(side.upstream_);
  }
  self.Check();
  self.AddLine("counts: " + self.counts_.Text());
  for (const std::string& sentence : self.violations_) {
    self.AddLine("BROKEN: " + sentence);
  }
}

const std::string&
VirtualCluster::Transcript() const
{
  return private_->transcript_;
}

const SessionCounts&
VirtualCluster::Counts() const
{
  return private_->counts_;
}

const std::vector<std::string>&
VirtualCluster::Broken() const
{
  return private_->violations_;
}

const std::map<std::string, std::vector<std::int64_t>>&
VirtualCluster::LeavingMillis() const
{
  return private_->leaving_;
}

}
