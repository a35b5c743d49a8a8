#include "Process/Metrics.h"
#include "Process/MetricsPage.h"

#include <algorithm>
#include <atomic>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

/**
 * Prints the cost of the metrics at the target's number of tenants: recording
 * without a reader, recording while a reader continuously takes snapshots, the
 * time of a snapshot, and the size of the page.
 */

using namespace cactusrail;

namespace {

constexpr std::size_t kTenants = 210;
constexpr std::size_t kRecordings = 300000;
constexpr std::size_t kLanes = 2;
const std::vector<std::string> kClasses{ "urgent", "batch", "watcher" };

using Nanos = std::chrono::nanoseconds;

/**
 * Returns the sorted durations of the recordings in one lane, in nanoseconds.
 */
std::vector<std::int64_t>
RecordAll(Metrics& aMetrics, std::size_t aLane)
{
  std::vector<std::string> tenants;
  for (std::size_t tenant = 0; tenant < kTenants; ++tenant) {
    tenants.push_back("tenant" + std::to_string(tenant));
  }
  std::vector<std::int64_t> durations;
  durations.reserve(kRecordings);
  for (std::size_t index = 0; index < kRecordings; ++index) {
    const std::string& tenant = tenants[(index * 11 + aLane) % kTenants];
    const std::string& name = kClasses[index / kTenants % kClasses.size()];
    const auto begin = std::chrono::steady_clock::now();
    aMetrics.RequestEnded(tenant,
                          name,
                          Verdict::Ran,
                          Micros(static_cast<Micros::rep>(index % 50000)));
    const auto end = std::chrono::steady_clock::now();
    durations.push_back(std::chrono::duration_cast<Nanos>(end - begin).count());
  }
  std::sort(durations.begin(), durations.end());
  return durations;
}

void
PrintRecording(const std::string& aName, Metrics& aMetrics)
{
  std::vector<std::vector<std::int64_t>> lanes(kLanes);
  std::vector<std::thread> threads;
  for (std::size_t lane = 0; lane < kLanes; ++lane) {
    threads.emplace_back(
      [&, lane] { lanes[lane] = RecordAll(aMetrics, lane); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::vector<std::int64_t> all;
  for (const std::vector<std::int64_t>& lane : lanes) {
    all.insert(all.end(), lane.begin(), lane.end());
  }
  std::sort(all.begin(), all.end());
  std::cout << aName << " p50-ns=" << all[all.size() / 2]
            << " p99-ns=" << all[all.size() * 99 / 100]
            << " p99.9-ns=" << all[all.size() * 999 / 1000] << "\n";
}

}

int
main()
{
  Metrics metrics;
  metrics.Describe("entry", "entry1");
  PrintRecording("warm-up   ", metrics);
  PrintRecording("no reader ", metrics);
  std::atomic<bool> reading{ true };
  std::atomic<std::size_t> snapshots{ 0 };
  std::thread reader([&] {
    while (reading) {
      snapshots += metrics.Snapshot().series_.empty() ? 0 : 1;
    }
  });
  PrintRecording("one reader", metrics);
  reading = false;
  reader.join();
  const auto begin = std::chrono::steady_clock::now();
  const MetricsSnapshot snapshot = metrics.Snapshot();
  const auto middle = std::chrono::steady_clock::now();
  const std::string page = MetricsText(snapshot, MetricsDetail::Tenant);
  const auto end = std::chrono::steady_clock::now();
  std::cout << "snapshots beside the lanes=" << snapshots
            << " series=" << snapshot.series_.size() << " snapshot-ms="
            << std::chrono::duration_cast<Millis>(middle - begin).count()
            << " page-ms="
            << std::chrono::duration_cast<Millis>(end - middle).count()
            << " page-bytes=" << page.size() << " class-page-bytes="
            << MetricsText(snapshot, MetricsDetail::Class).size() << "\n";
  return 0;
}
