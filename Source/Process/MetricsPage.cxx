#include "Process/MetricsPage.h"

#include <algorithm>
#include <map>
#include <sstream>

namespace cactusrail {

namespace {

/** Escapes the three characters that the format requires to be escaped in label
 * values. */
std::string
Escaped(std::string_view aText)
{
  std::string escaped;
  for (const char character : aText) {
    if (character == '\n') {
      escaped += "\\n";
      continue;
    }
    if (character == '"' || character == '\\') {
      escaped += '\\';
    }
    escaped += character;
  }
  return escaped;
}

/** Builds one metrics page. */
class PageWriter
{
public:
  explicit PageWriter(const MetricsSnapshot& aSnapshot)
    : common_("role=\"" + Escaped(aSnapshot.role_) + "\",process=\"" +
              Escaped(aSnapshot.process_) + "\"")
  {
  }

  void Head(std::string_view aName,
            std::string_view aType,
            std::string_view aHelp)
  {
    page_ << "# HELP cactusrail_" << aName << " " << aHelp << "\n"
          << "# TYPE cactusrail_" << aName << " " << aType << "\n";
  }

  template<typename Value>
  void Line(std::string_view aName, const std::string& aLabels, Value aValue)
  {
    page_ << "cactusrail_" << aName << "{" << common_ << aLabels << "} "
          << aValue << "\n";
  }

  void HistogramLines(const std::string& aName,
                      const std::string& aLabels,
                      const HistogramSummary& aSummary)
  {
    for (const HistogramBucket& bucket : aSummary.buckets_) {
      std::ostringstream edge;
      edge << bucket.upperSeconds_;
      Line(aName + "_bucket",
           aLabels + ",le=\"" + edge.str() + "\"",
           bucket.cumulative_);
    }
    Line(aName + "_bucket", aLabels + ",le=\"+Inf\"", aSummary.count_);
    Line(aName + "_sum", aLabels, aSummary.sum_);
    Line(aName + "_count", aLabels, aSummary.count_);
  }

  std::string Text() const { return page_.str(); }

private:
  std::string common_;
  std::ostringstream page_;
};

/** Adds the counts; all histograms have the same buckets, or none if empty. */
void
AddTo(HistogramSummary& aTotal, const HistogramSummary& aPart)
{
  if (aPart.count_ == 0) {
    return;
  }
  if (aTotal.count_ == 0) {
    aTotal = aPart;
    return;
  }
  aTotal.count_ += aPart.count_;
  aTotal.sum_ += aPart.sum_;
  aTotal.minimum_ = std::min(aTotal.minimum_, aPart.minimum_);
  aTotal.maximum_ = std::max(aTotal.maximum_, aPart.maximum_);
  for (std::size_t index = 0; index < aTotal.buckets_.size(); ++index) {
    aTotal.buckets_[index].cumulative_ += aPart.buckets_[index].cumulative_;
  }
}

std::string
SeriesLabels(const SeriesSummary& aSeries)
{
  if (aSeries.tenant_.empty()) {
    return ",class=\"" + Escaped(aSeries.class_) + "\"";
  }
  return ",tenant=\"" + Escaped(aSeries.tenant_) + "\",class=\"" +
         Escaped(aSeries.class_) + "\"";
}

void
WriteHistograms(PageWriter& aWriter,
                const MetricsSnapshot& aSnapshot,
                const std::string& aName,
                std::string_view aHelp,
                HistogramSummary SeriesSummary::*aHistogram)
{
  aWriter.Head(aName, "histogram", aHelp);
  for (const SeriesSummary& series : aSnapshot.series_) {
    if ((series.*aHistogram).count_ != 0) {
      aWriter.HistogramLines(aName, SeriesLabels(series), series.*aHistogram);
    }
  }
}

void
WriteVerdicts(PageWriter& aWriter, const MetricsSnapshot& aSnapshot)
{
  const std::string name = "requests_total";
  aWriter.Head(name, "counter", "requests by what became of them");
  for (const SeriesSummary& series : aSnapshot.series_) {
    const std::string labels = SeriesLabels(series) + ",verdict=";
    aWriter.Line(name, labels + "\"did_not_run\"", series.didNotRun_);
    aWriter.Line(name, labels + "\"ran\"", series.ran_);
    aWriter.Line(name, labels + "\"may_have_run\"", series.mayHaveRun_);
  }
}

}

MetricsDetail
DetailOf(std::string_view aPer)
{
  return aPer == "tenant" ? MetricsDetail::Tenant : MetricsDetail::Class;
}

MetricsSnapshot
SumTenants(const MetricsSnapshot& aSnapshot)
{
  MetricsSnapshot sum = aSnapshot;
  std::map<std::string, SeriesSummary> classes;
  for (const SeriesSummary& series : aSnapshot.series_) {
    SeriesSummary& total = classes[series.class_];
    total.class_ = series.class_;
    AddTo(total.latency_, series.latency_);
    AddTo(total.queued_, series.queued_);
    AddTo(total.served_, series.served_);
    total.didNotRun_ += series.didNotRun_;
    total.ran_ += series.ran_;
    total.mayHaveRun_ += series.mayHaveRun_;
  }
  sum.series_.clear();
  for (auto& [name, total] : classes) {
    sum.series_.push_back(std::move(total));
  }
  return sum;
}

std::string
MetricsText(const MetricsSnapshot& aSnapshot, MetricsDetail aDetail)
{
  if (aDetail == MetricsDetail::Class) {
    return MetricsText(SumTenants(aSnapshot), MetricsDetail::Tenant);
  }
  PageWriter writer(aSnapshot);
  WriteVerdicts(writer, aSnapshot);
  WriteHistograms(writer,
                  aSnapshot,
                  "request_duration_seconds",
                  "from a request's arrival to its final answer",
                  &SeriesSummary::latency_);
  WriteHistograms(writer,
                  aSnapshot,
                  "queue_duration_seconds",
                  "what an attempt waited for a slot at a side",
                  &SeriesSummary::queued_);
  WriteHistograms(writer,
                  aSnapshot,
                  "upstream_duration_seconds",
                  "what an attempt ran at an upstream",
                  &SeriesSummary::served_);
  for (std::size_t index = 0; index < aSnapshot.counters_.size(); ++index) {
    const MetricName name = NameOf(static_cast<Counter>(index));
    const std::string full = std::string(name.name_) + "_total";
    writer.Head(full, "counter", name.help_);
    writer.Line(full, "", aSnapshot.counters_[index].value_);
  }
  for (std::size_t index = 0; index < aSnapshot.gauges_.size(); ++index) {
    const MetricName name = NameOf(static_cast<Gauge>(index));
    writer.Head(name.name_, "gauge", name.help_);
    writer.Line(name.name_, "", aSnapshot.gauges_[index].value_);
  }
  return writer.Text();
}

}
