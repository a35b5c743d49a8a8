#include "Request/Admission.h"

#include <algorithm>
#include <cmath>

namespace cactusrail {

namespace {

constexpr double kServiceSmoothing = 0.05;

}

Admission::Admission(const Rules& aRules)
  : rules_(aRules)
  , serviceMicros_(static_cast<double>(aRules.assumedServiceTime_.count()))
{
}

Admission::Tenant
Admission::AddTenant(std::uint32_t aShare)
{
  TenantState tenant;
  tenant.share_ = std::max<std::uint32_t>(1, aShare);
  tenants_.push_back(tenant);
  return static_cast<Tenant>(tenants_.size() - 1);
}

void
Admission::SetSlots(std::uint32_t aSlots)
{
  slots_ = std::max<std::uint32_t>(1, aSlots);
}

Instant
Admission::ExpectedStart(Instant aNow) const
{
  const double ahead = static_cast<double>(waiting_ + running_) + 1 - slots_;
  const double micros = std::max(0.0, ahead) * serviceMicros_ / slots_;
  return aNow + Micros(std::llround(micros));
}

std::variant<Admission::Admitted, Admission::Refused>
Admission::Offer(Tenant aTenant,
                 Urgency aUrgency,
                 Instant aDeadline,
                 Instant aNow)
{
  const Instant start = ExpectedStart(aNow);
  const Micros service(std::llround(serviceMicros_));
  if (start + service > aDeadline) {
    return Refused{ "The request can't be answered before its deadline and was "
                    "not started.",
                    start };
  }
  Admitted admitted;
  if (waiting_ >= rules_.maxWaiting_) {
    const std::optional<std::uint32_t> victim = FindVictim(aTenant, aUrgency);
    if (!victim.has_value()) {
      return Refused{
        "Too many requests wait for the service; retry later. This request "
        "was not started.",
        start
      };
    }
    admitted.shed_ = TicketOf(*victim);
    Unlink(*victim);
    Free(*victim);
  }
  admitted.ticket_ = TicketOf(Append(aTenant, aUrgency, aDeadline));
  return admitted;
}

Admission::Ticket
Admission::TicketOf(std::uint32_t aIndex) const
{
  return Ticket{ aIndex, entries_[aIndex].generation_ };
}

Admission::Entry*
Admission::Find(Ticket aTicket)
{
  if (aTicket.index_ >= entries_.size()) {
    return nullptr;
  }
  Entry& entry = entries_[aTicket.index_];
  const bool same = entry.generation_ == aTicket.generation_;
  return same && entry.state_ != State::Free ? &entry : nullptr;
}

std::uint32_t
Admission::Append(Tenant aTenant, Urgency aUrgency, Instant aDeadline)
{
  auto index = static_cast<std::uint32_t>(entries_.size());
  if (free_.empty()) {
    entries_.emplace_back();
  } else {
    index = free_.back();
    free_.pop_back();
  }
  TenantState& tenant = tenants_[aTenant];
  Queue& queue = tenant.queues_[static_cast<std::size_t>(aUrgency)];
  Entry& entry = entries_[index];
  entry.state_ = State::Waiting;
  entry.urgency_ = aUrgency;
  entry.tenant_ = aTenant;
  entry.deadline_ = aDeadline;
  entry.previous_ = queue.tail_;
  entry.next_ = kNone;
  if (queue.tail_ == kNone) {
    queue.head_ = index;
  } else {
    entries_[queue.tail_].next_ = index;
  }
  queue.tail_ = index;
  ++tenant.waiting_;
  ++waiting_;
  return index;
}

void
Admission::Unlink(std::uint32_t aIndex)
{
  Entry& entry = entries_[aIndex];
  TenantState& tenant = tenants_[entry.tenant_];
  Queue& queue = tenant.queues_[static_cast<std::size_t>(entry.urgency_)];
  if (entry.previous_ == kNone) {
    queue.head_ = entry.next_;
  } else {
    entries_[entry.previous_].next_ = entry.next_;
  }
  if (entry.next_ == kNone) {
    queue.tail_ = entry.previous_;
  } else {
    entries_[entry.next_].previous_ = entry.previous_;
  }
  entry.previous_ = entry.next_ = kNone;
  --tenant.waiting_;
  --waiting_;
}

void
Admission::Free(std::uint32_t aIndex)
{
  Entry& entry = entries_[aIndex];
  entry.state_ = State::Free;
  // The generation keeps a late cancel or answer for the old request from
  // affecting the next request that reuses this index.
  ++entry.generation_;
  free_.push_back(aIndex);
}

std::optional<std::uint32_t>
Admission::FindVictim(Tenant aTenant, Urgency aUrgency) const
{
  const auto excess = [](const TenantState& aState, double aMore) {
    return (aState.waiting_ + aState.running_ + aMore) / aState.share_;
  };
  const auto own = static_cast<std::size_t>(aUrgency);
  for (std::size_t level = kUrgencies; level-- > own;) {
    std::optional<std::uint32_t> victim;
    // Requests of the same urgency are shed only for a tenant that stays below
    // the victim's usage with one more request; otherwise two tenants would
    // shed each other's requests in turn.
    double maxExcess = level == own ? excess(tenants_[aTenant], 1) : -1;
    for (const TenantState& tenant : tenants_) {
      const std::uint32_t last = tenant.queues_[level].tail_;
      if (last != kNone && excess(tenant, 0) > maxExcess) {
        victim = last;
        maxExcess = excess(tenant, 0);
      }
    }
    if (victim.has_value()) {
      return victim;
    }
  }
  return std::nullopt;
}

std::optional<Admission::Tenant>
Admission::NextTenant(std::size_t aUrgency) const
{
  std::optional<Tenant> best;
  double lowestUsage = 0;
  for (Tenant number = 0; number < tenants_.size(); ++number) {
    const TenantState& tenant = tenants_[number];
    const double held = tenant.running_ / tenant.share_;
    if (tenant.queues_[aUrgency].head_ != kNone &&
        (!best.has_value() || held < lowestUsage)) {
      best = number;
      lowestUsage = held;
    }
  }
  return best;
}

std::optional<Admission::Ticket>
Admission::Next(Instant aNow, std::vector<Ticket>& aExpired)
{
  if (waiting_ == 0) {
    return std::nullopt;
  }
  for (std::size_t level = 0; level < kUrgencies; ++level) {
    for (std::optional<Tenant> tenant = NextTenant(level); tenant.has_value();
         tenant = NextTenant(level)) {
      const std::uint32_t index = tenants_[*tenant].queues_[level].head_;
      const Ticket ticket = TicketOf(index);
      Unlink(index);
      if (entries_[index].deadline_ <= aNow) {
        aExpired.push_back(ticket);
        Free(index);
        continue;
      }
      entries_[index].state_ = State::Running;
      ++tenants_[*tenant].running_;
      ++running_;
      return ticket;
    }
  }
  return std::nullopt;
}

void
Admission::OnDone(Ticket aTicket, Micros aServiceTime)
{
  const Entry* entry = Find(aTicket);
  if (entry == nullptr || entry->state_ != State::Running) {
    return;
  }
  const auto micros = static_cast<double>(aServiceTime.count());
  serviceMicros_ += kServiceSmoothing * (micros - serviceMicros_);
  Cancel(aTicket);
}

void
Admission::Cancel(Ticket aTicket)
{
  const Entry* entry = Find(aTicket);
  if (entry == nullptr) {
    return;
  }
  if (entry->state_ == State::Waiting) {
    Unlink(aTicket.index_);
  } else {
    --tenants_[entry->tenant_].running_;
    --running_;
  }
  Free(aTicket.index_);
}

std::size_t
Admission::Waiting() const
{
  return waiting_;
}

std::size_t
Admission::Running() const
{
  return running_;
}

}
