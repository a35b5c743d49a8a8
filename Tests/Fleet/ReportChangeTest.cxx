#include "FleetWorld.h"

#include "Connection/Codec.h"
#include "Connection/ReportDecoder.h"
#include "Connection/ReportEncoder.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <variant>

using namespace cactusrail;

namespace {

RunFact
MakeRun(int aNumber)
{
  RunFact fact;
  fact.task_ = "5c0e7a21d94b36f8.0.1." + std::to_string(aNumber);
  fact.run_ = 1;
  fact.percent_ = 10;
  fact.checkpoint_ = "00000bb87a21d94b";
  return fact;
}

/** What a side with so many runs reports. */
FleetReport
MakeReport(int aRuns)
{
  FleetReport report = IdleReport(At(1000));
  report.worker_.labels_ = { "a", "r1-3" };
  for (int i = 0; i < aRuns; ++i) {
    report.runs_.push_back(MakeRun(i));
  }
  return report;
}

std::optional<FleetReport>
Take(ReportDecoder& aDecoder, const WireMessage& aMessage)
{
  if (const auto* whole = std::get_if<FleetReport>(&aMessage)) {
    return aDecoder.Take(*whole);
  }
  return aDecoder.Take(std::get<FleetReportChange>(aMessage));
}

/** Reports as their bytes, whatever the order of their runs. */
std::string
Content(FleetReport aReport)
{
  std::sort(aReport.runs_.begin(),
            aReport.runs_.end(),
            [](const RunFact& aLeft, const RunFact& aRight) {
              return std::tie(aLeft.task_, aLeft.run_) <
                     std::tie(aRight.task_, aRight.run_);
            });
  return EncodeFrame(aReport);
}

/** Changes a report as a side's next one might. */
void
Change(FleetReport& aReport, std::mt19937& aRandom, int& aNext)
{
  aReport.clockMicros_ += 1000;
  aReport.ends_.clear();
  for (RunFact& fact : aReport.runs_) {
    if (aRandom() % 2 == 0) {
      fact.percent_ = aRandom() % 101;
      fact.measure_ = aRandom() % 70000;
    }
    if (aRandom() % 5 == 0) {
      fact.checkpoint_ = std::to_string(aRandom());
    }
  }
  if (!aReport.runs_.empty() && aRandom() % 3 == 0) {
    const std::size_t at = aRandom() % aReport.runs_.size();
    aReport.ends_.push_back(
      { aRandom(), aReport.runs_[at].task_, 1, EndKind::Done, {} });
    aReport.runs_.erase(aReport.runs_.begin() +
                        static_cast<std::ptrdiff_t>(at));
  }
  if (aRandom() % 3 == 0) {
    aReport.runs_.push_back(MakeRun(aNext++));
  }
  if (aRandom() % 20 == 0) {
    aReport.worker_.draining_ = !aReport.worker_.draining_;
  }
}

}

Test(ReportChange, LeaderSeesWhatTheSideReported)
{
  for (std::uint32_t seed = 0; seed < 50; ++seed) {
    std::mt19937 random(seed);
    ReportEncoder encoder;
    ReportDecoder decoder;
    FleetReport report = MakeReport(4);
    int next = 4;
    for (int i = 0; i < 100; ++i) {
      const auto seen = Take(decoder, encoder.Encode(report));
      cr_assert(seen.has_value());
      cr_assert_eq(Content(*seen), Content(report));
      Change(report, random, next);
    }
  }
}

Test(ReportChange, FirstOnALinkIsWhole)
{
  ReportEncoder encoder;
  const FleetReport report = MakeReport(3);
  cr_assert(std::holds_alternative<FleetReport>(encoder.Encode(report)));
  cr_assert(std::holds_alternative<FleetReportChange>(encoder.Encode(report)));
  encoder.Reset();
  cr_assert(std::holds_alternative<FleetReport>(encoder.Encode(report)));
}

// Guards against a run that is taken for gone, or for there, because a change
// was lost, came twice or overtook another.
Test(ReportChange, LostRepeatedOrReorderedChangesAreRefused)
{
  ReportEncoder encoder;
  FleetReport report = MakeReport(3);
  const WireMessage whole = encoder.Encode(report);
  report.runs_.pop_back();
  const WireMessage first = encoder.Encode(report);
  report.runs_.push_back(MakeRun(7));
  const WireMessage second = encoder.Encode(report);

  ReportDecoder without;
  cr_assert_not(Take(without, first).has_value());
  ReportDecoder lost;
  Take(lost, whole);
  cr_assert_not(Take(lost, second).has_value());
  // Nor is anything taken after that until a whole report.
  cr_assert_not(Take(lost, first).has_value());
  cr_assert(Take(lost, whole).has_value());
  ReportDecoder repeated;
  Take(repeated, whole);
  Take(repeated, first);
  cr_assert_not(Take(repeated, first).has_value());
}

Test(ReportChange, UnknownNumbersAreRefused)
{
  const auto refuses = [](const FleetReportChange& aChange) {
    ReportDecoder decoder;
    decoder.Take(MakeReport(2));
    return !decoder.Take(aChange).has_value();
  };
  FleetReportChange change;
  change.sequence_ = 1;
  cr_assert_not(refuses(change));
  FleetReportChange figure = change;
  figure.figures_.push_back({ 2, false, 1, 1 });
  cr_assert(refuses(figure));
  FleetReportChange removed = change;
  removed.removed_.push_back(2);
  cr_assert(refuses(removed));
  FleetReportChange checkpoint = change;
  checkpoint.checkpoints_.push_back({ 2, "c" });
  cr_assert(refuses(checkpoint));
  FleetReportChange added = change;
  added.added_.push_back({ 1, MakeRun(9) });
  cr_assert(refuses(added));
  FleetReportChange workers = change;
  workers.worker_.resize(2);
  cr_assert(refuses(workers));
}

// A link that lasts for days gives out all numbers.
Test(ReportChange, NumbersThatRunOutBeginAnewWithAWholeReport)
{
  ReportEncoder encoder;
  ReportDecoder decoder;
  int wholes = 0;
  for (int i = 0; i < 70000; ++i) {
    FleetReport report = IdleReport(At(i));
    report.runs_.push_back(MakeRun(i));
    const WireMessage message = encoder.Encode(report);
    wholes += std::holds_alternative<FleetReport>(message);
    const auto seen = Take(decoder, message);
    cr_assert(seen.has_value());
    cr_assert_eq(seen->runs_.front().task_, report.runs_.front().task_);
  }
  cr_assert_eq(wholes, 2);
}

// Pattern: a side with a dozen runs reports four figures a second; whole
// reports of 240 sides filled the leader's link.
Test(ReportChange, FiguresOfADozenRunsAreSmall)
{
  ReportEncoder encoder;
  FleetReport report = MakeReport(12);
  const std::size_t whole = EncodeFrame(encoder.Encode(report)).size();
  for (RunFact& fact : report.runs_) {
    fact.percent_ += 7;
    fact.measure_ += 100;
  }
  const std::size_t change = EncodeFrame(encoder.Encode(report)).size();
  cr_log_info("whole %zu bytes, change %zu bytes", whole, change);
  cr_assert_lt(4 * change, whole);
}
