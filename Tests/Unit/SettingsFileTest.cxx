#include "Process/EntrySettings.h"
#include "Process/RoleOfSettings.h"
#include "Process/SettingsReference.h"
#include "Process/SideSettings.h"
#include "Version/Configuration.h"

#include <criterion/criterion.h>

#include <fstream>
#include <iterator>

using namespace cactusrail;

namespace {

constexpr const char* kSideFile = "[side]\n"
                                  "name = s1\n"
                                  "data-centre = dc1\n"
                                  "listen = 127.0.0.1:0\n"
                                  "announce = 127.0.0.1:0\n"
                                  "entries = 127.0.0.1:7002\n";

/** Returns the error message for a side's settings; empty if they are valid. */
std::string
FaultOf(const std::string& aText)
{
  const auto parsed =
    SettingsFile::Parse("side.ini", aText, SideSettings::Specs());
  const auto* failure = std::get_if<Failure>(&parsed);
  if (failure != nullptr) {
    return failure->message_;
  }
  const auto common = CommonSettings::From(
    "side.ini", std::get<SettingsFile>(parsed), SideSettings::Specs());
  const auto* commonFailure = std::get_if<Failure>(&common);
  return commonFailure == nullptr ? std::string() : commonFailure->message_;
}

std::string
FileText(const std::string& aPath)
{
  std::ifstream file(CACTUSRAIL_ROOT "/" + aPath);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

std::string
Replaced(std::string aText, const std::string& aOld, const std::string& aNew)
{
  return aText.replace(aText.find(aOld), aOld.size(), aNew);
}

Configuration
ExampleConfiguration(const std::string& aPath)
{
  const auto parsed = ParseConfiguration(FileText(aPath));
  const auto* failure = std::get_if<Failure>(&parsed);
  cr_assert(failure == nullptr, "%s", failure->message_.c_str());
  return std::get<Configuration>(parsed);
}

}

Test(SettingsFile, ValidFileIsLoadedWithDefaults)
{
  const auto parsed =
    SettingsFile::Parse("side.ini", kSideFile, SideSettings::Specs());
  cr_assert(Succeeded(parsed));
  cr_assert(std::get<SettingsFile>(parsed).Number("side.heartbeat-ms") == 500);
}

Test(SettingsFile, AFaultNamesFileLineSectionKeyAndExpectation)
{
  const std::string file = kSideFile;
  cr_assert(FaultOf(file) == "");
  cr_assert(FaultOf(file + "name = s2\n") ==
            "side.ini:7: [side] name: is given more than once.");
  cr_assert(FaultOf(file + "colour = red\n") ==
            "side.ini:7: [side] colour: is not a setting of this role.");
  cr_assert(FaultOf(Replaced(file, "= dc1", "=")) ==
            "side.ini:3: [side] data-centre: is empty; expected the name of "
            "its data centre.");
  cr_assert(FaultOf(Replaced(file, "name = s1\n", "")) ==
            "side.ini: [side] name: is missing; expected this side's unique "
            "name.");
  cr_assert(
    FaultOf(Replaced(file, "name = s1", "name"))
      .starts_with("side.ini:2: expected '[section]' and 'key = value' lines"));
  cr_assert(FaultOf(file + "[log]\nformat = xml\n") ==
            "side.ini:8: [log] format: expected one of line,json, got 'xml'.");
}

// If a line of a settings file contains the placeholder of the library's error
// message, the message grows without end: the process neither starts nor fails,
// and SIGTERM does not end it. Found by the fuzz target "settings"; without the
// guard this test does not end.
Test(SettingsFile, LineWithAPlaceholderIsRejected, .timeout = 20)
{
  cr_assert(
    FaultOf("[side]\n%invalid_line%efix%refix%\n").starts_with("side.ini:2: "));
}

// Boost.Program_options parses "-1" as the largest number of an unsigned type,
// so that a mistyped port opened port 65535.
Test(SettingsFile, NumbersOutsideTheirRangeAreRefused)
{
  const std::string file = kSideFile;
  for (const char* port : { "-1", "65536", "70000", "x", "", "1 2" }) {
    const std::string fault = FaultOf(Replaced(
      file, "listen = 127.0.0.1:0", std::string("listen = 127.0.0.1:") + port));
    cr_assert(fault.starts_with("side.ini:4: [side] listen: expected an IPv4"),
              "port '%s' gave: %s",
              port,
              fault.c_str());
  }
  for (const char* number : { "-1", "49", "1001", "1e2", "0x40", "500ms" }) {
    const std::string fault = FaultOf(file + "heartbeat-ms = " + number + "\n");
    cr_assert(fault.starts_with("side.ini:7: [side] heartbeat-ms: expected a "
                                "whole number from 50 to 1000"),
              "number '%s' gave: %s",
              number,
              fault.c_str());
  }
}

Test(SettingsFile, BadAddressListsAreRefused)
{
  for (const char* list : { "127.0.0.1:1,",
                            "127.0.0.1:1,,127.0.0.1:2",
                            "host:1",
                            "127.1:1",
                            "127.0.0.1",
                            "::1:5" }) {
    const std::string fault = FaultOf(
      Replaced(kSideFile, "= 127.0.0.1:7002", std::string("= ") + list));
    cr_assert(fault.starts_with("side.ini:6: [side] entries: expected an IPv4"),
              "list '%s' gave: %s",
              list,
              fault.c_str());
  }
}

Test(SettingsFile, AnUnreadableFileAndAnUnknownRoleAreRefused)
{
  const auto missing = CheckSettings("/no/such/file.ini");
  cr_assert(std::get<Failure>(missing).kind_ == FailureKind::BadInput);
  const auto folder = CheckSettings("/");
  cr_assert(!Succeeded(folder));
  const std::string path = "/tmp/cactusrail-role-test.ini";
  std::ofstream(path) << "[worker]\nname = w1\n";
  const auto role = CheckSettings(path);
  cr_assert(std::get<Failure>(role).message_.find("role is not known") !=
            std::string::npos);
}

// If an operator moves a side from a laptop to a host and forgets the keys, any
// host on the network could send it work.
Test(SettingsFile, NoKeysAreAllowedOnLoopbackOnly)
{
  const std::string open = Replaced(kSideFile, "127.0.0.1:0", "10.0.0.4:7100");
  cr_assert(FaultOf(open) ==
            "side.ini: [security] keys: is empty although 10.0.0.4:7100 can "
            "be reached from other hosts; expected at least one shared key "
            "ID:HEX.");
  const std::string keys =
    "[security]\nkeys = a:" + std::string(64, '0') + "\n";
  cr_assert(FaultOf(open + keys) == "");
}

// An invalid key must not appear in the log or on a screen.
Test(SettingsFile, AFaultyKeyIsNotShown)
{
  const std::string secret(63, 'a');
  const std::string fault =
    FaultOf(std::string(kSideFile) + "[security]\nkeys = id:" + secret + "\n");
  cr_assert(fault.starts_with("side.ini:8: [security] keys: key 1: expected"));
  cr_assert(fault.find("aaa") == std::string::npos);
}

Test(SettingsFile, ThePageOfSettingsIsTheGeneratedOne)
{
  cr_assert(FileText("docs/SETTINGS.md") == SettingsMarkdown(),
            "run: cactusrail config keys --output markdown > "
            "docs/SETTINGS.md");
}

Test(Examples, SettingsOfBothDeploymentsLoad)
{
  for (const char* name : { "tagasi", "valtierra" }) {
    for (const char* role : { "entry", "side" }) {
      const std::string path =
        std::string(CACTUSRAIL_ROOT "/Examples/") + name + "/" + role + ".ini";
      const auto checked = CheckSettings(path);
      const auto* failure = std::get_if<Failure>(&checked);
      cr_assert(failure == nullptr, "%s", failure->message_.c_str());
      cr_assert(std::get<std::string>(checked) == role);
    }
  }
}

Test(Examples, TheWeightsDifferAsTheDeploymentsDo)
{
  const PolicyWeights tagasi =
    ExampleConfiguration("Examples/tagasi/configuration.json").weights_;
  const PolicyWeights valtierra =
    ExampleConfiguration("Examples/valtierra/configuration.json").weights_;
  cr_assert(tagasi.tailLatency_ > tagasi.evictions_);
  cr_assert(tagasi.tailLatency_ > tagasi.batchThroughput_);
  cr_assert(valtierra.evictions_ > valtierra.tailLatency_);
  cr_assert(valtierra.evictions_ > valtierra.batchThroughput_);
  cr_assert(valtierra.batchThroughput_ < tagasi.batchThroughput_);
}
