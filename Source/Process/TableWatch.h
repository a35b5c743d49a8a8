#pragma once

#include "Connection/RowStore.h"
#include "Process/Guarded.h"
#include "Process/Log.h"

#include <QObject>
#include <QTimer>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cactusrail {

/** Whether changes of a table are followed after the initial read. */
enum class TableUse : std::uint8_t
{
  ReadOnce,
  Follow,
};

/**
 * Reads a whole table and then follows its changes. Reads the whole table again
 * when the store has dropped its change history, and then also reports the rows
 * that were removed in the meantime. A row may be reported twice. Owned by its
 * user.
 */
template<RowStore Store>
class TableWatch : public QObject
{
public:
  using RowCallback = std::function<void(const Row&)>;

  TableWatch(Store& aStore,
             std::string aTable,
             std::vector<std::string> aParts,
             TableUse aUse,
             RowCallback aOnRow,
             std::function<void()> aOnRead)
    : store_(aStore)
    , table_(std::move(aTable))
    , parts_(std::move(aParts))
    , use_(aUse)
    , onRow_(std::move(aOnRow))
    , onRead_(std::move(aOnRead))
  {
  }

  void Start()
  {
    nextPart_ = 0;
    unreadParts_ = parts_.size();
    version_ = std::numeric_limits<std::uint64_t>::max();
    readAsOf_ = Instant::max();
    for (std::size_t i = 0; i < std::min(kReadsAtOnce, parts_.size()); ++i) {
      ReadNextPart();
    }
  }

  /** Returns the time before which all stored rows have been reported; the zero
   * of the clock until the first read of the table is complete. */
  Instant CurrentAsOf() const { return currentAsOf_; }

private:
  /** Position at which the read of a part continues. */
  struct Position
  {
    std::size_t part_ = 0;
    std::string key_;
  };

  static constexpr std::size_t kReadsAtOnce = 8;
  static constexpr Millis kReadTimeout{ 2000 };
  static constexpr Millis kRetry{ 200 };
  /** Timeout of a watch without a change. A connection may stop delivering data
   * without being closed (network partition, frozen peer). The client abandons
   * the watch shortly after this timeout, so a change is reported less than two
   * seconds after the partition. */
  static constexpr Millis kWait{ 800 };

  /** Starts the read of the next part, if any is left. */
  void ReadNextPart()
  {
    if (nextPart_ < parts_.size()) {
      ReadFrom({ nextPart_++, {} });
    }
  }

  void ReadFrom(const Position& aPosition)
  {
    const Instant sentAt = ReadMonotonicClock();
    store_.Read({ table_, parts_.at(aPosition.part_), aPosition.key_, {} },
                sentAt + kReadTimeout,
                Guarded(this, [this, aPosition, sentAt](Result<RowPage> aPage) {
                  OnPage(std::move(aPage), aPosition, sentAt);
                }));
  }

  void OnPage(Result<RowPage> aPage, const Position& aPosition, Instant aSentAt)
  {
    const auto* page = std::get_if<RowPage>(&aPage);
    if (page == nullptr) {
      QTimer::singleShot(
        kRetry, this, [this, aPosition] { ReadFrom(aPosition); });
      return;
    }
    // Follows changes from the oldest page on, so that a row that changes while
    // other pages are read is reported twice instead of being missed.
    version_ = std::min(version_, page->version_);
    readAsOf_ = std::min(readAsOf_, aSentAt);
    ReportRemovedRows(*page, aPosition);
    for (const Row& row : page->rows_) {
      Report(row);
    }
    if (page->more_ && !page->rows_.empty()) {
      // Keys contain no character below the space, so the key with a space
      // appended is the first one that can follow.
      ReadFrom({ aPosition.part_, page->rows_.back().id_.key_ + " " });
      return;
    }
    if (--unreadParts_ > 0) {
      ReadNextPart();
      return;
    }
    currentAsOf_ = readAsOf_;
    if (use_ == TableUse::Follow) {
      Follow();
    }
    onRead_();
  }

  void Report(const Row& aRow)
  {
    if (use_ == TableUse::Follow) {
      auto& keys = reported_[aRow.id_.part_];
      if (aRow.removed_) {
        keys.erase(aRow.id_.key_);
      } else {
        keys.insert(aRow.id_.key_);
      }
    }
    onRow_(aRow);
  }

  /** Reports the rows in the range of a page that were reported before and are
   * not in the page. */
  void ReportRemovedRows(const RowPage& aPage, const Position& aPosition)
  {
    const std::string& part = parts_.at(aPosition.part_);
    std::set<std::string>& keys = reported_[part];
    const auto end = aPage.more_ && !aPage.rows_.empty()
                       ? keys.upper_bound(aPage.rows_.back().id_.key_)
                       : keys.end();
    std::vector<std::string> gone(keys.lower_bound(aPosition.key_), end);
    std::erase_if(gone, [&aPage](const std::string& aKey) {
      const auto row =
        std::lower_bound(aPage.rows_.begin(),
                         aPage.rows_.end(),
                         aKey,
                         [](const Row& aRow, const std::string& aWanted) {
                           return aRow.id_.key_ < aWanted;
                         });
      return row != aPage.rows_.end() && row->id_.key_ == aKey;
    });
    for (const std::string& key : gone) {
      Report({ { table_, part, key }, {}, aPage.version_, true });
    }
  }

  void Follow()
  {
    sentAt_ = ReadMonotonicClock();
    store_.Watch(table_,
                 version_,
                 kWait,
                 Guarded(this, [this](Result<RowChanges> aChanges) {
                   OnChanges(std::move(aChanges));
                 }));
  }

  void OnChanges(Result<RowChanges> aChanges)
  {
    const auto* changes = std::get_if<RowChanges>(&aChanges);
    if (changes == nullptr) {
      QTimer::singleShot(kRetry, this, [this] { Follow(); });
      return;
    }
    if (changes->historyExpired_) {
      LogChange("table-read-anew", { { "table", table_ } });
      Start();
      return;
    }
    version_ = changes->version_;
    for (const Row& row : changes->rows_) {
      Report(row);
    }
    currentAsOf_ = sentAt_;
    Follow();
  }

  Store& store_;
  std::string table_;
  std::vector<std::string> parts_;
  TableUse use_;
  RowCallback onRow_;
  std::function<void()> onRead_;
  std::size_t nextPart_ = 0;
  /** Number of parts that have not been read completely. */
  std::size_t unreadParts_ = 0;
  std::uint64_t version_ = 0;
  /** Time at which the watch in flight was sent. */
  Instant sentAt_;
  /** Time at which the first page of the current read was requested. */
  Instant readAsOf_;
  Instant currentAsOf_;
  /** Keys of the rows that exist as last reported, by part; empty unless the
   * table is followed. */
  std::map<std::string, std::set<std::string>> reported_;
};

}
