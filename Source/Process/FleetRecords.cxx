#include "Process/FleetRecords.h"

namespace cactusrail {

namespace {

/** Returns the 32-bit FNV-1a hash, which is identical on all hosts and in all
 * versions. */
std::uint32_t
StableHash(std::string_view aText)
{
  constexpr std::uint32_t kOffset = 2166136261U;
  constexpr std::uint32_t kPrime = 16777619U;
  std::uint32_t hash = kOffset;
  for (const char letter : aText) {
    hash ^= static_cast<unsigned char>(letter);
    hash *= kPrime;
  }
  return hash;
}

}

std::string
WorkPartOf(std::string_view aJob)
{
  return std::to_string(StableHash(aJob) % kWorkParts);
}

RowId
JobRowId(std::string_view aJob)
{
  return { std::string(kWorkTable),
           WorkPartOf(aJob),
           std::string(kJobPrefix) + std::string(aJob) };
}

RowId
CancelRowId(std::string_view aJob)
{
  return { std::string(kWorkTable),
           WorkPartOf(aJob),
           std::string(kCancelPrefix) + std::string(aJob) };
}

RowId
ProgressRowId(std::string_view aJob)
{
  return { std::string(kProgressTable),
           std::string(kProgressPart),
           std::string(kJobPrefix) + std::string(aJob) };
}

RowId
ProgressHeadId()
{
  return { std::string(kProgressTable), std::string(kProgressPart), "head" };
}

RowId
LeaderRowId()
{
  return { std::string(kLeaderTable), {}, "scheduler" };
}

RowId
InterferenceModelRowId()
{
  return { std::string(kLeaderTable), {}, "learned" };
}

RowId
MemberRowId(std::string_view aNode)
{
  return { std::string(kMemberTable), {}, std::string(aNode) };
}

RowId
KeyRowId()
{
  return { std::string(kKeyTable), {}, "link" };
}

}
