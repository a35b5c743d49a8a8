#include "Process/JournalStore.h"

#include "Connection/TableClient.h"
#include "Process/Journal.h"
#include "Process/StepSegments.h"

#include <QTimer>

#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <utility>

namespace cactusrail {

namespace {

constexpr Millis kCheckInterval{ 200 };
constexpr Millis kStoreTimeout{ 3000 };
constexpr Millis kRetryDelay{ 1000 };
constexpr std::size_t kMaxWaitingBytes = 16U << 20U;

struct Segment
{
  std::uint64_t slot_ = 0;
  std::string text_;
  std::size_t steps_ = 0;
};

}

class JournalStore::Private : public QObject
{
public:
  Private(Journal& aJournal, TableClient& aStore, SegmentPlan aPlan)
    : journal_(aJournal)
    , store_(aStore)
    , plan_(std::move(aPlan))
    , firstSlot_(SlotNow())
  {
    journal_.CollectNew();
  }

  std::uint64_t SlotNow() const
  {
    return SlotOf(ReadWallClock(), plan_.startMicros_, plan_.slotLength_);
  }

  void Collect(std::int64_t aBeforeWallMicros);
  void Append(std::uint64_t aSlot, const std::vector<RequestStep>& aSteps);
  void WriteNext();
  void ReadThenWrite();
  void Put(const std::string& aEarlier);
  void Check();

  Journal& journal_;
  TableClient& store_;
  SegmentPlan plan_;
  std::uint64_t firstSlot_;
  /** Current slot; the steps of earlier slots have been collected. */
  std::uint64_t openSlot_ = 0;
  std::deque<Segment> waiting_;
  /** Segment that was written last. */
  Segment written_;
  std::size_t waitingBytes_ = 0;
  bool writing_ = false;
  Instant retryAt_;
  QTimer check_;
  JournalStoreCounts counts_;
};

/** Moves the steps from before a time into the segments of their slots. */
void
JournalStore::Private::Collect(std::int64_t aBeforeWallMicros)
{
  std::map<std::uint64_t, std::vector<RequestStep>> bySlot;
  for (RequestStep& step : journal_.TakeNew(aBeforeWallMicros)) {
    const std::uint64_t slot =
      SlotOf(step.wallMicros_, plan_.startMicros_, plan_.slotLength_);
    bySlot[slot].push_back(std::move(step));
  }
  for (const auto& [slot, steps] : bySlot) {
    Append(slot, steps);
  }
  // Limit the memory while the store is down for hours. Drop the oldest
  // segments, because running processes are the most likely to have their
  // steps in memory.
  while (waitingBytes_ > kMaxWaitingBytes && waiting_.size() > 1) {
    const auto oldest = waiting_.begin() + (writing_ ? 1 : 0);
    counts_.droppedSteps_ += oldest->steps_;
    waitingBytes_ -= oldest->text_.size();
    waiting_.erase(oldest);
  }
}

void
JournalStore::Private::Append(std::uint64_t aSlot,
                              const std::vector<RequestStep>& aSteps)
{
  std::string text = SegmentText(aSteps);
  const bool lastIsFree = waiting_.size() > (writing_ ? 1U : 0U);
  if (lastIsFree && waiting_.back().slot_ == aSlot) {
    waitingBytes_ += text.size();
    waiting_.back().text_ += text;
    waiting_.back().steps_ += aSteps.size();
    return;
  }
  // A write replaces the whole object. Prepend the earlier steps of a slot that
  // is being written or was written, so that late steps do not replace them.
  if (!waiting_.empty() && waiting_.back().slot_ == aSlot) {
    text.insert(0, waiting_.back().text_);
  } else if (written_.slot_ == aSlot) {
    text.insert(0, written_.text_);
  }
  waitingBytes_ += text.size();
  waiting_.push_back({ aSlot, std::move(text), aSteps.size() });
}

void
JournalStore::Private::WriteNext()
{
  if (writing_ || waiting_.empty() || retryAt_ > ReadMonotonicClock()) {
    return;
  }
  writing_ = true;
  if (plan_.mergesFirst_ && waiting_.front().slot_ == firstSlot_) {
    ReadThenWrite();
    return;
  }
  Put({});
}

void
JournalStore::Private::ReadThenWrite()
{
  store_.GetObject(plan_.name_(waiting_.front().slot_),
                   ReadMonotonicClock() + kStoreTimeout,
                   [this](const Result<std::optional<std::string>>& aResult) {
                     const auto* found =
                       std::get_if<std::optional<std::string>>(&aResult);
                     if (found == nullptr) {
                       writing_ = false;
                       ++counts_.failed_;
                       retryAt_ = ReadMonotonicClock() + kRetryDelay;
                       return;
                     }
                     Put(found->value_or(std::string()));
                   });
}

void
JournalStore::Private::Put(const std::string& aEarlier)
{
  const Segment& segment = waiting_.front();
  // A retry after a lost response is safe, because it writes the same object.
  store_.PutObject(plan_.name_(segment.slot_),
                   aEarlier + segment.text_,
                   ReadMonotonicClock() + kStoreTimeout,
                   [this](const Result<bool>& aResult) {
                     writing_ = false;
                     if (!Succeeded(aResult)) {
                       ++counts_.failed_;
                       retryAt_ = ReadMonotonicClock() + kRetryDelay;
                       return;
                     }
                     ++counts_.written_;
                     waitingBytes_ -= waiting_.front().text_.size();
                     written_ = std::move(waiting_.front());
                     waiting_.pop_front();
                     WriteNext();
                   });
}

void
JournalStore::Private::Check()
{
  const std::uint64_t slot = SlotNow();
  if (slot != openSlot_) {
    openSlot_ = slot;
    const auto begin =
      static_cast<std::int64_t>(plan_.startMicros_) +
      static_cast<std::int64_t>(slot) * Micros(plan_.slotLength_).count();
    Collect(begin);
  }
  WriteNext();
}

JournalStore::JournalStore(Journal& aJournal,
                           TableClient& aStore,
                           SegmentPlan aPlan)
  : private_(std::make_unique<Private>(aJournal, aStore, std::move(aPlan)))
{
}

JournalStore::~JournalStore() = default;

void
JournalStore::Start()
{
  Private* self = private_.get();
  self->openSlot_ = self->SlotNow();
  QObject::connect(
    &self->check_, &QTimer::timeout, self, [self] { self->Check(); });
  self->check_.start(kCheckInterval);
}

void
JournalStore::WriteAll()
{
  private_->Collect(std::numeric_limits<std::int64_t>::max());
  private_->WriteNext();
}

bool
JournalStore::Idle() const
{
  return private_->waiting_.empty() && private_->journal_.NewSteps() == 0;
}

const JournalStoreCounts&
JournalStore::Counts() const
{
  return private_->counts_;
}

}
