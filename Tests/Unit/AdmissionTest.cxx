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
Small(std::size_t aMaxWaiting)
{
  Admission::Rules rules;
  rules.maxWaiting_ = aMaxWaiting;
  return Admission(rules);
}

}

// An accountant waits ten seconds for a time-out, though it was clear from the
// first moment that the queue is longer than her deadline.
Test(Admission, RefusesAtOnceWhatCantMeetItsDeadline)
{
  Admission admission = Small(100);
  const Admission::Tenant tenant = admission.AddTenant(1);
  for (int count = 0; count < 50; ++count) {
    Admit(admission, tenant, Urgency::Normal);
  }
  const auto late = admission.Offer(tenant, Urgency::Normal, At(500), At(0));
  cr_assert(std::holds_alternative<Admission::Refused>(late));
  const Instant retryAt = std::get<Admission::Refused>(late).retryAt_;
  cr_assert(retryAt == At(1000), "50 ahead of one slot at 20 ms each");
  const auto patient =
    admission.Offer(tenant, Urgency::Normal, At(2000), At(0));
  cr_assert(std::holds_alternative<Admission::Admitted>(patient));
}

// One tenant's flood fills the queue, and every other tenant's clerks are told
// to come back later.
Test(Admission, FullQueueShedsTheTenantBeyondItsShare)
{
  Admission admission = Small(4);
  const Admission::Tenant flood = admission.AddTenant(1);
  const Admission::Tenant quiet = admission.AddTenant(1);
  Admission::Ticket last;
  for (int count = 0; count < 4; ++count) {
    last = Admit(admission, flood, Urgency::Normal);
  }
  cr_assert(IsRefused(admission, flood, Urgency::Normal));
  const auto decision =
    admission.Offer(quiet, Urgency::Normal, At(60000), At(0));
  const auto& admitted = std::get<Admission::Admitted>(decision);
  cr_assert(admitted.shed_ == last, "the newest of the flood gives way");
  cr_assert_eq(admission.Waiting(), 4);
}

Test(Admission, FullQueueShedsTheLessUrgentFirst)
{
  Admission admission = Small(2);
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
  Admission admission = Small(10);
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

// A caller hangs up late; its place in the queue belongs to someone else by
// then, whose request would be thrown away.
Test(Admission, LateCancelDoesNotHitThePlacesNextOwner)
{
  Admission admission = Small(10);
  const Admission::Tenant tenant = admission.AddTenant(1);
  const Admission::Ticket gone = Admit(admission, tenant, Urgency::Normal);
  admission.Cancel(gone);
  const Admission::Ticket next = Admit(admission, tenant, Urgency::Normal);
  cr_assert_eq(next.place_, gone.place_);
  admission.Cancel(gone);
  cr_assert_eq(admission.Waiting(), 1);
}

// A flood of cancellations leaves slots taken, and the service starves.
Test(Admission, CancelsFreeWhatTheyHeld)
{
  Admission admission = Small(1000);
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
  Admission admission = Small(10);
  const Admission::Tenant tenant = admission.AddTenant(1);
  const Admission::Ticket ticket = Admit(admission, tenant, Urgency::Normal);
  std::vector<Admission::Ticket> expired;
  cr_assert_not(admission.Next(At(60000), expired).has_value());
  cr_assert(expired.size() == 1 && expired.front() == ticket);
  cr_assert_eq(admission.Waiting(), 0);
}
