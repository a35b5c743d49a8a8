#include "Request/EntryCore.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <variant>
#include <vector>

using namespace cactusrail;

namespace {

constexpr Instant kStart{ Micros(1000000000) };

HeartbeatMessage
ReadySide(const std::string& aId, std::uint64_t aSequence)
{
  HeartbeatMessage heartbeat;
  heartbeat.sideId_ = aId;
  heartbeat.sideIncarnation_ = 1;
  heartbeat.sequence_ = aSequence;
  heartbeat.service_ = "pricing";
  heartbeat.state_ = SideState::Ready;
  heartbeat.upstreamIncarnation_ = 1;
  heartbeat.slots_ = 8;
  return heartbeat;
}

RequestFacts
IdempotentRequest(int aNumber, Instant aNow)
{
  RequestFacts facts;
  facts.requestId_ = "r" + std::to_string(aNumber);
  facts.service_ = "pricing";
  facts.idempotent_ = true;
  facts.deadline_ = aNow + Millis(1000);
  return facts;
}

/** Simulated sides that refuse every attempt immediately. */
class RefusingSides
{
public:
  void Take(const std::vector<EntryAction>& aActions)
  {
    for (const EntryAction& action : aActions) {
      if (const auto* dispatch = std::get_if<SendDispatch>(&action)) {
        ++dispatched_;
        open_.push_back(*dispatch);
      } else if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
        ++answered_;
        answeredWithRetryDelay_ += answer->retryAfter_.count() > 0 ? 1 : 0;
      }
    }
  }

  void Refuse(EntryCore& aCore, Instant aNow)
  {
    while (!open_.empty()) {
      const SendDispatch dispatch = open_.front();
      open_.pop_front();
      AnswerMessage answer;
      answer.requestId_ = dispatch.dispatch_.requestId_;
      answer.attemptId_ = dispatch.dispatch_.attemptId_;
      answer.verdict_ = Verdict::DidNotRun;
      Take(aCore.OnAnswer(dispatch.sideId_, answer, aNow));
    }
  }

  int dispatched_ = 0;
  int answered_ = 0;
  int answeredWithRetryDelay_ = 0;

private:
  std::deque<SendDispatch> open_;
};

}

// Ten runners are full and refuse every attempt of a thousand requests within a
// second. Guards against two retries of each, which would put three thousand
// attempts on full runners. Every caller must still get its final answer.
Test(EntryCore, RetriesDoNotAmplifyAnOutage)
{
  EntryCore core(EntryCore::Limits{});
  RefusingSides sides;
  constexpr int kRequests = 1000;
  for (int request = 0; request < kRequests; ++request) {
    const Instant now = kStart + Millis(request);
    if (request % 200 == 0) {
      for (int side = 0; side < 10; ++side) {
        core.OnHeartbeat(ReadySide("s" + std::to_string(side),
                                   static_cast<std::uint64_t>(request) + 1),
                         now);
      }
    }
    sides.Take(core.OnRequest(IdempotentRequest(request, now), now));
    sides.Refuse(core, now);
  }
  cr_assert(sides.answered_ == kRequests);
  cr_assert(sides.answeredWithRetryDelay_ == kRequests);
  cr_assert(sides.dispatched_ <= kRequests * 5 / 4,
            "%d attempts for %d requests",
            sides.dispatched_,
            kRequests);
}

// Guards against unbounded growth of an entry's state for removed sides,
// because hosts are replaced daily under new names.
Test(EntryCore, RemovesSidesWithoutHeartbeats)
{
  EntryCore core(EntryCore::Limits{});
  for (int side = 0; side < 100; ++side) {
    core.OnHeartbeat(ReadySide("s" + std::to_string(side), 1), kStart);
  }
  core.OnTick(kStart + Millis(120000));
  cr_assert(core.Membership().All().empty());
}

// The table service's answer to a claim was lost. Guards against a second write
// in a shared batch: if an invalid row fails that batch as well, the request is
// refused although the table works.
Test(EntryCore, UnknownClaimIsRetriedAlone)
{
  EntryCore core(EntryCore::Limits{});
  core.OnHeartbeat(ReadySide("side1", 1), kStart);
  RequestFacts atMostOnce = IdempotentRequest(1, kStart);
  atMostOnce.idempotent_ = false;
  std::vector<EntryAction> actions = core.OnRequest(atMostOnce, kStart);
  const WriteClaim first = std::get<WriteClaim>(actions.back());
  cr_assert(!first.alone_);
  actions = core.OnClaimWritten(
    "r1", first.writeId_, { ClaimWrite::Unknown, 0, {} }, kStart);
  const WriteClaim second = std::get<WriteClaim>(actions.back());
  cr_assert(second.alone_,
            "the claim with an unknown outcome is batched again");
}

namespace {

/** Whether an attempt of the request was sent to a side. */
bool
IsDispatched(const std::vector<EntryAction>& aActions)
{
  return std::any_of(aActions.begin(), aActions.end(), [](const auto& aAction) {
    return std::holds_alternative<SendDispatch>(aAction);
  });
}

/** Whether an attempt in flight was abandoned. */
bool
IsCancelled(const std::vector<EntryAction>& aActions)
{
  return std::any_of(aActions.begin(), aActions.end(), [](const auto& aAction) {
    return std::holds_alternative<SendCancel>(aAction);
  });
}

/** Ticks at the interval of a lane from one time to another. */
void
TickUntil(EntryCore& aCore, Instant aFrom, Instant aTo)
{
  for (Instant now = aFrom; now <= aTo; now += Millis(100)) {
    aCore.OnTick(now);
  }
}

}

// The host of an entry and its sides stalls for some seconds (high load or
// migration). Guards against refusing the first request after the stall, for
// lack of an upstream, because it is read before the sides' heartbeats. The
// order of reading and the length of the stall must not matter.
Test(EntryCore, OwnStallDoesNotTimeOutSides)
{
  for (const int stallMillis : { 400, 1900, 2100, 5000, 60000 }) {
    for (const bool tickFirst : { false, true }) {
      EntryCore core(EntryCore::Limits{});
      TickUntil(core, kStart, kStart + Millis(1000));
      core.OnHeartbeat(ReadySide("side1", 1), kStart + Millis(1000));
      const Instant now = kStart + Millis(1000 + stallMillis);
      if (tickFirst) {
        core.OnTick(now);
      }
      cr_assert(IsDispatched(core.OnRequest(IdempotentRequest(1, now), now)),
                "The request was refused after %d ms.",
                stallMillis);
    }
  }
}

// A request runs during a stall, its answer is already in the entry's socket,
// and the heartbeat of another side is read first. Guards against abandoning
// the request or sending it to the other side as well.
Test(EntryCore, OwnStallAbandonsNoAttempt)
{
  EntryCore core(EntryCore::Limits{});
  TickUntil(core, kStart, kStart + Millis(1000));
  const Instant sent = kStart + Millis(1000);
  core.OnHeartbeat(ReadySide("side1", 1), sent);
  core.OnHeartbeat(ReadySide("side2", 1), sent);
  RequestFacts facts = IdempotentRequest(1, sent);
  facts.deadline_ = sent + Millis(10000);
  const std::vector<EntryAction> actions = core.OnRequest(facts, sent);
  cr_assert(IsDispatched(actions));
  const std::string& side = std::get<SendDispatch>(actions.back()).sideId_;
  const Instant awake = sent + Millis(3000);
  core.OnHeartbeat(ReadySide(side == "side1" ? "side2" : "side1", 2), awake);
  cr_assert_not(IsCancelled(core.OnTick(awake)));
  cr_assert_not(IsCancelled(core.OnTick(awake + Millis(100))));
}

// Guards against the stall handling keeping removed sides usable: a side
// without a heartbeat for the timeout after the stall is unresponsive, and so
// is a side that was unresponsive before it.
Test(EntryCore, RemovedSideTimesOutAfterAStall)
{
  EntryCore core(EntryCore::Limits{});
  core.OnHeartbeat(ReadySide("gone", 1), kStart);
  TickUntil(core, kStart, kStart + Millis(1500));
  const Instant awake = kStart + Millis(10000);
  core.OnTick(awake);
  TickUntil(core, awake, awake + Millis(1300));
  const Instant now = awake + Millis(1400);
  cr_assert_not(IsDispatched(core.OnRequest(IdempotentRequest(1, now), now)));

  EntryCore other(EntryCore::Limits{});
  other.OnHeartbeat(ReadySide("gone", 1), kStart);
  TickUntil(other, kStart, kStart + Millis(2500));
  cr_assert_not(
    IsDispatched(other.OnRequest(IdempotentRequest(2, awake), awake)));
}
