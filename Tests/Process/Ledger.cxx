#include "Ledger.h"

namespace {

std::size_t
CountOf(const std::map<std::string, std::size_t>& aCounts,
        const std::string& aKey)
{
  const auto found = aCounts.find(aKey);
  return found == aCounts.end() ? 0 : found->second;
}

}

Tally
Compare(const std::vector<CallRecord>& aCalls,
        const std::map<std::string, std::size_t>& aRuns,
        const std::map<std::string, std::size_t>& aRunsById)
{
  Tally tally;
  std::map<std::string, bool> atMostOnce;
  for (const CallRecord& call : aCalls) {
    ++tally.sent_;
    atMostOnce[call.mark_] = call.atMostOnce_;
    if (call.status_ == 0) {
      ++tally.unanswered_;
      continue;
    }
    if (call.verdictText_ == "did not run") {
      ++tally.notRun_;
      // Counted by request id, because a repeated key has a verdict of its own.
      tally.falseNotRun_ += CountOf(aRunsById, call.requestId_) > 0 ? 1 : 0;
    } else if (call.verdictText_ == "may have run") {
      ++tally.mayHaveRun_;
    } else {
      ++tally.answered_;
      const std::string whole = "served " + call.mark_ + " ";
      const bool own =
        call.body_.starts_with(whole) && call.body_.ends_with(" end\n");
      tally.wrongBody_ += call.status_ == 200 && !own ? 1 : 0;
    }
  }
  for (const auto& [mark, count] : aRuns) {
    tally.run_ += count;
    tally.doubled_ += atMostOnce[mark] && count > 1 ? 1 : 0;
  }
  return tally;
}

std::string
FailedCallsText(const std::vector<CallRecord>& aCalls,
                const std::map<std::string, std::size_t>& aRuns,
                cactusrail::Instant aSince)
{
  const auto millis = [](cactusrail::Micros aTime) {
    return std::to_string(aTime.count() / 1000) + " ms";
  };
  std::string text;
  for (const CallRecord& call : aCalls) {
    const bool served = call.status_ != 0 &&
                        call.verdictText_ != "did not run" &&
                        call.verdictText_ != "may have run";
    if (served) {
      continue;
    }
    text +=
      "troubled " + call.mark_ + ": sent at " + millis(call.sentAt_ - aSince) +
      ", took " + millis(call.endedAt_ - call.sentAt_) + ", status " +
      std::to_string(call.status_) + ", ran " +
      std::to_string(CountOf(aRuns, call.mark_)) +
      " times: " + (call.status_ == 0 ? call.failure_ : call.body_) + "\n";
  }
  return text;
}

std::string
TallyText(const std::string& aName, const Tally& aTally)
{
  return "tally " + aName + ": sent=" + std::to_string(aTally.sent_) +
         " run=" + std::to_string(aTally.run_) +
         " answered=" + std::to_string(aTally.answered_) +
         " not-run=" + std::to_string(aTally.notRun_) +
         " may-have-run=" + std::to_string(aTally.mayHaveRun_) +
         " unanswered=" + std::to_string(aTally.unanswered_) +
         " doubled=" + std::to_string(aTally.doubled_) +
         " false-not-run=" + std::to_string(aTally.falseNotRun_) +
         " wrong-body=" + std::to_string(aTally.wrongBody_);
}
