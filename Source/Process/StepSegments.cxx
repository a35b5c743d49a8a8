#include "Process/StepSegments.h"

#include "Version/JsonText.h"

#include <QString>

#include <algorithm>
#include <tuple>

namespace cactusrail {

namespace {

constexpr int kBase = 36;
constexpr std::size_t kFieldsAfterName = 4;

std::string
Base36(std::uint64_t aNumber)
{
  return QString::number(aNumber, kBase).toStdString();
}

std::optional<std::uint64_t>
ReadBase36(const std::string& aText)
{
  bool isNumber = false;
  const std::uint64_t number =
    QString::fromStdString(aText).toULongLong(&isNumber, kBase);
  return isNumber ? std::optional(number) : std::nullopt;
}

auto
Fields(const RequestStep& aStep)
{
  return std::tie(aStep.wallMicros_, aStep.host_, aStep.step_, aStep.detail_);
}

}

std::string
MakeRequestId(const RequestOrigin& aOrigin,
              std::int64_t aLane,
              std::uint64_t aNumber)
{
  return aOrigin.entry_ + "-" + Base36(aOrigin.incarnation_) + "-" +
         std::to_string(aLane) + "-" + Base36(aOrigin.slot_) + "-" +
         std::to_string(aNumber);
}

std::optional<RequestOrigin>
ReadRequestId(std::string_view aRequestId)
{
  // Parses from the end, as the entry's name may contain dashes.
  std::vector<std::string> fields;
  std::string rest(aRequestId);
  for (std::size_t i = 0; i < kFieldsAfterName; ++i) {
    const std::size_t dash = rest.rfind('-');
    if (dash == std::string::npos) {
      return std::nullopt;
    }
    fields.push_back(rest.substr(dash + 1));
    rest.erase(dash);
  }
  const auto incarnation = ReadBase36(fields[3]);
  const auto slot = ReadBase36(fields[1]);
  if (rest.empty() || !incarnation.has_value() || !slot.has_value()) {
    return std::nullopt;
  }
  return RequestOrigin{ rest, *incarnation, *slot };
}

std::uint64_t
SlotOf(std::int64_t aWallMicros, std::uint64_t aStartMicros, Millis aLength)
{
  const std::int64_t since =
    aWallMicros - static_cast<std::int64_t>(aStartMicros);
  return since <= 0
           ? 0
           : static_cast<std::uint64_t>(since / Micros(aLength).count());
}

std::string
EntrySegmentName(const RequestOrigin& aOrigin)
{
  return "steps/entry/" + aOrigin.entry_ + "/" + Base36(aOrigin.incarnation_) +
         "/" + std::to_string(aOrigin.slot_);
}

std::string
SideSegmentName(std::string_view aSide, std::uint64_t aSlot)
{
  return "steps/side/" + std::string(aSide) + "/" + std::to_string(aSlot);
}

std::string
SegmentText(std::span<const RequestStep> aSteps)
{
  std::string text;
  for (const RequestStep& step : aSteps) {
    text += ToJson(step) + "\n";
  }
  return text;
}

std::vector<RequestStep>
ReadSegment(std::string_view aText)
{
  return ReadSegment(aText, {});
}

std::vector<RequestStep>
ReadSegment(std::string_view aText, std::string_view aRequestId)
{
  std::vector<RequestStep> steps;
  while (!aText.empty()) {
    const std::size_t end = std::min(aText.find('\n'), aText.size());
    const std::string_view line = aText.substr(0, end);
    aText.remove_prefix(std::min(end + 1, aText.size()));
    if (line.find(aRequestId) == std::string_view::npos) {
      continue;
    }
    Result<RequestStep> step = FromJson<RequestStep>(line);
    auto* read = std::get_if<RequestStep>(&step);
    if (read != nullptr &&
        (aRequestId.empty() || read->requestId_ == aRequestId)) {
      steps.push_back(std::move(*read));
    }
  }
  return steps;
}

std::vector<RequestStep>
SortedSteps(std::vector<RequestStep> aSteps)
{
  std::stable_sort(aSteps.begin(),
                   aSteps.end(),
                   [](const RequestStep& aLeft, const RequestStep& aRight) {
                     return Fields(aLeft) < Fields(aRight);
                   });
  const auto end =
    std::unique(aSteps.begin(),
                aSteps.end(),
                [](const RequestStep& aLeft, const RequestStep& aRight) {
                  return aLeft.requestId_ == aRight.requestId_ &&
                         Fields(aLeft) == Fields(aRight);
                });
  aSteps.erase(end, aSteps.end());
  return aSteps;
}

}
