#pragma once

#include "Version/Instant.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cactusrail {

/** Priority of a request. A full queue sheds Low first and High last. */
enum class Urgency : std::uint8_t
{
  High = 0,
  Normal = 1,
  Low = 2,
};

constexpr std::size_t kUrgencies = 3;

/**
 * Admission control with a bounded queue for one service. A request that can't
 * meet its deadline, or that finds the queue full, is refused at once with a
 * retry time. A full queue sheds the least urgent request of the tenant that
 * exceeds its share the most. Performs no I/O; one per service in each lane.
 */
class Admission
{
public:
  struct Rules
  {
    std::size_t maxWaiting_ = 256;
    /** Assumed service time until the first answers are measured. */
    Micros assumedServiceTime_{ 20000 };
  };

  using Tenant = std::uint32_t;

  /** Handle of a waiting or running request; never reused for another one. */
  struct Ticket
  {
    std::uint32_t index_ = 0;
    std::uint32_t generation_ = 0;

    bool operator==(const Ticket&) const = default;
  };

  struct Admitted
  {
    Ticket ticket_;
    /** The waiting request that is shed and must be refused, if any. */
    std::optional<Ticket> shed_;
  };

  struct Refused
  {
    /** A complete sentence for the caller. */
    std::string reason_;
    Instant retryAt_;
  };

  explicit Admission(const Rules& aRules);

  /** Adds a tenant and returns its index; a share below 1 counts as 1. */
  Tenant AddTenant(std::uint32_t aShare);
  /** Sets the number of slots of the service that are usable now. */
  void SetSlots(std::uint32_t aSlots);

  std::variant<Admitted, Refused> Offer(Tenant aTenant,
                                        Urgency aUrgency,
                                        Instant aDeadline,
                                        Instant aNow);

  /**
   * Dequeues the next request to send: the highest urgency first, then the
   * tenant with the lowest usage relative to its share. Requests whose deadline
   * passed while they waited are appended to aExpired.
   */
  std::optional<Ticket> Next(Instant aNow, std::vector<Ticket>& aExpired);

  /** Releases the slot of a request that ended after aServiceTime. */
  void OnDone(Ticket aTicket, Micros aServiceTime);
  /** Removes an abandoned request in constant time; ignores a stale ticket. */
  void Cancel(Ticket aTicket);

  std::size_t Waiting() const;
  std::size_t Running() const;
  /** Estimated time at which a request that arrives now is sent. */
  Instant ExpectedStart(Instant aNow) const;

private:
  enum class State : std::uint8_t
  {
    Free,
    Waiting,
    Running,
  };

  static constexpr std::uint32_t kNone = UINT32_MAX;

  struct Entry
  {
    State state_ = State::Free;
    Urgency urgency_ = Urgency::Normal;
    Tenant tenant_ = 0;
    std::uint32_t generation_ = 0;
    std::uint32_t previous_ = kNone;
    std::uint32_t next_ = kNone;
    Instant deadline_;
  };

  struct Queue
  {
    std::uint32_t head_ = kNone;
    std::uint32_t tail_ = kNone;
  };

  struct TenantState
  {
    double share_ = 1;
    std::uint32_t waiting_ = 0;
    std::uint32_t running_ = 0;
    std::array<Queue, kUrgencies> queues_;
  };

  Entry* Find(Ticket aTicket);
  std::uint32_t Append(Tenant aTenant, Urgency aUrgency, Instant aDeadline);
  void Unlink(std::uint32_t aIndex);
  void Free(std::uint32_t aIndex);
  std::optional<std::uint32_t> FindVictim(Tenant aTenant,
                                          Urgency aUrgency) const;
  std::optional<Tenant> NextTenant(std::size_t aUrgency) const;
  Ticket TicketOf(std::uint32_t aIndex) const;

  Rules rules_;
  std::vector<Entry> entries_;
  std::vector<std::uint32_t> free_;
  std::vector<TenantState> tenants_;
  std::size_t waiting_ = 0;
  std::size_t running_ = 0;
  double slots_ = 1;
  double serviceMicros_ = 0;
};

}
