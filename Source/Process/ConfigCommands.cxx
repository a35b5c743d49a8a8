#include "Process/ConfigCommands.h"

#include "Process/CommandTable.h"
#include "Process/EntryClient.h"
#include "Process/RoleOfSettings.h"
#include "Process/SettingsReference.h"
#include "Process/TextTable.h"
#include "Version/Configuration.h"
#include "Version/JsonText.h"

#include <QCryptographicHash>

#include <fstream>
#include <iostream>
#include <iterator>

namespace cactusrail {

namespace {

constexpr const char* kConfigPage = "/v1/config";

ExitCode
Report(const Failure& aFailure)
{
  std::cerr << aFailure.message_ << '\n';
  return ExitCodeOfFailure(aFailure);
}

/** Reads a whole file, or the standard input for "-". */
Result<std::string>
ReadAll(const std::string& aPath)
{
  if (aPath == "-") {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return NotRun(FailureKind::BadInput,
                  aPath + ": the file can't be read; give its path or '-'.");
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

std::string
Sha256Hex(const std::string& aText)
{
  return QCryptographicHash::hash(QByteArray::fromStdString(aText),
                                  QCryptographicHash::Sha256)
    .toHex()
    .toStdString();
}

/** Removes the line ending of a key that was read from a file. */
std::string
WithoutLineEnd(std::string aText)
{
  while (!aText.empty() && (aText.back() == '\n' || aText.back() == '\r')) {
    aText.pop_back();
  }
  return aText;
}

ExitCode
CheckConfig(const CommandLine& aLine)
{
  const std::string path = aLine.Text("FILE");
  const Result<std::string> role = CheckSettings(path);
  if (const auto* failure = std::get_if<Failure>(&role)) {
    return Report(*failure);
  }
  if (aLine.Output() == OutputFormat::Json) {
    std::cout << "{\"valid\":true,\"role\":\"" << std::get<std::string>(role)
              << "\"}\n";
  } else {
    std::cout << path << ": valid settings of the role "
              << std::get<std::string>(role) << '\n';
  }
  return ExitCode::Done;
}

ExitCode
PrintKeys(const CommandLine& aLine)
{
  std::cout << (aLine.Text("output") == "markdown" ? SettingsMarkdown()
                                                   : SettingsTable());
  return ExitCode::Done;
}

std::string
LabelText(const Labels& aLabels)
{
  std::string text;
  for (const auto& [name, value] : aLabels) {
    if (!text.empty()) {
      text += ",";
    }
    text += name;
    text += "=";
    text += value;
  }
  return text;
}

std::string
ConfigurationTable(const Configuration& aConfiguration)
{
  const PolicyWeights& weights = aConfiguration.weights_;
  TextTable head;
  head.AddRow({ "VERSION", "TAIL-LATENCY", "BATCH", "EVICTIONS" });
  head.AddRow({ std::to_string(aConfiguration.version_),
                std::to_string(weights.tailLatency_),
                std::to_string(weights.batchThroughput_),
                std::to_string(weights.evictions_) });
  TextTable tenants;
  tenants.AddRow({ "TENANT", "SHARE", "QUOTA-MILLICPUS" });
  for (const TenantConfig& tenant : aConfiguration.tenants_) {
    tenants.AddRow({ tenant.name_,
                     std::to_string(tenant.share_),
                     std::to_string(tenant.quotaMilliCpus_) });
  }
  TextTable services;
  services.AddRow(
    { "SERVICE", "IDEMPOTENT", "TIMEOUT-MS", "PAUSED", "LABELS" });
  for (const ServiceConfig& service : aConfiguration.services_) {
    services.AddRow({ service.name_,
                      service.idempotent_ ? "yes" : "no",
                      std::to_string(service.timeoutMs_),
                      service.paused_ ? "yes" : "no",
                      LabelText(service.labels_) });
  }
  return head.Text() + "\n" + tenants.Text() + "\n" + services.Text();
}

/** Prints a configuration from an entry's response. */
ExitCode
PrintConfiguration(const CommandLine& aLine, const std::string& aText)
{
  if (aLine.Output() == OutputFormat::Json) {
    std::cout << aText;
    return ExitCode::Done;
  }
  const Result<Configuration> parsed = ParseConfiguration(aText);
  if (!Succeeded(parsed)) {
    // The format is newer than this program: print the text unchanged.
    std::cout << aText;
    return ExitCode::Done;
  }
  std::cout << ConfigurationTable(std::get<Configuration>(parsed));
  return ExitCode::Done;
}

ExitCode
GetConfig(const CommandLine& aLine)
{
  const Result<EntryClient> client = EntryClient::Make(aLine);
  if (const auto* failure = std::get_if<Failure>(&client)) {
    return Report(*failure);
  }
  ExitCode code = ExitCode::Done;
  const std::optional<HttpReply> reply =
    std::get<EntryClient>(client).CallOrReport("GET", kConfigPage, "", code);
  return reply.has_value() ? PrintConfiguration(aLine, reply->body_) : code;
}

/** Sends a whole configuration. The entry rejects it if its version is not the
 * next one. */
ExitCode
PutConfiguration(const CommandLine& aLine,
                 const EntryClient& aClient,
                 const Configuration& aConfiguration)
{
  const std::string text = ConfigurationText(aConfiguration);
  const Result<Configuration> checked = ParseConfiguration(text);
  if (const auto* failure = std::get_if<Failure>(&checked)) {
    return Report(*failure);
  }
  if (aLine.Given("dry-run")) {
    return PrintConfiguration(aLine, text + "\n");
  }
  ExitCode code = ExitCode::Done;
  const std::optional<HttpReply> reply =
    aClient.CallOrReport("PUT", kConfigPage, text, code);
  return reply.has_value() ? PrintConfiguration(aLine, reply->body_) : code;
}

ExitCode
SetConfig(const CommandLine& aLine)
{
  const Result<std::string> text = ReadAll(aLine.Text("FILE"));
  if (const auto* failure = std::get_if<Failure>(&text)) {
    return Report(*failure);
  }
  const Result<Configuration> parsed =
    ParseConfiguration(std::get<std::string>(text));
  if (const auto* failure = std::get_if<Failure>(&parsed)) {
    return Report(*failure);
  }
  const Result<EntryClient> client = EntryClient::Make(aLine);
  if (const auto* failure = std::get_if<Failure>(&client)) {
    return Report(*failure);
  }
  return PutConfiguration(
    aLine, std::get<EntryClient>(client), std::get<Configuration>(parsed));
}

/** Reads the configuration, lets aChange edit it, and sets it. */
template<typename Change>
ExitCode
ChangeConfiguration(const CommandLine& aLine, const Change& aChange)
{
  const Result<EntryClient> made = EntryClient::Make(aLine);
  if (const auto* failure = std::get_if<Failure>(&made)) {
    return Report(*failure);
  }
  const auto& client = std::get<EntryClient>(made);
  ExitCode code = ExitCode::Done;
  const std::optional<HttpReply> reply =
    client.CallOrReport("GET", kConfigPage, "", code);
  if (!reply.has_value()) {
    return code;
  }
  Result<Configuration> parsed = ParseConfiguration(reply->body_);
  if (const auto* failure = std::get_if<Failure>(&parsed)) {
    std::cerr << failure->message_ << '\n';
    return ExitCode::Other;
  }
  auto& configuration = std::get<Configuration>(parsed);
  ++configuration.version_;
  aChange(configuration);
  return PutConfiguration(aLine, client, configuration);
}

ExitCode
CreateTenant(const CommandLine& aLine)
{
  constexpr std::int64_t kMaxShare = 1000000;
  constexpr std::int64_t kMaxQuota = 1000000000;
  const Result<std::int64_t> share = aLine.Number("share", 1, kMaxShare);
  const Result<std::int64_t> quota =
    aLine.Number("quota-millicpus", 0, kMaxQuota);
  for (const Result<std::int64_t>* number : { &share, &quota }) {
    if (const auto* failure = std::get_if<Failure>(number)) {
      return Report(*failure);
    }
  }
  // Read the key from a file: an argument would be visible in the process list.
  const Result<std::string> key = ReadAll(aLine.Text("CALLER-KEY-FILE"));
  if (const auto* failure = std::get_if<Failure>(&key)) {
    return Report(*failure);
  }
  const std::string secret = WithoutLineEnd(std::get<std::string>(key));
  if (secret.empty()) {
    return Report(
      NotRun(FailureKind::BadInput,
             "The caller's key is empty; write the key to the file."));
  }
  TenantConfig tenant;
  tenant.name_ = aLine.Text("NAME");
  tenant.keySha256_ = Sha256Hex(secret);
  tenant.share_ = static_cast<std::uint32_t>(std::get<std::int64_t>(share));
  tenant.quotaMilliCpus_ =
    static_cast<std::uint64_t>(std::get<std::int64_t>(quota));
  return ChangeConfiguration(aLine, [&tenant](Configuration& aConfiguration) {
    aConfiguration.tenants_.push_back(tenant);
  });
}

ExitCode
CreateService(const CommandLine& aLine)
{
  constexpr std::int64_t kDefaultTimeoutMs = 10000;
  constexpr std::int64_t kMaxTimeoutMs = 3600000;
  const Result<std::int64_t> timeout =
    aLine.Number("timeout-ms", kDefaultTimeoutMs, kMaxTimeoutMs);
  if (const auto* failure = std::get_if<Failure>(&timeout)) {
    return Report(*failure);
  }
  const Result<Labels> labels = aLine.LabelList("label");
  if (const auto* failure = std::get_if<Failure>(&labels)) {
    return Report(*failure);
  }
  ServiceConfig service;
  service.name_ = aLine.Text("NAME");
  service.labels_ = std::get<Labels>(labels);
  service.idempotent_ = aLine.Given("idempotent");
  service.timeoutMs_ =
    static_cast<std::uint32_t>(std::get<std::int64_t>(timeout));
  return ChangeConfiguration(aLine, [&service](Configuration& aConfiguration) {
    aConfiguration.services_.push_back(service);
  });
}

void
AddConfigVerbs(CommandTable& aTable)
{
  const CommandOption output{ "output",
                              "json|table",
                              "how to print the result; table by default" };
  aTable.Add({ "config check",
               { "FILE" },
               "Checks a settings file; its sections determine the role.",
               "cactusrail config check Examples/tagasi/entry.ini",
               { output },
               false,
               CheckConfig });
  aTable.Add({ "config keys",
               {},
               "Prints every key of the settings files.",
               "cactusrail config keys --output markdown > docs/SETTINGS.md",
               { { "output", "table|markdown", "how to print the keys" } },
               false,
               PrintKeys });
  aTable.Add({ "config get",
               {},
               "Prints the current configuration of an entry.",
               "cactusrail config get --entry 127.0.0.1:7001 --output json",
               {},
               true,
               GetConfig });
  aTable.Add({ "config set",
               { "FILE" },
               "Sets the whole configuration from a JSON file, or from '-'. "
               "Its version must be the next one; otherwise it is a conflict.",
               "cactusrail config set new.json --entry 127.0.0.1:7001",
               { { "dry-run", "", "check it and print it, set nothing" } },
               true,
               SetConfig });
}

}

void
AddConfigCommands(CommandTable& aTable)
{
  AddConfigVerbs(aTable);
  const CommandOption dryRun{ "dry-run",
                              "",
                              "print the configuration that would be set" };
  aTable.Add(
    { "create tenant",
      { "NAME", "CALLER-KEY-FILE" },
      "Adds a tenant, whose callers send the key in the file (or '-').",
      "printf demo-key | cactusrail create tenant clerk - "
      "--entry 127.0.0.1:7001",
      { { "share", "NUMBER", "weight relative to other tenants; 1" },
        { "quota-millicpus",
          "NUMBER",
          "thousandths of a processor for its batch work; 0" },
        dryRun },
      true,
      CreateTenant });
  aTable.Add({ "create service",
               { "NAME" },
               "Adds a service. Without --idempotent, a request other than GET "
               "or HEAD runs at most once.",
               "cactusrail create service pricing --timeout-ms 5000 "
               "--entry 127.0.0.1:7001",
               { { "idempotent", "", "requests may run more than once" },
                 { "timeout-ms",
                   "NUMBER",
                   "maximum duration of a request in ms; 10000" },
                 { "label", "NAME=VALUE", "a label; repeatable", true },
                 dryRun },
               true,
               CreateService });
}

}
