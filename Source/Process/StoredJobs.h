#pragma once

#include "Connection/RowStore.h"
#include "Process/CallerCall.h"
#include "Process/FleetRecords.h"
#include "Version/Instant.h"
#include "Version/JobProgress.h"
#include "Version/RecordCodec.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace cactusrail {

/**
 * Reads the state of a job from the table when no leader is reachable.
 *
 * Each read completes within kReadTimeout, in the calling thread. Owned by the
 * entry; must not outlive the store.
 */
template<RowStore Store>
class StoredJobs
{
public:
  using Answer = std::function<void(const CallerReply&)>;

  /** Message to the caller when the store does not answer. */
  static constexpr const char* kNoAnswer = "The table service does not answer.";

  explicit StoredJobs(Store& aStore)
    : store_(aStore)
  {
  }

  /** Answers with the final state if one is stored; otherwise reads whether the
   * job was accepted and whether it was cancelled afterwards. */
  void ReadState(const std::string& aJob, const Answer& aAnswer)
  {
    ReadPage(ProgressRowId(aJob),
             [this, aJob, aAnswer](const Result<RowPage>& aPage) {
               const auto* page = std::get_if<RowPage>(&aPage);
               if (page == nullptr) {
                 aAnswer(ReplyTryLater(kNoAnswer));
                 return;
               }
               const JobState state = DecodeState(*page);
               if (IsFinal(state)) {
                 aAnswer(ReplyState(state));
                 return;
               }
               ReadAccepted(aJob, state, aAnswer);
             });
  }

  /** Reports whether the row exists; std::nullopt if the store does not answer.
   */
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
  /** A read takes about 10 ms. A caller waits 3 s, and a request may need three
   * reads. */
  static constexpr Millis kReadTimeout{ 1000 };

  void ReadPage(const RowId& aId,
                const std::function<void(const Result<RowPage>&)>& aCallback)
  {
    store_.Read(
      RowRange::Only(aId), ReadMonotonicClock() + kReadTimeout, aCallback);
  }

  /** Returns the state in the row. A row that cannot be decoded counts as
   * Running, because a row exists only after a task of the job has run. */
  static JobState DecodeState(const RowPage& aPage)
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
