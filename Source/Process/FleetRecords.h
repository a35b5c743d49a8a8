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
 * Where the fleet's records lie in the table service. Jobs are spread over
 * parts: one part carries out its transactions one after another, and a slow
 * table does three a second. What the leader writes lies in one part, fenced by
 * its head row.
 */

/** Jobs and cancellations, written by whoever accepts them. */
constexpr std::string_view kWorkTable = "work";
constexpr std::size_t kWorkParts = 32;
/** What became of jobs; written by the leader only. */
constexpr std::string_view kProgressTable = "progress";
constexpr std::string_view kProgressPart = "progress";
/** Sides that may hold work. */
constexpr std::string_view kMemberTable = "member";
/** Who leads. */
constexpr std::string_view kLeadTable = "lead";
/** The key that our processes share. */
constexpr std::string_view kKeyTable = "key";

constexpr std::string_view kJobPrefix = "j/";
constexpr std::string_view kCancelPrefix = "c/";

/** "0" to the last part, by the job's id. */
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
LeadRowId();

/** What leaders have learned of interference; see ContentionModel. */
RowId
LearnedRowId();

RowId
MemberRowId(std::string_view aNode);

RowId
KeyRowId();

/** A side as other processes find it. */
struct MemberRecord
{
  /** Where it takes links, "IP:PORT". */
  std::string address_;
  /** One life of the process. */
  std::string life_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(address_, life_);
  }
};

/**
 * The head of the leader's part: each of its transactions is conditioned on the
 * head and writes it anew. A transaction without an answer that is carried out
 * late therefore can't undo a newer one, and one of a former leader does
 * nothing.
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
