#pragma once

#include "Connection/RowStore.h"
#include "Version/InterferenceModel.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cactusrail {

/**
 * Tables, parts and rows of the fleet in the table service.
 *
 * Jobs are spread over several parts, because a part executes its transactions
 * sequentially, about three per second in a slow table. The leader writes to a
 * single part that is fenced by its head row.
 */

/** Jobs and cancellations, written by the entry that accepts them. */
constexpr std::string_view kWorkTable = "work";
constexpr std::size_t kWorkParts = 32;
/** Progress and results of jobs; written by the leader only. */
constexpr std::string_view kProgressTable = "progress";
constexpr std::string_view kProgressPart = "progress";
/** Sides that may have runs. */
constexpr std::string_view kMemberTable = "member";
/** Leader lease and the interference model. */
constexpr std::string_view kLeaderTable = "lead";
/** Key shared by all processes of the fleet. */
constexpr std::string_view kKeyTable = "key";

/** Key prefix of the rows of jobs, both in the work table and in the progress
 * table. */
constexpr std::string_view kJobPrefix = "j/";
/** Key prefix of the rows of cancellations in the work table. */
constexpr std::string_view kCancelPrefix = "c/";

/** Returns the part of a job, "0" to kWorkParts - 1, by a hash of its id. */
std::string
WorkPartOf(std::string_view aJob);

RowId
JobRowId(std::string_view aJob);

RowId
CancelRowId(std::string_view aJob);

RowId
ProgressRowId(std::string_view aJob);

RowId
ProgressHeadId();

RowId
LeaderRowId();

/** Returns the row of the learned interference model; see ContentionModel. */
RowId
InterferenceModelRowId();

RowId
MemberRowId(std::string_view aNode);

RowId
KeyRowId();

/** Registration of a side in the member table. */
struct MemberRecord
{
  /** Address at which the side accepts links, "IP:PORT". */
  std::string address_;
  /** Incarnation of the process. */
  std::string incarnation_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(address_, incarnation_);
  }
};

/**
 * Head row of the leader's part. Each transaction of the leader is conditional
 * on the head row and rewrites it. A transaction without an answer that is
 * executed late therefore cannot overwrite a newer one, and a transaction of a
 * former leader has no effect.
 */
struct ProgressHead
{
  std::uint64_t epoch_ = 0;
  std::uint64_t sequence_ = 0;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(epoch_, sequence_);
  }
};

}
