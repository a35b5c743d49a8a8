#include "Request/SideCore.h"

#include <criterion/criterion.h>

#include <set>

using namespace cactusrail;

namespace {

constexpr Instant kStart{ Micros(1000000000) };
constexpr std::uint16_t kSlots = 8;

/** Test bench of a side whose upstream has kSlots slots. */
class Bench
{
public:
  explicit Bench(const SideCore::Limits& aLimits = SideCore::Limits())
    : core_(aLimits)
  {
    Announcement announcement;
    announcement.service_ = "pricing";
    announcement.address_ = "127.0.0.1";
    announcement.port_ = 8000;
    announcement.slots_ = kSlots;
    announcement.incarnation_ = 1;
    announcement.deadline_ = kStart + Millis(3600000);
    core_.OnAnnounce(announcement, kStart);
  }

  /** Whether the side accepted the attempt. */
  bool Dispatch(Millis aRemaining, std::size_t aBodyBytes = 10)
  {
    DispatchMessage message;
    message.requestId_ = "r" + std::to_string(next_);
    message.attemptId_ = "r" + std::to_string(next_++) + ".1";
    message.upstreamIncarnation_ = 1;
    message.remainingMicros_ =
      static_cast<std::uint64_t>(Micros(aRemaining).count());
    message.body_ = std::string(aBodyBytes, 'x');
    const std::size_t before = refused_;
    Take(core_.OnDispatch(1, message, now_));
    return refused_ == before;
  }

  /** Answers all attempts that run at the upstream. */
  void AnswerAll()
  {
    for (const std::string& id : std::exchange(running_, {})) {
      Take(core_.OnUpstreamAnswer(id, 200, {}, "done", now_));
    }
  }

  void Take(const std::vector<SideAction>& aActions)
  {
    for (const SideAction& action : aActions) {
      if (const auto* call = std::get_if<CallUpstream>(&action)) {
        running_.insert(call->attemptId_);
        ++started_;
      } else if (const auto* answer = std::get_if<SendAnswer>(&action)) {
        const bool ran = answer->answer_.verdict_ == Verdict::Ran;
        refused_ += ran ? 0 : 1;
        answered_ += ran ? 1 : 0;
        retryAfterMs_ = answer->answer_.retryAfterMs_;
      }
    }
  }

  SideCore core_;
  Instant now_ = kStart;
  std::set<std::string> running_;
  std::size_t started_ = 0;
  std::size_t answered_ = 0;
  std::size_t refused_ = 0;
  std::uint32_t retryAfterMs_ = 0;
  int next_ = 0;
};

}

// A burst has several times as many 20 ms requests as the upstream has slots,
// so all can be answered within 0.2 s. Guards against a queue limit of sixteen:
// when an entry stopped during such a burst, 1 to 6 of 40 requests were refused
// after 20 ms with "No further upstream of the service is there to try".
Test(SideCore, BurstThatCanBeServedInTimeIsNotRefused)
{
  Bench bench;
  constexpr std::size_t kBurst = 60;
  for (std::size_t i = 0; i < kBurst; ++i) {
    cr_assert(bench.Dispatch(Millis(10000)), "number %zu", i);
  }
  while (!bench.running_.empty()) {
    bench.now_ += Millis(20);
    bench.AnswerAll();
  }
  cr_assert_eq(bench.answered_, kBurst);
}

// A slow upstream takes a second per request. Guards against queueing a request
// that can't start before its deadline: it must be refused at once, with a
// retry delay.
Test(SideCore, AttemptThatCannotStartInTimeIsRefusedAtOnce)
{
  Bench bench;
  for (int round = 0; round < 40; ++round) {
    for (std::uint16_t i = 0; i < kSlots; ++i) {
      bench.Dispatch(Millis(10000));
    }
    bench.now_ += Millis(1000);
    bench.AnswerAll();
  }
  // All slots are busy, and the queue takes two seconds to serve.
  for (std::uint16_t i = 0; i < 3 * kSlots; ++i) {
    cr_assert(bench.Dispatch(Millis(10000)));
  }
  cr_assert_not(bench.Dispatch(Millis(1500)));
  cr_assert_geq(bench.retryAfterMs_, 500);
  cr_assert(bench.Dispatch(Millis(4000)));
}

// An upstream that hangs gives no answers from which to measure its service
// time. Guards against queueing requests that can't be answered in time.
Test(SideCore, HungUpstreamRefusesRequestsItCannotServe)
{
  Bench bench;
  for (std::uint16_t i = 0; i < 2 * kSlots; ++i) {
    bench.Dispatch(Millis(10000));
  }
  bench.now_ += Millis(5000);
  cr_assert_not(bench.Dispatch(Millis(3000)));
}

// Guards against queued bodies of up to a megabyte each that exhaust the 128 MB
// of a side.
Test(SideCore, QueuedBodiesAreBounded)
{
  SideCore::Limits limits;
  Bench bench(limits);
  std::size_t taken = 0;
  while (bench.Dispatch(Millis(10000), 1U << 20U)) {
    ++taken;
  }
  cr_assert_leq((taken - kSlots) << 20U, 16U << 20U);
  cr_assert_geq(taken, std::size_t{ 2 } * kSlots);
}
