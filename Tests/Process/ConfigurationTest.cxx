#include "Bench.h"

#include "Version/ConfigurationVersion.h"
#include "Version/JsonText.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <iostream>

using namespace cactusrail;

namespace {

std::string
Operators(Bench& aBench, const std::string& aEntry)
{
  return "http://" + aBench[aEntry].Value("operators");
}

int
Put(Bench& aBench, const std::string& aEntry, const std::string& aText)
{
  const auto got =
    aBench.Ask("PUT", Operators(aBench, aEntry) + "/v1/config", aText);
  const auto* reply = std::get_if<HttpReply>(&got);
  return reply == nullptr ? 0 : reply->status_;
}

/** Waits until the process has logged that it applied the version. */
void
WaitForVersion(Bench& aBench, const std::string& aName, std::uint64_t aVersion)
{
  const std::string line =
    "configuration version=" + std::to_string(aVersion) + " ";
  WaitUntil([&] { return aBench[aName].Log().find(line) != std::string::npos; },
            aName + " to put version " + std::to_string(aVersion) +
              " in force");
}

/**
 * Returns the configuration version in force in the entry, or 0 if it reports
 * none.
 */
std::uint64_t
VersionInForce(Bench& aBench, const std::string& aEntry)
{
  const auto got = aBench.AskOperators(aEntry, "/v1/config");
  const auto* reply = std::get_if<HttpReply>(&got);
  const auto parsed = ParseConfiguration(reply == nullptr ? "" : reply->body_);
  const auto* configuration = std::get_if<Configuration>(&parsed);
  return configuration == nullptr ? 0 : configuration->version_;
}

bool
Holds(Bench& aBench, const std::string& aEntry, std::uint64_t aVersion)
{
  return VersionInForce(aBench, aEntry) == aVersion;
}

/**
 * Returns the configuration version in the table's row, or 0 if there is none.
 */
std::uint64_t
VersionInTable(Bench& aBench)
{
  const auto got = aBench.Ask("GET",
                              "http://" + aBench["platform"].Value("http") +
                                "/v1/rows?prefix=config/current");
  const auto* reply = std::get_if<HttpReply>(&got);
  const auto read =
    FromJson<TableListing>(reply == nullptr ? "" : reply->body_);
  const auto* listing = std::get_if<TableListing>(&read);
  if (listing == nullptr || listing->rows_.empty()) {
    return 0;
  }
  const auto row = FromJson<ConfigurationRecord>(listing->rows_[0].value_);
  const auto* record = std::get_if<ConfigurationRecord>(&row);
  return record == nullptr ? 0 : record->configuration_.version_;
}

}

// Guards against a slow or partial rollout of a configuration change. A change
// accepted by one entry must be in force in every entry and side within the
// required 12 s.
Test(Configuration, AcceptedIsInForceEverywhereWithinTheBound)
{
  Bench bench;
  bench.StartUsual(3, 4);
  const std::vector<std::string> names{ "entry1", "entry2", "entry3", "side1",
                                        "side2",  "side3",  "side4" };
  std::vector<double> seconds;
  for (std::uint64_t version = 2; version <= 9; ++version) {
    const std::string entry = "entry" + std::to_string(version % 3 + 1);
    for (const std::string& name : names) {
      if (name.starts_with("entry")) {
        WaitForVersion(bench, name, version - 1);
      }
    }
    cr_assert(Put(bench, entry, Bench::ConfigText(version)) == 200);
    const Instant accepted = ReadMonotonicClock();
    std::vector<std::string> waiting = names;
    const std::string line =
      "configuration version=" + std::to_string(version) + " ";
    WaitUntil(
      [&] {
        std::erase_if(waiting, [&](const std::string& aName) {
          if (bench[aName].Log().find(line) == std::string::npos) {
            return false;
          }
          const Micros taken = ReadMonotonicClock() - accepted;
          seconds.push_back(static_cast<double>(taken.count()) / 1e6);
          return true;
        });
        return waiting.empty();
      },
      "version " + std::to_string(version) + " everywhere");
  }
  std::sort(seconds.begin(), seconds.end());
  std::cerr << "accept-to-in-force: samples=" << seconds.size()
            << " p50=" << seconds[seconds.size() / 2]
            << " s max=" << seconds.back() << " s" << std::endl;
  cr_assert(seconds.back() < 12.0);
}

// Guards against lost updates when two operators change the configuration at
// once through two entries. One change is accepted; the other is refused with a
// conflict, and no part of it is in force.
Test(Configuration, OneOfTwoOperatorsIsToldOfTheConflict)
{
  Bench bench;
  bench.StartUsual(2, 1);
  for (std::uint64_t version = 2; version <= 6; ++version) {
    WaitForVersion(bench, "entry1", version - 1);
    WaitForVersion(bench, "entry2", version - 1);
    std::string other = Bench::ConfigText(version);
    other.replace(other.find("10000"), 5, "20000");
    HttpCaller caller;
    std::vector<int> statuses;
    for (int number = 1; number <= 2; ++number) {
      HttpCall call;
      call.method_ = "PUT";
      call.url_ =
        Operators(bench, "entry" + std::to_string(number)) + "/v1/config";
      call.body_ = number == 1 ? Bench::ConfigText(version) : other;
      call.deadline_ = ReadMonotonicClock() + std::chrono::seconds(20);
      caller.Start(std::move(call), [&](const Result<HttpReply>& aReply) {
        const auto* reply = std::get_if<HttpReply>(&aReply);
        statuses.push_back(reply == nullptr ? 0 : reply->status_);
      });
    }
    WaitUntil([&] { return statuses.size() == 2; }, "both answers");
    std::sort(statuses.begin(), statuses.end());
    cr_assert(statuses[0] == 200 && statuses[1] == 409,
              "answers %d and %d",
              statuses[0],
              statuses[1]);
  }
}

// Guards against an unknown outcome when a write takes effect but its answer is
// lost. The operator must receive a success for a change made exactly once, so
// that no retry is needed.
Test(Configuration, LostAnswerIsResolved)
{
  Bench bench;
  bench.StartUsual(1, 1);
  bench.SetFault("lose-answer", "1");
  cr_assert(Put(bench, "entry1", Bench::ConfigText(2)) == 200);
  cr_assert(Holds(bench, "entry1", 2));
}

// Guards against accepting a configuration that is invalid or skips a version.
// It must be refused without any effect.
Test(Configuration, InvalidIsNeverAccepted)
{
  Bench bench;
  bench.StartUsual(1, 1);
  std::string repeated = Bench::ConfigText(2);
  repeated.replace(repeated.find("\"again\""), 7, "\"once\"");
  cr_assert(Put(bench, "entry1", repeated) == 400);
  cr_assert(Put(bench, "entry1", "{\"version\":2") == 400);
  cr_assert(Put(bench, "entry1", Bench::ConfigText(5)) == 409);
  cr_assert(Put(bench, "entry1", Bench::ConfigText(1)) == 409);
  cr_assert(Holds(bench, "entry1", 1));
}

// Guards against a rollback when the table service is restored from an old copy
// or returns stale data. Without a guard every entry would revert to the old
// configuration although the new one was reported to operators as in force.
Test(Configuration, RestoredTableDoesNotRevertIt)
{
  Bench bench;
  bench.StartUsual(2, 1);
  bench.SetFault("remember");
  cr_assert(Put(bench, "entry1", Bench::ConfigText(2)) == 200);
  WaitForVersion(bench, "entry2", 2);
  bench.SetFault("past");
  WaitUntil(
    [&] {
      return bench["entry1"].Log().find("configuration-regression") !=
               std::string::npos &&
             bench["entry2"].Log().find("configuration-regression") !=
               std::string::npos;
    },
    "both entries to detect stale answers");
  cr_assert(Holds(bench, "entry1", 2) && Holds(bench, "entry2", 2));
  bench.SetFault("none");
  bench.SetFault("restore");
  WaitUntil([&] { return VersionInTable(bench) == 2; },
            "the version in force to be written back");
  cr_assert(Holds(bench, "entry1", 2) && Holds(bench, "entry2", 2));
  cr_assert(Put(bench, "entry2", Bench::ConfigText(3)) == 200);
  WaitForVersion(bench, "entry1", 3);
}

// Guards against new processes that start without a configuration while the
// table service is down. A replaced entry must obtain the configuration in
// force from its peers, and a new side from an entry.
Test(Configuration, NewProcessesLearnItWhileTheTableIsDown)
{
  Bench bench;
  bench.StartUsual(1, 1);
  cr_assert(Put(bench, "entry1", Bench::ConfigText(2)) == 200);
  WaitForVersion(bench, "side1", 2);
  const std::string membership = bench["entry1"].Value("membership");
  bench.SetFault("down");
  bench["entry1"].Kill();
  bench.StartEntry("entry1", "", membership);
  WaitForVersion(bench, "entry1", 2);
  bench.StartSide("side2");
  WaitForVersion(bench, "side2", 2);
  bench.WaitForSide("entry1", "side1");
  CallPlan plan;
  plan.method_ = "GET";
  cr_assert(bench.SendAndWait("entry1", plan).status_ == 200);
  cr_assert(Put(bench, "entry1", Bench::ConfigText(3)) == 503);
  cr_assert(Holds(bench, "entry1", 2));
}
