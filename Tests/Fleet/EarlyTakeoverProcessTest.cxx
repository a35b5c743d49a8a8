#include "ProcessFleet.h"

#include <criterion/criterion.h>

#include <QCoreApplication>

#include <memory>
#include <optional>

using namespace cactusrail;

namespace {

/** Qt application; each test runs in a separate process and creates one. */
struct Application
{
  int argc_ = 1;
  char name_[5] = "test";
  char* argv_[2] = { name_, nullptr };
  QCoreApplication application_{ argc_, argv_ };
};

constexpr FleetFeatures kEarly{ .earlyTakeover_ = FeatureSwitch::On };

LeaderRecord
LeaseRow()
{
  const auto& rows = MemoryTables::OfTest().rows_;
  const auto found = rows.find(LeaderRowId());
  return found == rows.end()
           ? LeaderRecord()
           : std::get<LeaderRecord>(
               DecodeRecord<LeaderRecord>(found->second.value_));
}

void
WriteLeaseRow(std::uint64_t aEpoch)
{
  LeaderRecord record;
  record.epoch_ = aEpoch;
  record.node_ = "other";
  RowTransaction transaction;
  transaction.puts_.push_back({ LeaderRowId(), EncodeRecord(record) });
  MemoryTables::OfTest().Apply(transaction);
}

bool
IsRegistered(const std::string& aSide)
{
  return MemoryTables::OfTest().rows_.contains(MemberRowId(aSide));
}

/** Returns whether the side accepts a leader of aEpoch: it reports to it. */
bool
Accepts(ProcessFleet& aFleet, std::uint64_t aEpoch)
{
  const Result<SocketAddress> address = ParseSocketAddress(aFleet.SideLinks(0));
  const auto& target = std::get<SocketAddress>(address);
  const auto link =
    std::make_unique<SideLink>(target.ip_, target.port_, nullptr);
  std::optional<bool> accepted;
  QObject::connect(link.get(),
                   &SideLink::Received,
                   [&accepted](const WireMessage&) { accepted = true; });
  QObject::connect(link.get(), &SideLink::Lost, [&accepted] {
    accepted = accepted.value_or(false);
  });
  link->Send(FleetHelloMessage{ "leader", true, aEpoch, 0, 0 });
  aFleet.Wait([&accepted] { return accepted.has_value(); });
  link->disconnect();
  return accepted.value_or(false);
}

}

// Guards against a lease that must expire before another entry leads after the
// leader's process is gone.
Test(EarlyTakeoverProcess, AnotherEntryLeadsWithinTheLease)
{
  const Application application;
  ProcessFleet fleet(2, 1, 1, kEarly);
  cr_assert(fleet.Wait(
    [&fleet] { return fleet.Ask(1, "POST", "warm", "1").status_ == 200; }));
  cr_assert(fleet.Completes(1, "warm"));
  const std::size_t leader = ProcessFleet::Leader() == "entry0" ? 0 : 1;
  const std::uint64_t epoch = LeaseRow().epoch_;
  fleet.KillEntry(leader);
  cr_assert(fleet.Wait([epoch] { return LeaseRow().epoch_ > epoch; }));
  // The row states that the lease of the former leader is still valid.
  cr_expect_gt(LeaseRow().formerLeaseMs_, 0);
  const std::size_t other = 1 - leader;
  cr_assert_eq(fleet.Ask(other, "POST", "after", "1").status_, 200);
  cr_expect(fleet.Completes(other, "after"));
}

// Guards against a side that accepts orders of a former leader, because it
// started after the takeover and does not know the epoch.
Test(EarlyTakeoverProcess, NewSideAcceptsNoFormerLeader)
{
  const Application application;
  WriteLeaseRow(5);
  ProcessFleet fleet(0, 1, 1, kEarly);
  cr_assert(fleet.Wait([&fleet] { return IsRegistered(fleet.SideName(0)); }));
  cr_assert(fleet.Wait([&fleet] { return Accepts(fleet, 5); }));
  fleet.StopSide(0);
  WriteLeaseRow(7);
  fleet.StartSide(0);
  cr_assert(fleet.Wait([&fleet] {
    cr_assert_not(Accepts(fleet, 6));
    return Accepts(fleet, 7);
  }));
}

// Guards against a side that accepts a former leader on an answer of a replica
// that is older than the side's own row.
Test(EarlyTakeoverProcess, OutdatedLeaseIsNotUsed)
{
  const Application application;
  WriteLeaseRow(5);
  ProcessFleet fleet(0, 1, 1, kEarly);
  cr_assert(fleet.Wait([&fleet] { return Accepts(fleet, 5); }));
  fleet.StopSide(0);
  MemoryTables::OfTest().FreezeReads();
  WriteLeaseRow(7);
  const auto versionOf = [&fleet] {
    return MemoryTables::OfTest()
      .rows_[MemberRowId(fleet.SideName(0))]
      .version_;
  };
  const std::uint64_t before = versionOf();
  fleet.StartSide(0);
  cr_assert(fleet.Wait([&] { return versionOf() > before; }));
  const std::size_t reads = MemoryTables::OfTest().reads_;
  cr_assert(fleet.Wait([&] {
    cr_assert_not(Accepts(fleet, 6));
    return MemoryTables::OfTest().reads_ > reads + 2;
  }));
  MemoryTables::OfTest().stale_.reset();
  cr_assert(fleet.Wait([&fleet] { return Accepts(fleet, 7); }));
}
