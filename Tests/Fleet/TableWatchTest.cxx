#include "Process/TableWatch.h"
#include "MemoryStore.h"
#include "Process/ConsistentStore.h"
#include "Tests/EventLoop.h"

#include <criterion/criterion.h>

#include <QCoreApplication>

#include <memory>
#include <set>
#include <string>

using namespace cactusrail;

namespace {

struct Application
{
  int argc_ = 1;
  char name_[5] = "test";
  char* argv_[2] = { name_, nullptr };
  QCoreApplication application_{ argc_, argv_ };
};

constexpr Millis kPatience{ 20000 };

void
Put(const std::string& aKey, const std::string& aValue = "value")
{
  RowTransaction transaction;
  transaction.puts_.push_back({ { "table", {}, aKey }, aValue });
  MemoryTables::OfTest().Apply(transaction);
}

void
Remove(const std::string& aKey)
{
  RowTransaction transaction;
  transaction.removals_.push_back({ "table", {}, aKey });
  MemoryTables::OfTest().Apply(transaction);
}

/** A view of the table that is kept up to date by a watch. */
template<RowStore Store>
struct View
{
  View()
    : store_(SocketAddress())
    , watch_(
        store_,
        "table",
        { "" },
        TableUse::Follow,
        [this](const Row& aRow) { Apply(aRow); },
        [this] { ++reads_; })
  {
    watch_.Start();
  }

  void Apply(const Row& aRow)
  {
    if (aRow.removed_) {
      keys_.erase(aRow.id_.key_);
    } else {
      keys_.insert(aRow.id_.key_);
    }
  }

  Store store_;
  std::set<std::string> keys_;
  std::size_t reads_ = 0;
  TableWatch<Store> watch_;
};

}

// Guards against a row that stays known forever, because it was removed while
// the watch had no history to follow.
Test(TableWatch, RowRemovedDuringExpiredHistoryIsReportedAsRemoved)
{
  const Application application;
  Put("a");
  Put("b");
  Put("c");
  View<MemoryStore> view;
  cr_assert(WaitInLoop([&view] { return view.keys_.size() == 3; }, kPatience));
  Remove("b");
  MemoryTables::OfTest().ExpireHistory();
  cr_assert(WaitInLoop([&view] { return view.keys_.size() == 2; }, kPatience));
  cr_assert(view.keys_.contains("a") && view.keys_.contains("c"));
  Put("b");
  cr_assert(WaitInLoop([&view] { return view.keys_.size() == 3; }, kPatience));
}

// Guards against a removed row that a stale read brings back.
Test(TableWatch, StaleReadBringsBackNoRemovedRow)
{
  const Application application;
  Put("a");
  Put("b");
  View<ConsistentStore<MemoryStore>> view;
  cr_assert(WaitInLoop([&view] { return view.keys_.size() == 2; }, kPatience));
  MemoryTables& tables = MemoryTables::OfTest();
  tables.FreezeReads();
  Remove("b");
  cr_assert(WaitInLoop([&view] { return view.keys_.size() == 1; }, kPatience));
  const Instant known = view.watch_.CurrentAsOf();
  tables.ExpireHistory();
  const std::size_t answered = tables.reads_;
  cr_assert(WaitInLoop(
    [&] { return view.keys_.size() == 2 || tables.reads_ >= answered + 3; },
    kPatience));
  cr_assert_not(view.keys_.contains("b"));
  cr_assert_eq(view.reads_, 1, "A stale page counts as a read of the table.");
  cr_assert(view.watch_.CurrentAsOf() == known,
            "The view counts as current on the word of a stale page.");
  tables.stale_.reset();
  cr_assert(WaitInLoop([&view] { return view.reads_ == 2; }, kPatience));
  cr_assert_eq(view.keys_.size(), 1);
}

// Guards against an answer that counts as outdated although nothing newer had
// been observed when the call was made.
Test(TableWatch, AnswerOlderThanALaterWriteIsAccepted)
{
  const Application application;
  Put("a");
  ConsistentStore<MemoryStore> store{ SocketAddress() };
  std::optional<bool> accepted;
  store.Read(
    { "table", {}, {}, {} },
    ReadMonotonicClock() + kPatience,
    [&accepted](const Result<RowPage>& aPage) { accepted = Succeeded(aPage); });
  RowTransaction transaction;
  transaction.puts_.push_back({ { "table", {}, "b" }, "value" });
  store.Write(
    transaction, ReadMonotonicClock() + kPatience, [](const Commit&) {});
  cr_assert(
    WaitInLoop([&accepted] { return accepted.has_value(); }, kPatience));
  cr_assert(*accepted);
}
