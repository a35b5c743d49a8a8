#pragma once

#include "Process/Instant.h"

namespace cactusrail {

/**
 * Times that the processes of the fleet must agree on. They rest on each other:
 * what runs on a worker is surely over kAuthority + kAuthoritySlack after the
 * last orders that its side can have taken, see FleetScheduler.
 */

/**
 * How long the entry that leads goes on without renewing its lease in the
 * table. Longer rides out a table outage, shorter hands over sooner when the
 * leader's host is gone for good: one that is killed takes its own place again,
 * one that alone is without the table yields. Outages that the users describe
 * last 4 to 5 s; in one, nothing new starts once the lease is over.
 */
constexpr Millis kLeaderLease{ 5500 };

/** A renewal is due this long after the last one: some six fit in a lease. */
constexpr Millis kLeaderRenewal{ 600 };

/** Others look at the lease this often. */
constexpr Millis kLeaderWatch{ 700 };

/**
 * Clocks of two hosts may run so much apart within one lease; a follower waits
 * this much longer than the leader goes on. 2 % of the lease, doubled.
 */
constexpr Millis kLeaderLeaseSlack{ 160 };

/**
 * A side goes on holding what runs on its worker so long after it sent a
 * report that the leader answered. Bridges a change of leader (lease, slack and
 * reading the table: some 6 s) with 3 s to spare; a worker whose machine is
 * gone is given up no sooner.
 */
constexpr Millis kAuthority{ 9000 };

/** Added before work of an unreachable worker starts elsewhere: drift of two
 * clocks over kAuthority (2 % each) and the way of the last stop. */
constexpr Millis kAuthoritySlack{ 500 };

/**
 * The lease that a side keeps on its worker's work. It outlasts a restart of
 * the side, which takes up to 4 s with its host's power; what ran on a worker
 * that went silent starts elsewhere no sooner.
 */
constexpr Millis kWorkerLease{ 4500 };

/** A worker's clock may be so much slower than ours, by the users' platform. */
constexpr double kWorkerClockDrift = 0.02;

/** A side reports at least this often, and the leader answers. */
constexpr Millis kReportPeriod{ 1000 };

/**
 * A side that watches closely asks its worker this often and reports each
 * answer: latencies of serving tasks beside backfill climb from half of their
 * objective to six times it within a second.
 */
constexpr Millis kCloseWatch{ 250 };

/** The leader's word to watch closely holds so long: until its next orders,
 * and one lost report more. */
constexpr Millis kWatchHolds{ 2500 };

/**
 * A start ordered on what the table held at some time begins this much earlier
 * than the bound for tasks of cancelled jobs counts from then: the side gives a
 * call to its worker up after 400 ms, and the clocks of leader and side may run
 * 2 % apart meanwhile.
 */
constexpr Millis kStartMargin{ 500 };

/** An order of a start that could not be carried out for so long at least is
 * not given. */
constexpr Millis kLeastStartTime{ 300 };

/** A side that heard no leader for so long writes its row again: a leader that
 * gave it up has removed it. */
constexpr Millis kOrphanedSide{ 5000 };

}
