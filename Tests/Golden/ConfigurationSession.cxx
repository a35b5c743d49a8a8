#include "ConfigurationSession.h"

#include "Version/ConfigurationVersion.h"
#include "Version/JsonText.h"

#include <algorithm>
#include <map>
#include <optional>
#include <sstream>
#include <vector>

namespace cactusrail {

namespace {

constexpr Millis kTick{ 100 };

struct Entry
{
  ConfigurationVersion decision_;
  std::uint64_t highest_ = 0;
  std::uint64_t nextNonce_ = 1;
};

/** A write that the table delays. */
struct DelayedWrite
{
  WriteConfigurationRow write_;
};

std::string
VersionText(const Configuration& aConfiguration)
{
  std::string text = "version " + std::to_string(aConfiguration.version_);
  if (!aConfiguration.tenants_.empty()) {
    text += " (" + aConfiguration.tenants_.front().name_ + ")";
  }
  return text;
}

std::string
ChangeText(const std::string& aTenant, std::uint64_t aVersion)
{
  Configuration configuration;
  configuration.version_ = aVersion;
  TenantConfig tenant;
  tenant.name_ = aTenant;
  tenant.keySha256_ = std::string(64, 'a');
  configuration.tenants_.push_back(tenant);
  return ConfigurationText(configuration);
}

}

class ConfigurationSession::Private
{
public:
  void Execute(const std::string& aLine);
  void ExecuteTableCommand(const std::string& aMode);
  void SubmitChange(const std::string& aEntry, const std::string& aText);
  void ReceivePeerVersion(const std::string& aFrom, const std::string& aTo);
  void AdvanceTime(Millis aTime);
  void Perform(const std::string& aEntry,
               const ConfigurationVersion::Actions& aActions);
  void Perform(const std::string& aEntry, const ReadConfigurationRow& aAction);
  void Perform(const std::string& aEntry,
               const AskPeersForConfiguration& aAction);
  void Perform(const std::string& aEntry, const WriteConfigurationRow& aAction);
  void Perform(const std::string& aEntry, const TakeConfiguration& aAction);
  void Perform(const std::string& aEntry,
               const AnswerConfigurationChange& aAction);
  void Perform(const std::string& aEntry,
               const RaiseConfigurationAlarm& aAction);
  TableOutcome Apply(const WriteConfigurationRow& aWrite);
  void Check();
  void Print(const std::string& aEntry, const std::string& aText);
  void Break(const std::string& aText);

  Instant now_;
  std::map<std::string, Entry> entries_;
  TableRow row_;
  TableRow savedRow_;
  std::uint64_t nextRevision_ = 1;
  std::string mode_ = "up";
  bool readsSavedRow_ = false;
  bool disconnected_ = false;
  std::vector<DelayedWrite> delayedWrites_;
  /** Versions that were confirmed to an operator as accepted, with their text.
   */
  std::map<std::uint64_t, std::string> accepted_;
  std::map<std::string, std::string> changes_;
  std::ostringstream transcript_;
  std::string text_;
  std::string broken_;
};

void
ConfigurationSession::Private::Print(const std::string& aEntry,
                                     const std::string& aText)
{
  const auto milliseconds =
    std::chrono::duration_cast<Millis>(now_.time_since_epoch()).count();
  transcript_ << milliseconds << " " << aEntry << ": " << aText << "\n";
}

void
ConfigurationSession::Private::Break(const std::string& aText)
{
  broken_ += aText + "\n";
  Print("BROKEN", aText);
}

void
ConfigurationSession::Private::Perform(
  const std::string& aEntry,
  const ConfigurationVersion::Actions& aActions)
{
  for (const ConfigurationAction& action : aActions) {
    std::visit([&](const auto& aAction) { Perform(aEntry, aAction); }, action);
  }
}

void
ConfigurationSession::Private::Perform(const std::string& aEntry,
                                       const ReadConfigurationRow&)
{
  ConfigurationVersion& decision = entries_.at(aEntry).decision_;
  if (mode_ == "down") {
    Perform(aEntry, decision.OnReadFailed(now_));
    return;
  }
  Perform(aEntry, decision.OnRow(readsSavedRow_ ? savedRow_ : row_, now_));
}

void
ConfigurationSession::Private::Perform(const std::string& aEntry,
                                       const AskPeersForConfiguration&)
{
  if (disconnected_) {
    return;
  }
  Print(aEntry, "asks its peers");
  for (const auto& [name, peer] : entries_) {
    if (name != aEntry) {
      Perform(aEntry,
              entries_.at(aEntry).decision_.OnPeerConfiguration(
                ConfigurationText(peer.decision_.InForce()), now_));
    }
  }
}

TableOutcome
ConfigurationSession::Private::Apply(const WriteConfigurationRow& aWrite)
{
  TableOutcome outcome;
  outcome.applied_ = row_.revision_ == aWrite.revision_;
  if (outcome.applied_) {
    row_ = { "config/current", nextRevision_++, aWrite.value_ };
  }
  outcome.rows_.push_back(row_);
  return outcome;
}

void
ConfigurationSession::Private::Perform(const std::string& aEntry,
                                       const WriteConfigurationRow& aAction)
{
  ConfigurationVersion& decision = entries_.at(aEntry).decision_;
  const std::string what = aAction.isChange_ ? "change" : "write-back";
  const Failure lost{
    FailureKind::TimedOut, Verdict::MayHaveRun, "No answer.", Millis(0)
  };
  if (mode_ == "down") {
    Print(aEntry, "writes " + what + ": the table is down");
    Perform(aEntry, decision.OnWritten(aAction, lost, now_));
    return;
  }
  if (mode_ == "delay-writes") {
    Print(aEntry, "writes " + what + ": held back, no answer");
    delayedWrites_.push_back({ aAction });
    Perform(aEntry, decision.OnWritten(aAction, lost, now_));
    return;
  }
  const TableOutcome outcome = Apply(aAction);
  const bool loses = mode_ == "lose-answers";
  Print(aEntry,
        "writes " + what + " on revision " + std::to_string(aAction.revision_) +
          (outcome.applied_ ? ": applied"
                            : ": refused, the row is at revision " +
                                std::to_string(row_.revision_)) +
          (loses ? ", the answer is lost" : ""));
  Perform(aEntry,
          loses ? decision.OnWritten(aAction, lost, now_)
                : decision.OnWritten(aAction, outcome, now_));
}

void
ConfigurationSession::Private::Perform(const std::string& aEntry,
                                       const TakeConfiguration& aAction)
{
  Entry& entry = entries_.at(aEntry);
  const Configuration& taken = *aAction.configuration_;
  Print(aEntry,
        "puts " + VersionText(taken) + " in force, from " + aAction.source_);
  if (taken.version_ <= entry.highest_) {
    Break(aEntry + " reverted from version " + std::to_string(entry.highest_) +
          " to " + std::to_string(taken.version_));
  }
  entry.highest_ = taken.version_;
}

void
ConfigurationSession::Private::Perform(const std::string& aEntry,
                                       const AnswerConfigurationChange& aAction)
{
  Print(aEntry,
        "answers " + aAction.nonce_ + ": " + std::to_string(aAction.status_) +
          (aAction.message_.empty() ? "" : " " + aAction.message_));
  if (aAction.status_ != 200) {
    return;
  }
  const std::string& text = changes_.at(aAction.nonce_);
  const auto parsed = ParseConfiguration(text);
  const std::uint64_t version = std::get<Configuration>(parsed).version_;
  const auto [place, isNew] = accepted_.emplace(version, text);
  if (!isNew && place->second != text) {
    Break("two changes were accepted as version " + std::to_string(version));
  }
}

void
ConfigurationSession::Private::Perform(const std::string& aEntry,
                                       const RaiseConfigurationAlarm& aAction)
{
  Print(aEntry, "ALARM " + aAction.event_ + ": " + aAction.detail_);
}

void
ConfigurationSession::Private::SubmitChange(const std::string& aEntry,
                                            const std::string& aText)
{
  Entry& entry = entries_.at(aEntry);
  const std::string nonce = aEntry + "-" + std::to_string(entry.nextNonce_++);
  changes_[nonce] = aText;
  Print(aEntry, "operator puts " + nonce);
  Perform(aEntry, entry.decision_.OnChange(nonce, aText, now_));
}

void
ConfigurationSession::Private::ReceivePeerVersion(const std::string& aFrom,
                                                  const std::string& aTo)
{
  const std::uint64_t version = entries_.at(aFrom).decision_.InForce().version_;
  Perform(aTo, entries_.at(aTo).decision_.OnPeerVersion(version, now_));
}

void
ConfigurationSession::Private::AdvanceTime(Millis aTime)
{
  const Instant end = now_ + aTime;
  while (now_ < end) {
    now_ += kTick;
    for (auto& [name, entry] : entries_) {
      Perform(name, entry.decision_.OnTick(now_));
    }
  }
}

void
ConfigurationSession::Private::ExecuteTableCommand(const std::string& aMode)
{
  if (aMode == "remember") {
    savedRow_ = row_;
  } else if (aMode == "restore") {
    row_ = savedRow_;
    if (row_.revision_ != 0) {
      row_.revision_ = nextRevision_++;
    }
  } else if (aMode == "past" || aMode == "present") {
    readsSavedRow_ = aMode == "past";
  } else if (aMode == "corrupt") {
    row_ = { "config/current", nextRevision_++, "{\"nonce\":" };
  } else if (aMode == "release") {
    for (const DelayedWrite& held : delayedWrites_) {
      const bool applied = Apply(held.write_).applied_;
      Print("table",
            std::string("a held write is ") +
              (applied ? "applied" : "refused"));
    }
    delayedWrites_.clear();
    mode_ = "up";
  } else {
    mode_ = aMode;
  }
}

void
ConfigurationSession::Private::Check()
{
  for (const auto& [name, entry] : entries_) {
    Print(name, "has in force " + VersionText(entry.decision_.InForce()));
  }
  if (accepted_.empty()) {
    return;
  }
  const auto& [version, text] = *accepted_.rbegin();
  for (const auto& [name, entry] : entries_) {
    const Configuration& held = entry.decision_.InForce();
    if (held.version_ < version) {
      Break(name + " lacks the accepted version " + std::to_string(version));
    } else if (held.version_ == version && ConfigurationText(held) != text) {
      Break(name + " holds another version " + std::to_string(version));
    }
  }
}

void
ConfigurationSession::Private::Execute(const std::string& aLine)
{
  std::istringstream words(aLine);
  std::string command;
  std::string first;
  std::string second;
  std::uint64_t version = 0;
  words >> command;
  transcript_ << "> " << aLine << "\n";
  if (command == "start" || command == "kill") {
    words >> first;
    entries_.erase(first);
    if (command == "start") {
      entries_.try_emplace(first);
    }
  } else if (command == "run") {
    std::int64_t milliseconds = 0;
    words >> milliseconds;
    AdvanceTime(Millis(milliseconds));
  } else if (command == "put") {
    words >> first >> second >> version;
    SubmitChange(first, ChangeText(second, version));
  } else if (command == "put-bad") {
    words >> first >> version;
    SubmitChange(first, ChangeText("not a name", version));
  } else if (command == "table") {
    words >> first;
    ExecuteTableCommand(first);
  } else if (command == "peer") {
    words >> first >> second;
    ReceivePeerVersion(first, second);
  } else if (command == "cut" || command == "heal") {
    disconnected_ = command == "cut";
  } else if (command == "check") {
    Check();
  } else {
    Break("the script has the unknown command " + command);
  }
}

ConfigurationSession::ConfigurationSession()
  : private_(std::make_unique<Private>())
{
}

ConfigurationSession::~ConfigurationSession() = default;

void
ConfigurationSession::Run(std::string_view aScript)
{
  std::istringstream lines{ std::string(aScript) };
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.front() != '#') {
      private_->Execute(line);
    }
  }
  private_->text_ = private_->transcript_.str();
}

const std::string&
ConfigurationSession::Transcript() const
{
  return private_->text_;
}

const std::string&
ConfigurationSession::Broken() const
{
  return private_->broken_;
}

}
