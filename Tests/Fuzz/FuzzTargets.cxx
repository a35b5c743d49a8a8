#include "FuzzTargets.h"

#include "Connection/Codec.h"
#include "Connection/FrameReader.h"
#include "Connection/HttpFraming.h"
#include "Connection/ReportDecoder.h"
#include "Connection/ReportEncoder.h"
#include "Process/SettingsFile.h"
#include "Process/SideSettings.h"
#include "Version/Configuration.h"
#include "Version/JsonText.h"
#include "Version/TableRows.h"

#include <cstdlib>

namespace cactusrail::fuzz {

namespace {

/** Aborts if an invariant is violated, so that any fuzz driver detects it. */
void
AbortUnless(bool aCondition)
{
  if (!aCondition) {
    std::abort();
  }
}

void
RunFrame(std::string_view aInput)
{
  const Result<WireMessage> decoded = DecodeFrame(aInput);
  const auto* message = std::get_if<WireMessage>(&decoded);
  if (message == nullptr) {
    return;
  }
  // Re-encoding a decoded message must reproduce the input.
  const std::string again = EncodeFrame(*message);
  AbortUnless(Succeeded(DecodeFrame(again)));
  AbortUnless(again == aInput);
}

FleetReport
SideReport()
{
  FleetReport report;
  report.worker_.id_ = "w1";
  report.worker_.labels_ = { "a", "r1-3" };
  report.runs_.push_back({ "5c0e7a21d94b36f8.0.1.1", 1, true, "", 0, 0 });
  report.runs_.push_back({ "5c0e7a21d94b36f8.0.1.2", 1, false, "c", 40, 9 });
  return report;
}

void
RunReport(std::string_view aInput)
{
  RunFrame(aInput);
  const Result<WireMessage> decoded = DecodeFrame(aInput);
  const auto* message = std::get_if<WireMessage>(&decoded);
  const auto* change =
    message == nullptr ? nullptr : std::get_if<FleetReportChange>(message);
  if (change == nullptr) {
    return;
  }
  ReportDecoder decoder;
  decoder.Take(SideReport());
  if (const auto report = decoder.Take(*change)) {
    const std::size_t known = SideReport().runs_.size();
    AbortUnless(report->runs_.size() + change->removed_.size() ==
                known + change->added_.size());
  }
}

void
RunReader(std::string_view aInput)
{
  FrameReader whole;
  const auto unsplitResult = whole.Take(aInput);
  FrameReader halves;
  const std::size_t half = aInput.size() / 2;
  const auto first = halves.Take(aInput.substr(0, half));
  const bool firstFailed = !Succeeded(first);
  const bool failed =
    firstFailed || !Succeeded(halves.Take(aInput.substr(half)));
  // The validity of a stream must not depend on how it is split.
  AbortUnless(failed == !Succeeded(unsplitResult));
}

void
RunHttpHead(std::string_view aInput)
{
  const Result<HttpRequestBounds> bounds = ReadHttpBounds(aInput);
  if (const auto* read = std::get_if<HttpRequestBounds>(&bounds)) {
    AbortUnless(read->headBytes_ == aInput.size());
  }
}

void
RunConfiguration(std::string_view aInput)
{
  const Result<Configuration> parsed = ParseConfiguration(aInput);
  const auto* configuration = std::get_if<Configuration>(&parsed);
  if (configuration != nullptr) {
    AbortUnless(
      Succeeded(ParseConfiguration(ConfigurationText(*configuration))));
  }
}

void
RunSettings(std::string_view aInput)
{
  const auto parsed =
    SettingsFile::Parse("fuzz.ini", std::string(aInput), SideSettings::Specs());
  if (const auto* failure = std::get_if<Failure>(&parsed)) {
    AbortUnless(failure->message_.starts_with("fuzz.ini"));
  }
}

void
RunTableOutcome(std::string_view aInput)
{
  static_cast<void>(FromJson<TableOutcome>(aInput));
}

std::vector<std::string>
FrameSeeds()
{
  DispatchMessage dispatch;
  dispatch.requestId_ = "entry1-1-0-1";
  dispatch.attemptId_ = "entry1-1-0-1.1";
  dispatch.headers_ = { { "Accept", "text/plain" } };
  dispatch.body_ = "lot 7";
  AnswerMessage answer;
  answer.attemptId_ = "entry1-1-0-1.1";
  answer.verdict_ = Verdict::Ran;
  answer.status_ = 200;
  HeartbeatMessage heartbeat;
  heartbeat.sideId_ = "side1";
  heartbeat.labels_ = { { "team", "pricing" } };
  HeartbeatAckMessage ack;
  ack.entries_ = { "127.0.0.1:7000", "127.0.0.1:7001" };
  return { EncodeFrame(dispatch),
           EncodeFrame(answer),
           EncodeFrame(heartbeat),
           EncodeFrame(ack) };
}

std::vector<std::string>
ReportSeeds()
{
  ReportEncoder encoder;
  FleetReport report = SideReport();
  const std::string whole = EncodeFrame(encoder.Encode(report));
  report.worker_.draining_ = true;
  report.runs_.front().starting_ = false;
  report.runs_.pop_back();
  report.runs_.push_back({ "5c0e7a21d94b36f8.0.1.3", 2, true, "", 0, 0 });
  report.ends_.push_back({ 7, "5c0e7a21d94b36f8.0.1.2", 1, EndKind::Done, "" });
  report.refused_.push_back(
    { "5c0e7a21d94b36f8.0.1.4", 1, StartRejection::NoRoom });
  const std::string change = EncodeFrame(encoder.Encode(report));
  FleetOrders orders;
  orders.starts_.push_back({ "5c0e7a21d94b36f8.0.1.5", 1, "spec", "", "" });
  orders.stops_.push_back({ "5c0e7a21d94b36f8.0.1.1", 1 });
  orders.paces_.push_back({ "5c0e7a21d94b36f8.0.1.3", 2, 40 });
  return { whole,
           change,
           EncodeFrame(orders),
           EncodeFrame(FleetHelloMessage{ "entry1", true, 3, 500, 200 }),
           EncodeFrame(FleetRequestMessage{
             1, FleetRequestKind::JobStored, "5c0e7a21d94b36f8", "record" }),
           EncodeFrame(
             FleetResponseMessage{ 1, FleetOutcome::Ok, 7, "digest" }) };
}

std::vector<std::string>
HttpSeeds()
{
  return { "GET /s/pricing/x HTTP/1.1\r\nHost: a\r\n\r\n",
           "POST /s/pricing/x HTTP/1.1\r\nContent-Length: 5\r\n"
           "Connection: close\r\n\r\n" };
}

std::vector<std::string>
ConfigurationSeeds()
{
  Configuration configuration;
  configuration.version_ = 3;
  TenantConfig tenant;
  tenant.name_ = "clerk";
  tenant.keySha256_ = std::string(64, 'a');
  configuration.tenants_.push_back(tenant);
  ServiceConfig service;
  service.name_ = "pricing";
  configuration.services_.push_back(service);
  return { ConfigurationText(configuration) };
}

std::vector<std::string>
SettingsSeeds()
{
  return { "[side]\n%invalid_line%\nname = side1\n",
           "[side]\nname = side1\ndata-centre = dc1\nlisten = 127.0.0.1:0\n"
           "announce = 127.0.0.1:0\nentries = 127.0.0.1:7000\n"
           "heartbeat-ms = 500\n" };
}

std::vector<std::string>
TableSeeds()
{
  TableOutcome outcome;
  outcome.rows_.push_back({ "claim/a/b", 7, "{\"x\":1}" });
  return { ToJson(outcome) };
}

}

std::span<const FuzzTarget>
Targets()
{
  static const std::array<FuzzTarget, 7> kTargets{ {
    { "frame", RunFrame, FrameSeeds },
    { "report", RunReport, ReportSeeds },
    { "reader", RunReader, FrameSeeds },
    { "http-head", RunHttpHead, HttpSeeds },
    { "configuration", RunConfiguration, ConfigurationSeeds },
    { "settings", RunSettings, SettingsSeeds },
    { "table-outcome", RunTableOutcome, TableSeeds },
  } };
  return kTargets;
}

}
