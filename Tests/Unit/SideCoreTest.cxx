#include "Request/SideCore.h"

#include <criterion/criterion.h>

#include <set>

using namespace cactusrail;

namespace {

constexpr Instant kStart{ Micros(1000000000) };
constexpr std::uint16_t kSlots = 8;

/** A side whose upstream has kSlots slots. */
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

  /** True if the side took it. */
  bool Dispatch(Millis aLeft, std::size_t aBodyBytes = 10)
  {
    DispatchMessage message;
    message.requestId_ = "r" + std::to_string(next_);
    message.attemptId_ = "r" + std::to_string(next_++) + ".1";
    message.upstreamIncarnation_ = 1;
    message.remainingMicros_ =
      static_cast<std::uint64_t>(Micros(aLeft).count());
    message.body_ = std::string(aBodyBytes, 'x');
    const std::size_t before = refused_;
    Take(core_.OnDispatch(1, message, now_));
    return refused_ == before;
  }

  /** The upstream answers all that it runs now. */
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

// Clerks ask for valuations in one moment, several times as many as the
// upstream has slots. Each takes 20 ms, so all would be answered within 0.2 s;
// those that found sixteen before them waiting were told to come back later.
// Seen when an entry was stopped in such a moment: 1 to 6 of 40 turned away
// after 20 ms, "No further upstream of the service is there to try".
Test(SideCore, BurstThatCanBeServedInTimeIsNotTurnedAway)
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

// The upstream has become slow: a valuation takes a second. One that could not
// start before its caller stops waiting must hear so at once, and when to come
// back, rather than wait for its time to pass.
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
  // All slots are taken, and as many wait as are served in two seconds.
  for (std::uint16_t i = 0; i < 3 * kSlots; ++i) {
    cr_assert(bench.Dispatch(Millis(10000)));
  }
  cr_assert_not(bench.Dispatch(Millis(1500)));
  cr_assert_geq(bench.retryAfterMs_, 500);
  cr_assert(bench.Dispatch(Millis(4000)));
}

// The upstream hangs: it answers nothing, so nothing is learned of it either.
// Callers who could only wait in vain are turned away all the same.
Test(SideCore, HungUpstreamMakesNobodyWaitInVain)
{
  Bench bench;
  for (std::uint16_t i = 0; i < 2 * kSlots; ++i) {
    bench.Dispatch(Millis(10000));
  }
  bench.now_ += Millis(5000);
  cr_assert_not(bench.Dispatch(Millis(3000)));
}

// Bodies may be a megabyte each, and a side has 128 MB in all.
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
