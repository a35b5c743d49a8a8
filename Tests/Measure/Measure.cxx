#include "Policies.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <iomanip>
#include <iostream>
#include <map>
#include <thread>

using namespace cactusrail::measure;

namespace {

/** Name of a reference session with the urgent or the batch work disabled. */
constexpr const char* kUrgentAlone = "urgent-alone";
constexpr const char* kBatchAlone = "batch-alone";
constexpr const char* kOwnBatchAlone = "batch-alone-own";

struct Job
{
  Deployment deployment_;
  std::string policy_;
  SessionOptions options_;
  std::string row_;
  Outcome outcome_;
};

Outcome
RunJob(const Job& aJob)
{
  World world(aJob.deployment_, aJob.options_);
  const std::unique_ptr<Policy> policy =
    MakePolicy(aJob.policy_, aJob.deployment_, aJob.options_.seed_, world);
  return world.Run(*policy);
}

/** Runs the sessions in parallel; each has its own virtual clock. */
void
RunAll(std::vector<Job>& aJobs, std::size_t aThreads)
{
  std::atomic<std::size_t> next{ 0 };
  const auto work = [&aJobs, &next] {
    for (std::size_t index = next++; index < aJobs.size(); index = next++) {
      aJobs[index].outcome_ = RunJob(aJobs[index]);
    }
  };
  std::vector<std::thread> threads;
  for (std::size_t thread = 0; thread < aThreads; ++thread) {
    threads.emplace_back(work);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

std::vector<Job>
MakeJobs(const Deployment& aDeployment,
         const std::vector<std::string>& aPolicies,
         std::uint64_t aFirstSeed,
         std::size_t aSeeds,
         double aSeconds)
{
  std::vector<Job> jobs;
  const auto add = [&](const std::string& aPolicy,
                       const std::string& aRow,
                       bool aUrgent,
                       bool aBatch) {
    for (std::uint64_t seed = aFirstSeed; seed < aFirstSeed + aSeeds; ++seed) {
      Job job;
      job.deployment_ = aDeployment;
      job.policy_ = aPolicy;
      job.row_ = aRow;
      job.options_.seed_ = seed;
      job.options_.seconds_ = aSeconds;
      job.options_.warmUpSeconds_ = aSeconds / 6;
      job.options_.urgent_ = aUrgent;
      job.options_.batch_ = aBatch;
      jobs.push_back(std::move(job));
    }
  };
  add("cactusrail", kUrgentAlone, true, false);
  // Two references for batch work without urgent work on the same capacity:
  // plain least loaded, which reserves nothing, and the product's policy, which
  // wastes nothing on impossible jobs. The larger result of a seed counts.
  add("least-loaded-hold", kBatchAlone, false, true);
  add("cactusrail", kOwnBatchAlone, false, true);
  for (const std::string& policy : aPolicies) {
    add(policy, policy, true, true);
  }
  return jobs;
}

/** Median and half of the interquartile range. */
struct Spread
{
  double median_ = 0;
  double spread_ = 0;
};

Spread
SpreadOf(std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  const auto at = [&aValues](double aPart) {
    const double place = aPart * static_cast<double>(aValues.size() - 1);
    const auto low = static_cast<std::size_t>(place);
    const std::size_t high = std::min(low + 1, aValues.size() - 1);
    const double part = place - static_cast<double>(low);
    return aValues[low] * (1 - part) + aValues[high] * part;
  };
  return { at(0.5), (at(0.75) - at(0.25)) / 2 };
}

void
PrintCell(Spread aSpread, int aDigits)
{
  std::ostringstream text;
  text << std::fixed << std::setprecision(aDigits) << aSpread.median_ << "±"
       << aSpread.spread_;
  // The sign takes two bytes but one column.
  std::cout << std::setw(14) << text.str();
}

struct Column
{
  const char* title_;
  int digits_;
  double (*value_)(const Outcome& aOutcome,
                   const Outcome& aUrgentAlone,
                   const Outcome& aBatchAlone);
};

double
Ratio(double aValue, double aReference)
{
  return aReference > 0 ? aValue / aReference : 0;
}

const std::vector<Column>&
Columns()
{
  using Row = const Outcome&;
  static const std::vector<Column> kColumns{
    { "p50 ms", 1, [](Row aRow, Row, Row) { return aRow.p50_; } },
    { "p99 ms", 1, [](Row aRow, Row, Row) { return aRow.p99_; } },
    { "p99.9 ms", 1, [](Row aRow, Row, Row) { return aRow.p999_; } },
    { "p99/alone",
      3,
      [](Row aRow, Row aAlone, Row) { return Ratio(aRow.p99_, aAlone.p99_); } },
    { "batch/alone",
      3,
      [](Row aRow, Row, Row aAlone) {
        return Ratio(aRow.batchWork_, aAlone.batchWork_);
      } },
    { "evicted", 1, [](Row aRow, Row, Row) { return aRow.evictions_; } },
    { "payouts", 1, [](Row aRow, Row, Row) { return aRow.payoutEvictions_; } },
    { "moved", 1, [](Row aRow, Row, Row) { return aRow.moves_; } },
    { "refused/1e4", 2, [](Row aRow, Row, Row) { return aRow.refusals_; } },
    { "start99 s", 2, [](Row aRow, Row, Row) { return aRow.start99_; } },
    { "wasted", 0, [](Row aRow, Row, Row) { return aRow.wastedStarts_; } },
    { "overcommit", 0, [](Row aRow, Row, Row) { return aRow.overCommits_; } },
  };
  return kColumns;
}

using OutcomesByRow = std::map<std::string, std::vector<Outcome>>;

void
PrintRow(const std::string& aRow, OutcomesByRow& aOutcomes)
{
  const std::vector<Outcome>& urgentAlone = aOutcomes[kUrgentAlone];
  const std::vector<Outcome>& batchAlone = aOutcomes[kBatchAlone];
  const std::vector<Outcome>& ownAlone = aOutcomes[kOwnBatchAlone];
  const std::vector<Outcome>& rows = aOutcomes[aRow];
  std::cout << std::left << std::setw(18) << aRow << std::right;
  for (const Column& column : Columns()) {
    std::vector<double> values;
    for (std::size_t seed = 0; seed < rows.size(); ++seed) {
      const bool ownIsMore =
        ownAlone[seed].batchWork_ > batchAlone[seed].batchWork_;
      values.push_back(
        column.value_(rows[seed],
                      urgentAlone[seed],
                      ownIsMore ? ownAlone[seed] : batchAlone[seed]));
    }
    PrintCell(SpreadOf(std::move(values)), column.digits_);
  }
  std::cout << "\n";
}

void
PrintTable(const Deployment& aDeployment,
           const std::vector<std::string>& aPolicies,
           OutcomesByRow& aOutcomes,
           double aSeconds)
{
  std::cout << "\n"
            << aDeployment.name_ << ": " << aOutcomes[kUrgentAlone].size()
            << " seeds of " << aSeconds
            << " s, median ± half the quartile distance; ratios by seed\n"
            << std::setw(18) << "";
  for (const Column& column : Columns()) {
    std::cout << std::setw(13) << column.title_;
  }
  std::cout << "\n";
  std::vector<std::string> rows{ kUrgentAlone, kBatchAlone, kOwnBatchAlone };
  rows.insert(rows.end(), aPolicies.begin(), aPolicies.end());
  for (const std::string& row : rows) {
    PrintRow(row, aOutcomes);
  }
}

/**
 * Checks hard invariants only, which depend neither on the machine's speed nor
 * on chance.
 */
bool
CheckQuick(const Deployment& aDeployment)
{
  bool good = true;
  for (const std::string& policy : PolicyNames()) {
    Job job;
    job.deployment_ = aDeployment;
    job.policy_ = policy;
    job.options_.seconds_ = 60;
    job.options_.warmUpSeconds_ = 5;
    const Outcome one = RunJob(job);
    const Outcome two = RunJob(job);
    const bool same =
      one.answered_ == two.answered_ && one.p999_ == two.p999_ &&
      one.batchWork_ == two.batchWork_ && one.evictions_ == two.evictions_;
    const bool whole = one.overCommits_ == 0 && one.answered_ > 0;
    std::cout << aDeployment.name_ << " " << policy
              << (same ? ": same twice" : ": DIFFERS between two runs")
              << ", over-commits " << one.overCommits_ << ", answered "
              << one.answered_ << "\n";
    good = good && same && whole;
  }
  return good;
}

}

int
main(int argc, char** argv)
{
  namespace options = boost::program_options;
  std::uint64_t firstSeed = 1;
  std::size_t seeds = 10;
  std::size_t threads = 4;
  double seconds = 180;
  std::vector<std::string> policies;
  options::options_description known("cactusrail-measure");
  known.add_options()("help", "prints this help")(
    "quick", "checks hard invariants only, for CI")(
    "seeds", options::value(&seeds), "number of sessions of each policy")(
    "first-seed",
    options::value(&firstSeed),
    "first seed; further seeds count up from it")(
    "seconds",
    options::value(&seconds),
    "length of a session in virtual seconds")(
    "threads", options::value(&threads), "sessions that run at a time")(
    "policy", options::value(&policies), "only these policies");
  options::variables_map given;
  try {
    options::store(options::parse_command_line(argc, argv, known), given);
    options::notify(given);
  } catch (const options::error& error) {
    std::cerr << "cactusrail-measure: " << error.what() << "\n";
    return 2;
  }
  if (given.count("help") > 0) {
    std::cout << known;
    return 0;
  }
  if (given.count("quick") > 0) {
    const bool tagasi = CheckQuick(TagasiDeployment());
    const bool valtierra = CheckQuick(ValtierraDeployment());
    return tagasi && valtierra ? 0 : 1;
  }
  if (policies.empty()) {
    policies = PolicyNames();
  }
  for (const Deployment& deployment :
       { TagasiDeployment(), ValtierraDeployment() }) {
    std::vector<Job> jobs =
      MakeJobs(deployment, policies, firstSeed, seeds, seconds);
    RunAll(jobs, threads);
    OutcomesByRow outcomes;
    for (const Job& job : jobs) {
      outcomes[job.row_].push_back(job.outcome_);
    }
    PrintTable(deployment, policies, outcomes, seconds);
  }
  return 0;
}
