#include "Request/EntryCore.h"

#include <criterion/criterion.h>

#include <deque>

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
Valuation(int aNumber, Instant aNow)
{
  RequestFacts facts;
  facts.requestId_ = "r" + std::to_string(aNumber);
  facts.service_ = "pricing";
  facts.idempotent_ = true;
  facts.deadline_ = aNow + Millis(1000);
  return facts;
}

/** Sides that refuse every attempt at once. */
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
        ++told_;
        toldToComeBack_ += answer->retryAfter_.count() > 0 ? 1 : 0;
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
  int told_ = 0;
  int toldToComeBack_ = 0;

private:
  std::deque<SendDispatch> open_;
};

}

// Ten runners are full and refuse all. A thousand valuations come within a
// second; retried twice each, they would be three thousand attempts on runners
// that are full already. Each caller must have its final answer all the same.
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
    sides.Take(core.OnRequest(Valuation(request, now), now));
    sides.Refuse(core, now);
  }
  cr_assert(sides.told_ == kRequests);
  cr_assert(sides.toldToComeBack_ == kRequests);
  cr_assert(sides.dispatched_ <= kRequests * 5 / 4,
            "%d attempts for %d requests",
            sides.dispatched_,
            kRequests);
}

// Hosts are replaced every day under new names. What an entry remembers of the
// ones that went must not grow for ever.
Test(EntryCore, ForgetsSidesThatAreSilentForLong)
{
  EntryCore core(EntryCore::Limits{});
  for (int side = 0; side < 100; ++side) {
    core.OnHeartbeat(ReadySide("s" + std::to_string(side), 1), kStart);
  }
  core.OnTick(kStart + Millis(120000));
  cr_assert(core.Membership().All().empty());
}

// The table service's answer to a payout's claim was lost. Had one row of its
// group spoiled the whole group, the claim's second write in a group could be
// spoiled likewise, and the payout would be refused although the table is well.
Test(EntryCore, ClaimInDoubtIsReadAgainAlone)
{
  EntryCore core(EntryCore::Limits{});
  core.OnHeartbeat(ReadySide("side1", 1), kStart);
  RequestFacts payout = Valuation(1, kStart);
  payout.idempotent_ = false;
  std::vector<EntryAction> actions = core.OnRequest(payout, kStart);
  const WriteClaim first = std::get<WriteClaim>(actions.back());
  cr_assert(!first.alone_);
  actions = core.OnClaimWritten(
    "r1", first.writeId_, { ClaimWrite::Unknown, 0, {} }, kStart);
  const WriteClaim second = std::get<WriteClaim>(actions.back());
  cr_assert(second.alone_, "the claim in doubt goes with others again");
}
