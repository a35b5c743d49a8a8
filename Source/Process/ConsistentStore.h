#pragma once

#include "Connection/RowStore.h"
#include "Process/Log.h"
#include "Process/SocketAddress.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace cactusrail {

/**
 * Store that fails reads and watches whose answer is outdated: older than an
 * answer that this process had received when it made the call. Without this
 * check a replica that lags behind would bring back removed rows, and a view of
 * a table would count as current although changes are missing. Owned by a
 * process of the fleet.
 */
template<RowStore Backend>
class ConsistentStore
{
public:
  explicit ConsistentStore(const SocketAddress& aAddress)
    : backend_(aAddress)
    , newest_(std::make_shared<std::uint64_t>(0))
  {
  }

  void Write(const RowTransaction& aTransaction,
             Instant aDeadline,
             CommitCallback aCallback)
  {
    backend_.Write(
      aTransaction,
      aDeadline,
      [newest = newest_, callback = std::move(aCallback)](const Commit& aMade) {
        Observe(*newest, aMade.version_);
        callback(aMade);
      });
  }

  /** Fails with Refused if the answer is outdated. */
  void Read(const RowRange& aRange, Instant aDeadline, PageCallback aCallback)
  {
    backend_.Read(aRange, aDeadline, CheckAnswer<RowPage>(aCallback));
  }

  /** Fails with Refused if the answer is outdated. */
  void Watch(const std::string& aTable,
             std::uint64_t aAfter,
             Millis aWait,
             ChangesCallback aCallback)
  {
    backend_.Watch(aTable, aAfter, aWait, CheckAnswer<RowChanges>(aCallback));
  }

private:
  static void Observe(std::uint64_t& aNewest, std::uint64_t aVersion)
  {
    aNewest = std::max(aNewest, aVersion);
  }

  static bool IsOutdated(const RowPage& aPage, std::uint64_t aSeen)
  {
    return aPage.version_ < aSeen;
  }

  static bool IsOutdated(const RowChanges& aChanges, std::uint64_t aSeen)
  {
    return !aChanges.historyExpired_ && aChanges.version_ < aSeen;
  }

  /** Returns a callback that passes on answers that are not outdated. */
  template<typename Answer>
  std::function<void(Result<Answer>)> CheckAnswer(
    std::function<void(Result<Answer>)> aCallback)
  {
    return [newest = newest_, seen = *newest_, callback = std::move(aCallback)](
             Result<Answer> aAnswer) {
      if (const auto* answer = std::get_if<Answer>(&aAnswer)) {
        if (IsOutdated(*answer, seen)) {
          LogProblem("table-answer-outdated",
                     { { "version", std::to_string(answer->version_) },
                       { "seen", std::to_string(seen) } });
          callback(NotRun(FailureKind::Refused,
                          "The table service answered with version " +
                            std::to_string(answer->version_) +
                            ", although version " + std::to_string(seen) +
                            " had been observed."));
          return;
        }
        Observe(*newest, answer->version_);
      }
      callback(std::move(aAnswer));
    };
  }

  Backend backend_;
  /** Highest version in any answer so far; shared with the calls in flight,
   * whose answers may arrive after the store was destroyed. */
  std::shared_ptr<std::uint64_t> newest_;
};

}
