#pragma once

#include "Process/Instant.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cactusrail {

/** How urgent a request is; shed in the order of the last to the first. */
enum class Urgency : std::uint8_t
{
  High = 0,
  Normal = 1,
  Low = 2,
};

constexpr std::size_t kUrgencies = 3;

/**
 * Bounds what waits for a service. A request that can't meet its deadline, or
 * for which there is no place, is refused at once with a time to come back; a
 * full queue sheds the least urgent work of the tenant farthest beyond its
 * share. Pure; one per service in each lane.
 */
class Admission
{
public:
  struct Rules
  {
    std::size_t maxWaiting_ = 256;
    /** What a request is taken to need until answers were seen. */
    Micros expectedService_{ 20000 };
  };

  using Tenant = std::uint32_t;

  /** A place in the queue or in progress; never reused for another request. */
  struct Ticket
  {
    std::uint32_t place_ = 0;
    std::uint32_t generation_ = 0;

    bool operator==(const Ticket&) const = default;
  };

  struct Admitted
  {
    Ticket ticket_;
    /** The request that was waiting and has to be refused instead. */
    std::optional<Ticket> shed_;
  };

  struct Refused
  {
    /** A whole sentence for the caller. */
    std::string reason_;
    Instant retryAt_;
  };

  explicit Admission(const Rules& aRules);

  /** A tenant's number; its share is at least 1. */
  Tenant AddTenant(std::uint32_t aShare);
  /** Slots of the service that can be used just now. */
  void SetSlots(std::uint32_t aSlots);

  std::variant<Admitted, Refused> Offer(Tenant aTenant,
                                        Urgency aUrgency,
                                        Instant aDeadline,
                                        Instant aNow);

  /**
   * The next request to send: the most urgent, then the tenant that holds the
   * least beside its share. Those whose deadline passed while they waited are
   * added to the list.
   */
  std::optional<Ticket> Next(Instant aNow, std::vector<Ticket>& aExpired);

  /** A request that was sent ended. */
  void OnDone(Ticket aTicket, Micros aService);
  /** Nobody waits for it any more; constant time, a spent ticket is ignored. */
  void Cancel(Ticket aTicket);

  std::size_t Waiting() const;
  std::size_t Running() const;
  /** When a request that arrives now would be sent. */
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
  void Unlink(std::uint32_t aPlace);
  void Free(std::uint32_t aPlace);
  std::optional<std::uint32_t> FindVictim(Tenant aTenant,
                                          Urgency aUrgency) const;
  std::optional<Tenant> NextTenant(std::size_t aUrgency) const;
  Ticket TicketOf(std::uint32_t aPlace) const;

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
