#include "Process/LogProfile.h"

#include "Process/TextTable.h"

#include <QDateTime>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <cctype>
#include <cmath>

namespace cactusrail {

namespace {

/** Length of the spans over which the use of workers is averaged. */
constexpr std::int64_t kSpanMs = 5000;

std::string
TextOf(const QJsonObject& aLine, const char* aField)
{
  return aLine.value(QLatin1String(aField)).toString().toStdString();
}

double
NumberOf(const QJsonObject& aLine, const char* aField)
{
  return aLine.value(QLatin1String(aField)).toString().toDouble();
}

/** Returns the text with each number replaced by N. */
std::string
WithoutNumbers(const std::string& aText)
{
  std::string result;
  for (const char one : aText) {
    if (std::isdigit(static_cast<unsigned char>(one)) == 0) {
      result += one;
    } else if (result.empty() || result.back() != 'N') {
      result += 'N';
    }
  }
  return result;
}

/** Returns the quantile of the values in ms, or "-" without values. */
std::string
Quantile(std::vector<std::int64_t> aValues, double aShare)
{
  if (aValues.empty()) {
    return "-";
  }
  std::sort(aValues.begin(), aValues.end());
  const auto last = static_cast<double>(aValues.size() - 1);
  return std::to_string(
    aValues[static_cast<std::size_t>(std::lround(aShare * last))]);
}

std::string
Percent(double aPart, double aWhole)
{
  return aWhole <= 0 ? "-"
                     : std::to_string(std::lround(100 * aPart / aWhole)) + " %";
}

}

void
LogProfile::AddLine(std::string_view aLine)
{
  const std::size_t begin = aLine.find('{');
  if (begin == std::string_view::npos) {
    return;
  }
  const std::string_view json = aLine.substr(begin);
  const QJsonObject line =
    QJsonDocument::fromJson(
      QByteArray(json.data(), static_cast<qsizetype>(json.size())))
      .object();
  const std::string event = TextOf(line, "event");
  const std::int64_t atMs =
    QDateTime::fromString(line.value(QLatin1String("time")).toString(),
                          Qt::ISODateWithMs)
      .toMSecsSinceEpoch();
  if (event == "worker-view") {
    AddWorker(atMs,
              TextOf(line, "cpu"),
              NumberOf(line, "backfill"),
              NumberOf(line, "pressure"));
  } else {
    AddJobEvent(event, TextOf(line, "id"), TextOf(line, "detail"), atMs);
  }
}

void
LogProfile::AddJobEvent(const std::string& aEvent,
                        const std::string& aId,
                        const std::string& aDetail,
                        std::int64_t aAtMs)
{
  if (aEvent == "job-queued") {
    jobs_.try_emplace(aId, Job{ aDetail, aAtMs, {}, {}, "open" });
    return;
  }
  if (aEvent == "run-stopped") {
    ++stops_[WithoutNumbers(aDetail)];
    return;
  }
  // The id of a run begins with that of its job.
  const auto job = jobs_.find(aId.substr(0, aId.find('.')));
  if (job == jobs_.end()) {
    return;
  }
  if (aEvent == "run-ordered" && !job->second.startedAtMs_.has_value()) {
    job->second.startedAtMs_ = aAtMs;
  } else if (aEvent == "job-ended") {
    job->second.endedAtMs_ = aAtMs;
    job->second.state_ = aDetail;
  }
}

void
LogProfile::AddWorker(std::int64_t aAtMs,
                      const std::string& aCpu,
                      double aBackfill,
                      double aPressure)
{
  const std::size_t slash = aCpu.find('/');
  if (slash == std::string::npos) {
    return;
  }
  Usage& usage = usage_[aAtMs / kSpanMs * kSpanMs];
  ++usage.lines_;
  usage.fixed_ += std::atof(aCpu.substr(0, slash).c_str());
  usage.capacity_ += std::atof(aCpu.substr(slash + 1).c_str());
  usage.backfill_ += aBackfill;
  usage.pressure_ += aPressure;
  usage.overObjective_ += aPressure > 1 ? 1 : 0;
}

std::string
LogProfile::JobsText() const
{
  struct Group
  {
    std::map<std::string, std::size_t> states_;
    std::vector<std::int64_t> waited_;
    std::vector<std::int64_t> took_;
  };
  std::map<std::string, Group> groups;
  for (const auto& [id, job] : jobs_) {
    Group& group = groups[job.priority_];
    ++group.states_[job.state_];
    if (job.startedAtMs_.has_value()) {
      group.waited_.push_back(*job.startedAtMs_ - job.queuedAtMs_);
    }
    if (job.endedAtMs_.has_value() && job.state_ == "completed") {
      group.took_.push_back(*job.endedAtMs_ - job.queuedAtMs_);
    }
  }
  TextTable table;
  table.AddRow({ "JOBS",
                 "COMPLETED",
                 "FAILED",
                 "CANCELLED",
                 "OPEN",
                 "WAITED-P50-MS",
                 "P95",
                 "MAX",
                 "TOOK-P50-MS",
                 "P95",
                 "MAX" });
  for (auto& [priority, group] : groups) {
    std::vector<std::string> row{ priority };
    for (const char* state : { "completed", "failed", "cancelled", "open" }) {
      row.push_back(std::to_string(group.states_[state]));
    }
    for (const auto* values : { &group.waited_, &group.took_ }) {
      for (const double share : { 0.5, 0.95, 1.0 }) {
        row.push_back(Quantile(*values, share));
      }
    }
    table.AddRow(std::move(row));
  }
  return table.Text();
}

std::string
LogProfile::StopsText() const
{
  TextTable table;
  table.AddRow({ "STOPPED RUNS", "REASON" });
  for (const auto& [reason, count] : stops_) {
    table.AddRow({ std::to_string(count), reason });
  }
  return table.Text();
}

std::string
LogProfile::UsageText() const
{
  TextTable table;
  table.AddRow({ "FROM-S",
                 "RESERVED-CPU",
                 "BACKFILL-CPU",
                 "MEAN-PRESSURE",
                 "WORKERS-OVER-OBJECTIVE" });
  for (const auto& [fromMs, usage] : usage_) {
    const double pressure =
      usage.pressure_ /
      static_cast<double>(std::max<std::size_t>(1, usage.lines_));
    table.AddRow({ std::to_string((fromMs - usage_.begin()->first) / 1000),
                   Percent(usage.fixed_, usage.capacity_),
                   Percent(usage.backfill_, usage.capacity_),
                   std::to_string(std::lround(100 * pressure)) + " %",
                   std::to_string(usage.overObjective_) + " of " +
                     std::to_string(usage.lines_) });
  }
  return table.Text();
}

std::string
LogProfile::Text() const
{
  return JobsText() + "\n" + StopsText() + "\n" + UsageText();
}

}
