#include "Request/EntryCore.h"
#include "Request/ExplainVerdict.h"
#include "Version/ConfigurationHolder.h"
#include "Version/Instant.h"

#include <iostream>
#include <memory>
#include <string>
#include <variant>
#include <vector>

/**
 * Embeds cactusrail's decisions in a program with a transport of its own. Here
 * the transport loses its connection at two moments: what EntryCore then says
 * of a request that runs at most once is what the program may tell its caller.
 */

using namespace cactusrail;

namespace {

/** The program's own clock; the decisions read none. */
constexpr Instant kNow{ Millis(1000) };

/** One entry that knows one side, and what it wants done. */
class Entry
{
public:
  Entry()
    : core_(EntryCore::Limits{})
  {
    HeartbeatMessage heartbeat;
    heartbeat.sideId_ = "side1";
    heartbeat.sideIncarnation_ = 1;
    heartbeat.sequence_ = 1;
    heartbeat.service_ = "payout";
    heartbeat.state_ = SideState::Ready;
    heartbeat.upstreamIncarnation_ = 1;
    heartbeat.slots_ = 8;
    core_.OnHeartbeat(heartbeat, kNow);
  }

  /** A request that must not run twice; its claim is written at once. */
  void AskOnce()
  {
    RequestFacts facts;
    facts.requestId_ = "r1";
    facts.tenant_ = "payouts";
    facts.service_ = "payout";
    facts.key_ = "voucher-17";
    facts.method_ = "POST";
    facts.target_ = "/";
    facts.deadline_ = kNow + Millis(5000);
    Take(core_.OnRequest(facts, kNow));
  }

  void LoseSide(bool aNeverConnected)
  {
    Take(core_.OnSideLost("side1", aNeverConnected, kNow));
  }

  void PassDeadline() { Take(core_.OnTick(kNow + Millis(6000))); }

  /** The verdict in the caller's answer. */
  std::string Verdict() const { return verdict_; }

private:
  void Take(const std::vector<EntryAction>& aActions)
  {
    for (const EntryAction& action : aActions) {
      if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
        verdict_ = VerdictText(answer->verdict_);
      } else if (const auto* claim = std::get_if<WriteClaim>(&action)) {
        const ClaimWriteResult written{ ClaimWrite::Applied, ++revision_, {} };
        Take(core_.OnClaimWritten(
          claim->requestId_, claim->writeId_, written, kNow));
      }
    }
  }

  EntryCore core_;
  /** Of the row that holds the claim. */
  std::uint64_t revision_ = 0;
  std::string verdict_ = "no answer yet";
};

std::string
VerdictAfterLoss(bool aNeverConnected)
{
  Entry entry;
  entry.AskOnce();
  entry.LoseSide(aNeverConnected);
  entry.PassDeadline();
  return entry.Verdict();
}

std::shared_ptr<Configuration>
Version(std::uint64_t aVersion)
{
  auto configuration = std::make_shared<Configuration>();
  configuration->version_ = aVersion;
  return configuration;
}

}

int
main()
{
  std::cout << "connection never made: " << VerdictAfterLoss(true) << "\n"
            << "connection lost after the send: " << VerdictAfterLoss(false)
            << "\n";
  ConfigurationHolder holder;
  holder.Offer(Version(7));
  std::cout << "version 6 after 7: "
            << (holder.Offer(Version(6)) ? "taken" : "refused") << "\n";
  return 0;
}
