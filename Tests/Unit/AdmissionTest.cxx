#include "Request/Admission.h"

#include <criterion/criterion.h>

using namespace cactusrail;

namespace {

Instant
At(std::int64_t aMillis)
{
  return Instant(Millis(aMillis));
}

Admission::Ticket
Admit(Admission& aAdmission, Admission::Tenant aTenant, Urgency aUrgency)
{
  const auto decision = aAdmission.Offer(aTenant, aUrgency, At(60000), At(0));
  cr_assert(std::holds_alternative<Admission::Admitted>(decision));
  return std::get<Admission::Admitted>(decision).ticket_;
}

bool
IsRefused(Admission& aAdmission, Admission::Tenant aTenant, Urgency aUrgency)
{
  return std::holds_alternative<Admission::Refused>(
    aAdmission.Offer(aTenant, aUrgency, At(60000), At(0)));
}

Admission
SmallQueue(std::size_t aMaxWaiting)
{
  Admission::Rules rules;
  rules.maxWaiting_ = aMaxWaiting;
  return Admission(rules);
}

}

// Guards against requests that wait for their timeout, for instance ten
// seconds, although the queue already exceeds their deadline on arrival.
Test(Admission, RefusesRequestThatCannotMeetItsDeadline)
{
  Admission admission = SmallQueue(100);
  const Admission::Tenant tenant = admission.AddTenant(1);
  for (int count = 0; count < 50; ++count) {
    Admit(admission, tenant, Urgency::Normal);
  }
  const auto late = admission.Offer(tenant, Urgency::Normal, At(500), At(0));
  cr_assert(std::holds_alternative<Admission::Refused>(late));
  const Instant retryAt = std::get<Admission::Refused>(late).retryAt_;
  cr_assert(retryAt == At(1000), "50 ahead of one slot at 20 ms each");
  const auto laterDeadline =
    admission.Offer(tenant, Urgency::Normal, At(2000), At(0));
  cr_assert(std::holds_alternative<Admission::Admitted>(laterDeadline));
}

// Guards against one tenant's burst filling the queue, so that the requests of
// all other tenants are refused.
Test(Admission, FullQueueShedsTheTenantBeyondItsShare)
{
  Admission admission = SmallQueue(4);
  const Admission::Tenant burst = admission.AddTenant(1);
  const Admission::Tenant quiet = admission.AddTenant(1);
  Admission::Ticket last;
  for (int count = 0; count < 4; ++count) {
    last = Admit(admission, burst, Urgency::Normal);
  }
  cr_assert(IsRefused(admission, burst, Urgency::Normal));
  const auto decision =
    admission.Offer(quiet, Urgency::Normal, At(60000), At(0));
  const auto& admitted = std::get<Admission::Admitted>(decision);
  cr_assert(admitted.shed_ == last,
            "the newest request of the burst is not shed");
  cr_assert_eq(admission.Waiting(), 4);
}

Test(Admission, FullQueueShedsTheLessUrgentFirst)
{
  Admission admission = SmallQueue(2);
  const Admission::Tenant tenant = admission.AddTenant(1);
  Admit(admission, tenant, Urgency::Normal);
  const Admission::Ticket low = Admit(admission, tenant, Urgency::Low);
  const auto decision =
    admission.Offer(tenant, Urgency::High, At(60000), At(0));
  cr_assert(std::get<Admission::Admitted>(decision).shed_ == low);
  cr_assert(IsRefused(admission, tenant, Urgency::Low));
}

Test(Admission, NextIsTheMostUrgentThenTheLeastServedTenant)
{
  Admission admission = SmallQueue(10);
  const Admission::Tenant one = admission.AddTenant(1);
  const Admission::Tenant two = admission.AddTenant(1);
  const Admission::Ticket first = Admit(admission, one, Urgency::Normal);
  const Admission::Ticket second = Admit(admission, one, Urgency::Normal);
  const Admission::Ticket other = Admit(admission, two, Urgency::Normal);
  const Admission::Ticket urgent = Admit(admission, two, Urgency::High);
  std::vector<Admission::Ticket> expired;
  cr_assert(admission.Next(At(1), expired) == urgent);
  cr_assert(admission.Next(At(1), expired) == first);
  admission.OnDone(urgent, Micros(1000));
  cr_assert(admission.Next(At(1), expired) == other);
  cr_assert(admission.Next(At(1), expired) == second);
  cr_assert(expired.empty());
}

// Guards against a late cancel that removes another request, because that
// request reuses the queue index of the cancelled one.
Test(Admission, LateCancelDoesNotRemoveTheNextRequest)
{
  Admission admission = SmallQueue(10);
  const Admission::Tenant tenant = admission.AddTenant(1);
  const Admission::Ticket gone = Admit(admission, tenant, Urgency::Normal);
  admission.Cancel(gone);
  const Admission::Ticket next = Admit(admission, tenant, Urgency::Normal);
  cr_assert_eq(next.index_, gone.index_);
  admission.Cancel(gone);
  cr_assert_eq(admission.Waiting(), 1);
}

// Guards against cancelled requests that keep their slots, so that no request
// can run after a burst of cancellations.
Test(Admission, CancelReleasesSlots)
{
  Admission admission = SmallQueue(1000);
  const Admission::Tenant tenant = admission.AddTenant(1);
  admission.SetSlots(8);
  std::vector<Admission::Ticket> tickets;
  tickets.reserve(1000);
  for (int count = 0; count < 1000; ++count) {
    tickets.push_back(Admit(admission, tenant, Urgency::Normal));
  }
  std::vector<Admission::Ticket> expired;
  for (int count = 0; count < 8; ++count) {
    admission.Next(At(1), expired);
  }
  for (const Admission::Ticket& ticket : tickets) {
    admission.Cancel(ticket);
    admission.Cancel(ticket);
  }
  cr_assert_eq(admission.Waiting(), 0);
  cr_assert_eq(admission.Running(), 0);
  cr_assert(admission.ExpectedStart(At(5)) == At(5));
}

Test(Admission, ExpiredRequestsAreNotSent)
{
  Admission admission = SmallQueue(10);
  const Admission::Tenant tenant = admission.AddTenant(1);
  const Admission::Ticket ticket = Admit(admission, tenant, Urgency::Normal);
  std::vector<Admission::Ticket> expired;
  cr_assert_not(admission.Next(At(60000), expired).has_value());
  cr_assert(expired.size() == 1 && expired.front() == ticket);
  cr_assert_eq(admission.Waiting(), 0);
}
