#pragma once

#include "Version/Instant.h"

namespace cactusrail {

/**
 * Timing parameters on which all processes of the fleet must agree. They depend
 * on each other: no run remains on a worker once kAuthority + kAuthoritySlack
 * have passed since the last orders that its side can have received, see
 * FleetScheduler.
 */

/**
 * Validity of the leader's lease in the table without a renewal. A longer lease
 * survives a longer table outage; a shorter one speeds up the takeover when the
 * leader's host is lost for good. Two takeovers do not wait for the lease to
 * expire: a leader that was killed takes its own place again after its restart,
 * and a leader that alone cannot reach the table yields to another entry.
 *
 * Nothing new starts during a table outage once the lease has expired, and
 * users describe outages of 4 to 5 s.
 */
constexpr Millis kLeaderLease{ 5500 };

/** Interval between lease renewals; about nine renewals fit in one lease. */
constexpr Millis kLeaderRenewal{ 600 };

/** Interval at which the other entries check the lease. */
constexpr Millis kLeaderCheckPeriod{ 700 };

/**
 * Interval at which the other entries check the lease while a lost leader is
 * replaced before its lease expires; see LeaderEvidence.
 */
constexpr Millis kEarlyLeaderCheckPeriod{ 250 };

/** Interval between heartbeats of the link to the leader. */
constexpr Millis kHeartbeatInterval{ 300 };

/**
 * Largest clock difference between two hosts over one lease. A follower waits
 * this much longer than the lease is valid for the leader. Twice a drift of 2 %
 * over the lease.
 */
constexpr Millis kLeaderLeaseSlack{ 160 };

/**
 * Time for which a side keeps the runs of its worker after it sent a report
 * that the leader answered. Covers a change of the leader (lease, slack and
 * reading the table: about 6 s) with a margin of 3 s. A worker whose machine is
 * lost is abandoned no sooner.
 */
constexpr Millis kAuthority{ 9000 };

/**
 * Margin added before work of an unreachable worker starts elsewhere: clock
 * drift over kAuthority (2 % for each of two clocks) and the transfer of the
 * last stop.
 */
constexpr Millis kAuthoritySlack{ 500 };

/**
 * Validity of the lease that a side holds on its worker's work. The lease
 * outlasts a restart of the side, which takes up to 4 s when its host loses
 * power. Runs of an unresponsive worker start elsewhere no sooner.
 */
constexpr Millis kWorkerLease{ 4500 };

/**
 * Largest fraction by which a worker's clock may run slower than the local
 * clock, as specified for the users' platform.
 */
constexpr double kWorkerClockDrift = 0.02;

/** Longest interval between two reports of a side; the leader answers each. */
constexpr Millis kReportPeriod{ 1000 };

/**
 * Longest interval between orders to a side that paces locally, while tasks
 * with a latency objective share its worker with backfill. A side takes a
 * leader for unresponsive one second after its last orders, and one lost
 * message must not look like that.
 */
constexpr Millis kPacedOrderPeriod{ 400 };

/**
 * Interval at which a side polls its worker and reports each answer under
 * high-frequency reporting. Latencies of serving tasks beside backfill rise
 * from half of their objective to six times their objective within a second.
 */
constexpr Millis kHighFrequencyReportPeriod{ 250 };

/**
 * Validity of the leader's request for high-frequency reporting, which the
 * leader's next orders renew. Covers the time until those orders and the loss
 * of one report.
 */
constexpr Millis kHighFrequencyValidity{ 2500 };

/**
 * Margin by which a start must begin before the cancellation bound, which
 * counts from the time at which the table was read for that start. A side
 * abandons a call to its worker after 400 ms, and the clocks of leader and side
 * may drift by 2 % in the meantime.
 */
constexpr Millis kStartMargin{ 500 };

/** Shortest remaining validity with which a start is ordered. */
constexpr Millis kMinStartValidity{ 300 };

/**
 * Time without contact to a leader after which a side writes its row again,
 * because a leader that abandoned the side has removed the row.
 */
constexpr Millis kOrphanedSideTimeout{ 5000 };

}
