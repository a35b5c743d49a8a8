#include "FleetWorld.h"

#include "Connection/Codec.h"
#include "Connection/ReportDecoder.h"
#include "Connection/ReportEncoder.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <array>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

using namespace cactusrail;

namespace {

RunStatus
MakeRun(int aNumber)
{
  RunStatus fact;
  fact.task_ = "5c0e7a21d94b36f8.0.1." + std::to_string(aNumber);
  fact.run_ = 1;
  fact.percent_ = 10;
  fact.checkpoint_ = "00000bb87a21d94b";
  return fact;
}

/** Returns the report of a side with aRuns runs. */
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

/** Returns the bytes of a report, independent of the order of its runs. */
std::string
Content(FleetReport aReport)
{
  std::sort(aReport.runs_.begin(),
            aReport.runs_.end(),
            [](const RunStatus& aLeft, const RunStatus& aRight) {
              return std::tie(aLeft.task_, aLeft.run_) <
                     std::tie(aRight.task_, aRight.run_);
            });
  return EncodeFrame(aReport);
}

/** Applies random changes such as between two reports of a side. */
void
Change(FleetReport& aReport, std::mt19937& aRandom, int& aNext)
{
  aReport.clockMicros_ += 1000;
  aReport.ends_.clear();
  for (RunStatus& fact : aReport.runs_) {
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

Test(ReportChange, LeaderReconstructsEveryReport)
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

Test(ReportChange, FirstReportOnLinkIsFull)
{
  ReportEncoder encoder;
  const FleetReport report = MakeReport(3);
  cr_assert(std::holds_alternative<FleetReport>(encoder.Encode(report)));
  cr_assert(std::holds_alternative<FleetReportChange>(encoder.Encode(report)));
  encoder.Reset();
  cr_assert(std::holds_alternative<FleetReport>(encoder.Encode(report)));
}

// Guards against a run that is wrongly considered ended or present because a
// change was lost, duplicated or reordered.
Test(ReportChange, LostRepeatedOrReorderedChangesAreRejected)
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
  // Further changes are also rejected until a full report arrives.
  cr_assert_not(Take(lost, first).has_value());
  cr_assert(Take(lost, whole).has_value());
  ReportDecoder repeated;
  Take(repeated, whole);
  Take(repeated, first);
  cr_assert_not(Take(repeated, first).has_value());
}

Test(ReportChange, UnknownRunNumbersAreRejected)
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

// Guards against reused run numbers on a link that stays open for days and
// exhausts all numbers.
Test(ReportChange, ExhaustedRunNumbersRestartWithFullReport)
{
  ReportEncoder encoder;
  ReportDecoder decoder;
  int fullReports = 0;
  for (int i = 0; i < 70000; ++i) {
    FleetReport report = IdleReport(At(i));
    report.runs_.push_back(MakeRun(i));
    const WireMessage message = encoder.Encode(report);
    fullReports += std::holds_alternative<FleetReport>(message);
    const auto seen = Take(decoder, message);
    cr_assert(seen.has_value());
    cr_assert_eq(seen->runs_.front().task_, report.runs_.front().task_);
  }
  cr_assert_eq(fullReports, 2);
}

// Guards against reports that saturate the leader's link, as the full reports
// of 240 sides did. Scenario: a side with a dozen runs sends its figures four
// times a second.
Test(ReportChange, ChangeOfTwelveRunsIsSmall)
{
  ReportEncoder encoder;
  FleetReport report = MakeReport(12);
  const std::size_t whole = EncodeFrame(encoder.Encode(report)).size();
  for (RunStatus& fact : report.runs_) {
    fact.percent_ += 7;
    fact.measure_ += 100;
  }
  const std::size_t change = EncodeFrame(encoder.Encode(report)).size();
  cr_log_info("full report %zu bytes, change %zu bytes", whole, change);
  cr_assert_lt(4 * change, whole);
}

namespace {

struct LinkLossScenario
{
  /** Network delays of reports and of orders. */
  int reportDelayMs_;
  int orderDelayMs_;
  /** Delay until the link is lost a second time; none if negative. */
  int secondLossDelayMs_;
};

/** Runs short tasks on two hosts and loses the link of one after aLossTimeMs.
 */
void
RunWithLostLink(const LinkLossScenario& aScenario, int aLossTimeMs)
{
  constexpr std::uint32_t kTasks = 2;
  constexpr int kStepMs = 10;
  constexpr int kSubmitIntervalMs = 30;
  constexpr int kDurationMs = 1500;
  FleetWorld world(2, { 4000, 64000, 0 });
  world.reportDelay_ = Millis(aScenario.reportDelayMs_);
  world.orderDelay_ = Millis(aScenario.orderDelayMs_);
  world.Host(0).worker_.taskTime_ = Millis(150);
  world.Host(1).worker_.taskTime_ = Millis(250);
  world.Run(Millis(2000));
  // Orders and reports are in flight at all times.
  std::vector<int> linkLossTimes{ aLossTimeMs };
  if (aScenario.secondLossDelayMs_ >= 0) {
    linkLossTimes.push_back(aLossTimeMs + aScenario.secondLossDelayMs_);
  }
  for (int at = 0; at < kDurationMs; at += kStepMs) {
    if (at % kSubmitIntervalMs == 0) {
      world.Submit(
        MakeJob("job" + std::to_string(at / kSubmitIntervalMs), kTasks, 600));
    }
    if (std::find(linkLossTimes.begin(), linkLossTimes.end(), at) !=
        linkLossTimes.end()) {
      world.Relink(0);
    }
    world.Run(Millis(kStepMs));
  }
  world.Run(Millis(6000));
  cr_assert_eq(world.MaxConcurrentRuns(), 1, "after %d ms", aLossTimeMs);
  cr_assert_not(world.EverOverCapacity(), "after %d ms", aLossTimeMs);
  cr_assert_eq(world.reportsOutOfSequence_, 0, "after %d ms", aLossTimeMs);
  for (int i = 0; i < kDurationMs / kSubmitIntervalMs; ++i) {
    const std::string job = "job" + std::to_string(i);
    cr_assert_eq(world.StateOf(job), JobState::Completed);
    for (std::uint32_t task = 0; task < kTasks; ++task) {
      const std::string name = job + ".0.0." + std::to_string(task);
      cr_assert_eq(
        world.Starts(name), 1, "%s after %d ms", name.c_str(), aLossTimeMs);
    }
  }
}

}

// Guards against a task that starts twice because a link was lost between its
// start order, its start and the report of the start.
ParameterizedTestParameters(ReportChange, LinkLossAtAnyTimeStartsNoTaskTwice)
{
  static std::array<LinkLossScenario, 8> scenarios{ { { 0, 0, -1 },
                                                      { 30, 0, -1 },
                                                      { 0, 30, -1 },
                                                      { 30, 30, -1 },
                                                      { 0, 0, 10 },
                                                      { 30, 30, 20 },
                                                      { 30, 30, 60 },
                                                      { 0, 80, 100 } } };
  return cr_make_param_array(
    LinkLossScenario, scenarios.data(), scenarios.size());
}

ParameterizedTest(const LinkLossScenario* aScenario,
                  ReportChange,
                  LinkLossAtAnyTimeStartsNoTaskTwice)
{
  constexpr int kLastLossTimeMs = 1200;
  for (int lossTimeMs = 0; lossTimeMs < kLastLossTimeMs; lossTimeMs += 10) {
    RunWithLostLink(*aScenario, lossTimeMs);
  }
}
