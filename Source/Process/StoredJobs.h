#pragma once

#include "Connection/RowStore.h"
#include "Process/CallerCall.h"
#include "Process/FleetRecords.h"
#include "Process/Instant.h"
#include "Version/JobProgress.h"
#include "Version/RecordCodec.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace cactusrail {

/**
 * What the table says of a job, for when no leader can be asked. Each question
 * is answered within kReadTimeout, in the thread that asks. Owned by the entry,
 * as long as its store.
 */
template<RowStore Store>
class StoredJobs
{
public:
  using Answer = std::function<void(const CallerReply&)>;

  /** What a caller is told when the store does not say. */
  static constexpr const char* kNoAnswer = "The table service does not answer.";

  explicit StoredJobs(Store& aStore)
    : store_(aStore)
  {
  }

  /** A final state if one is stored; else whether the job was accepted, and
   * whether it was cancelled since. */
  void ReadState(const std::string& aJob, const Answer& aAnswer)
  {
    ReadPage(ProgressRowId(aJob),
             [this, aJob, aAnswer](const Result<RowPage>& aPage) {
               const auto* page = std::get_if<RowPage>(&aPage);
               if (page == nullptr) {
                 aAnswer(ReplyTryLater(kNoAnswer));
                 return;
               }
               const JobState state = StateIn(*page);
               if (IsFinal(state)) {
                 aAnswer(ReplyState(state));
                 return;
               }
               ReadAccepted(aJob, state, aAnswer);
             });
  }

  /** Whether there is such a row; none if the store does not say. */
  void Find(const RowId& aId,
            const std::function<void(std::optional<bool>)>& aCallback)
  {
    ReadPage(aId, [aCallback](const Result<RowPage>& aPage) {
      const auto* page = std::get_if<RowPage>(&aPage);
      if (page == nullptr) {
        aCallback(std::nullopt);
        return;
      }
      aCallback(!page->rows_.empty());
    });
  }

private:
  /** A read takes some 10 ms; a caller waits 3 s and may need three reads. */
  static constexpr Millis kReadTimeout{ 1000 };

  /** Reads the one row of this key. */
  void ReadPage(const RowId& aId,
                const std::function<void(const Result<RowPage>&)>& aCallback)
  {
    store_.Read(
      RowRange::Only(aId), ReadMonotonicClock() + kReadTimeout, aCallback);
  }

  /** A row that can't be read shows at least that something has run. */
  static JobState StateIn(const RowPage& aPage)
  {
    if (aPage.rows_.empty()) {
      return JobState::Pending;
    }
    const Result<JobProgress> known =
      DecodeRecord<JobProgress>(aPage.rows_.front().value_);
    const auto* progress = std::get_if<JobProgress>(&known);
    const bool ended = progress != nullptr && IsFinal(progress->state_);
    return ended ? progress->state_ : JobState::Running;
  }

  void ReadAccepted(const std::string& aJob,
                    JobState aState,
                    const Answer& aAnswer)
  {
    Find(JobRowId(aJob),
         [this, aJob, aState, aAnswer](std::optional<bool> aStored) {
           if (!aStored.has_value()) {
             aAnswer(ReplyTryLater(kNoAnswer));
             return;
           }
           if (!*aStored) {
             aAnswer(ReplyOf(CallerOutcome::NoSuchJob));
             return;
           }
           ReadCancelled(aJob, aState, aAnswer);
         });
  }

  void ReadCancelled(const std::string& aJob,
                     JobState aState,
                     const Answer& aAnswer)
  {
    Find(CancelRowId(aJob), [aState, aAnswer](std::optional<bool> aCancelled) {
      const bool cancelled = aCancelled.value_or(false);
      aAnswer(ReplyState(cancelled ? JobState::Cancelled : aState));
    });
  }

  Store& store_;
};

}
