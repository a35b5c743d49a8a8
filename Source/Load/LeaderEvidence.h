#pragma once

#include "Version/Instant.h"

#include <cstdint>
#include <optional>

namespace cactusrail {

/**
 * Evidence of a follower that the leader is lost, from its reads of the lease
 * row and from the answers on its link to the leader.
 *
 * Both are required. A slow store delays renewals while the link still answers,
 * and a broken link proves nothing while renewals continue. The evidence only
 * decides when to try a takeover; the conditional write of the lease row and
 * the guards of the new leader keep a takeover from a live leader harmless.
 */
class LeaderEvidence
{
public:
  /** Time without a change of the row: two renewals of 600 ms missed. */
  static constexpr Millis kRowUnchanged{ 1200 };
  /** Time without an answer of the leader: three heartbeats of 300 ms. */
  static constexpr Millis kLinkSilent{ 1000 };

  /** Starts anew for another leader. */
  void OnLeader(Instant aNow);
  /** Handles a successful read of row version aVersion, sent at aSentAt. */
  void OnRowRead(std::uint64_t aVersion, Instant aSentAt, Instant aNow);
  /** Handles a read without an answer. Without a later successful read it is
   * not known whether the leader still renews. */
  void OnRowReadFailed();
  /** Handles any message on the link to the leader. */
  void OnLinkAnswer(Instant aNow);
  /** Handles a failed attempt to open the link. */
  void OnLinkNotOpened() { linkNotOpened_ = true; }

  /** Returns whether the leader counts as lost; aDelay is added to the time for
   * which the row must not have changed. */
  bool IsLost(Instant aNow, Millis aDelay) const;

  /** Returns the time for which reads have shown the row unchanged; none after
   * a failed read. */
  std::optional<Millis> RowAge() const;
  /** Returns the time since the last message on the link. */
  Millis LinkAge(Instant aNow) const;
  /** Returns the time of the last sign of life of the leader. */
  Instant LastSign() const;

private:
  std::uint64_t version_ = 0;
  /** First observation of version_. */
  std::optional<Instant> firstSeenAt_;
  /** Send time of the newest successful read of version_; none if a read has
   * failed since. */
  std::optional<Instant> lastReadSentAt_;
  /** Last message on the link, or the start of the observation. */
  Instant linkAnsweredAt_;
  bool linkNotOpened_ = false;
};

}
