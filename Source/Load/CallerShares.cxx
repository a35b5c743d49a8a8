#include "Load/CallerShares.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>
#include <optional>
#include <tuple>
#include <utility>

namespace cactusrail {

namespace {

namespace acc = boost::accumulators;

constexpr double kMedian = 0.5;
constexpr double kNineInTen = 0.9;
/** Number of jobs of a queue after which its quantiles are computed anew. */
constexpr std::size_t kRecentJobs = 200;
/** Number of jobs below which a queue's quantiles are too inaccurate. */
constexpr std::size_t kMinJobs = 10;
/** Bound of the memory for quantiles. Jobs of further queues count as small. */
constexpr std::size_t kMaxQueues = 1000;
/** Separates the parts of an account's name; occurs in no queue. */
constexpr char kSeparator = '\n';

constexpr std::array<std::string_view, 3> kSizeNames{ "small",
                                                      "medium",
                                                      "large" };

std::int64_t
WholeMillis(double aWorkMs)
{
  return static_cast<std::int64_t>(aWorkMs);
}

}

/** Quantiles of the work of a queue's recent jobs: those of the last
 * complete period, until then those of the first one. */
class CallerShares::SizeQuantiles
{
public:
  JobSize SizeOf(double aWorkMs) const
  {
    const Period& period = last_.has_value() ? *last_ : current_;
    if (acc::count(period.median_) < kMinJobs ||
        aWorkMs <= acc::p_square_quantile(period.median_)) {
      return JobSize::Small;
    }
    return aWorkMs <= acc::p_square_quantile(period.nineInTen_)
             ? JobSize::Medium
             : JobSize::Large;
  }

  void Add(double aWorkMs)
  {
    current_.median_(aWorkMs);
    current_.nineInTen_(aWorkMs);
    if (acc::count(current_.median_) >= kRecentJobs) {
      last_ = std::exchange(current_, Period());
    }
  }

private:
  using Quantile = acc::accumulator_set<
    double,
    acc::stats<acc::tag::count, acc::tag::p_square_quantile>>;

  struct Period
  {
    Quantile median_{ acc::quantile_probability = kMedian };
    Quantile nineInTen_{ acc::quantile_probability = kNineInTen };
  };

  Period current_;
  std::optional<Period> last_;
};

CallerShares::CallerShares() = default;
CallerShares::~CallerShares() = default;
CallerShares::CallerShares(CallerShares&&) noexcept = default;
CallerShares&
CallerShares::operator=(CallerShares&&) noexcept = default;

JobSize
CallerShares::SizeOf(std::string_view aQueue, double aWorkMs)
{
  auto found = sizes_.find(aQueue);
  if (found == sizes_.end()) {
    if (sizes_.size() >= kMaxQueues) {
      return JobSize::Small;
    }
    found =
      sizes_.emplace(std::string(aQueue), std::make_unique<SizeQuantiles>())
        .first;
  }
  const JobSize size = found->second->SizeOf(aWorkMs);
  found->second->Add(aWorkMs);
  return size;
}

std::size_t
CallerShares::Classify(std::string_view aDataCentre,
                       std::string_view aQueue,
                       double aWorkMs)
{
  Group group;
  group.size_ = SizeOf(aQueue, aWorkMs);
  group.dataCentre_ = aDataCentre;
  group.queue_ = aQueue;
  group.queueAccount_ = group.dataCentre_ + kSeparator + group.queue_;
  group.sizeAccount_ =
    group.queueAccount_ + kSeparator +
    std::string(kSizeNames.at(static_cast<std::size_t>(group.size_)));
  const auto [found, isNew] =
    numbers_.emplace(group.sizeAccount_, groups_.size());
  if (isNew) {
    groups_.push_back(std::move(group));
  }
  return found->second;
}

void
CallerShares::Add(std::size_t aGroup, double aWorkMs)
{
  const Group& group = groups_.at(aGroup);
  const std::int64_t work = WholeMillis(aWorkMs);
  uses_.OnPlaced(group.dataCentre_, work);
  uses_.OnPlaced(group.queueAccount_, work);
  uses_.OnPlaced(group.sizeAccount_, work);
}

void
CallerShares::Remove(std::size_t aGroup, double aWorkMs)
{
  const Group& group = groups_.at(aGroup);
  const std::int64_t work = WholeMillis(aWorkMs);
  uses_.OnEnded(group.dataCentre_, work);
  uses_.OnEnded(group.queueAccount_, work);
  uses_.OnEnded(group.sizeAccount_, work);
}

bool
CallerShares::IsFurtherAbove(std::size_t aLeft, std::size_t aRight) const
{
  const Group& left = groups_.at(aLeft);
  const Group& right = groups_.at(aRight);
  const auto isAbove = [this](const std::string& aOne,
                              const std::string& aOther) {
    return std::pair(uses_.AllocatedPerShare(aOne), std::string_view(aOne)) >
           std::pair(uses_.AllocatedPerShare(aOther), std::string_view(aOther));
  };
  if (left.dataCentre_ != right.dataCentre_) {
    return isAbove(left.dataCentre_, right.dataCentre_);
  }
  if (left.queue_ != right.queue_) {
    return isAbove(left.queueAccount_, right.queueAccount_);
  }
  return aLeft != aRight && isAbove(left.sizeAccount_, right.sizeAccount_);
}

double
CallerShares::WorkOf(std::size_t aGroup) const
{
  return uses_.AllocatedPerShare(groups_.at(aGroup).sizeAccount_);
}

std::string
CallerShares::NameOf(std::size_t aGroup) const
{
  const Group& group = groups_.at(aGroup);
  return (group.dataCentre_.empty() ? "(unknown)" : group.dataCentre_) + " " +
         group.queue_ + " " +
         std::string(kSizeNames.at(static_cast<std::size_t>(group.size_)));
}

}
