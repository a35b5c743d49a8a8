#include "Version/ConfigurationVersion.h"

#include "Version/JsonText.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace cactusrail {

namespace {

constexpr Millis kReadInterval{ 1000 };
/** Timeout of an operator's change. */
constexpr Millis kChangeTimeout{ 8000 };
/** Delay before a failed write of a change is retried. */
constexpr Millis kRewriteDelay{ 500 };
/** Minimum interval between write-backs to a stale table. */
constexpr Millis kWriteBackInterval{ 5000 };
/** Time after which a version that no peer reports any more is ignored. */
constexpr Millis kPeerVersionTimeout{ 10000 };

constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
constexpr int kOk = 200;

/** Parses a record; none if it or its configuration is invalid. */
std::optional<ConfigurationRecord>
ReadRecord(const std::string& aValue)
{
  Result<ConfigurationRecord> read = FromJson<ConfigurationRecord>(aValue);
  auto* record = std::get_if<ConfigurationRecord>(&read);
  if (record == nullptr || !Succeeded(ParseConfiguration(
                             ConfigurationText(record->configuration_)))) {
    return std::nullopt;
  }
  return std::move(*record);
}

bool
SameText(const Configuration& aLeft, const Configuration& aRight)
{
  return ConfigurationText(aLeft) == ConfigurationText(aRight);
}

/** An operator's change that has not been answered. */
struct Change
{
  ConfigurationRecord record_;
  std::uint64_t revision_ = 0;
  Instant deadline_;
  /** Whether a write was sent, so that the change may have taken effect. */
  bool sent_ = false;
  /** Whether a write is in flight. */
  bool writing_ = false;
  Instant nextWrite_;
};

}

class ConfigurationVersion::Private
{
public:
  std::uint64_t Held() const { return held_.configuration_.version_; }
  std::uint64_t KnownPeerVersion(Instant aNow) const;
  void Apply(Actions& aActions,
             ConfigurationRecord aRecord,
             const std::string& aSource);
  void Answer(Actions& aActions, int aStatus, std::string aMessage);
  /** Requests the write of the pending change, at first and on each retry. */
  void WriteChange(Actions& aActions);
  /** Requests a write of the configuration in force to a stale table, unless
   * the last one was too recent or a change is pending. */
  void WriteBack(Actions& aActions, std::uint64_t aRevision, Instant aNow);
  void CompareRow(Actions& aActions, const TableRow& aRow, Instant aNow);
  void BeginChange(Actions& aActions);
  std::string WrongVersionMessage() const;
  void OnChangeWritten(Actions& aActions,
                       const TableOutcome& aOutcome,
                       Instant aNow);
  std::optional<std::pair<int, std::string>> ReasonToRefuse(
    const Result<Configuration>& aParsed,
    Instant aNow) const;

  ConfigurationRecord held_;
  bool reading_ = false;
  bool rowKnown_ = false;
  std::uint64_t revision_ = 0;
  Instant nextRead_;
  Instant nextPeerRequest_;
  Instant nextWriteBack_;
  std::uint64_t peerVersion_ = 0;
  Instant peerVersionUntil_;
  std::optional<Change> change_;
  /** Revision of the last alarm; each revision raises at most one alarm. */
  std::optional<std::uint64_t> alarmedRevision_;
  ConfigurationCounts counts_;
};

std::uint64_t
ConfigurationVersion::Private::KnownPeerVersion(Instant aNow) const
{
  return peerVersionUntil_ > aNow ? peerVersion_ : 0;
}

void
ConfigurationVersion::Private::Apply(Actions& aActions,
                                     ConfigurationRecord aRecord,
                                     const std::string& aSource)
{
  held_ = std::move(aRecord);
  aActions.emplace_back(SetConfiguration{
    std::make_shared<const Configuration>(held_.configuration_), aSource });
}

void
ConfigurationVersion::Private::Answer(Actions& aActions,
                                      int aStatus,
                                      std::string aMessage)
{
  aActions.emplace_back(AnswerConfigurationChange{
    change_->record_.nonce_, aStatus, std::move(aMessage) });
  change_.reset();
}

void
ConfigurationVersion::Private::WriteChange(Actions& aActions)
{
  change_->sent_ = true;
  change_->writing_ = true;
  aActions.emplace_back(WriteConfigurationRow{
    change_->revision_, ToJson(change_->record_), true });
}

void
ConfigurationVersion::Private::WriteBack(Actions& aActions,
                                         std::uint64_t aRevision,
                                         Instant aNow)
{
  if (nextWriteBack_ > aNow || change_.has_value()) {
    return;
  }
  nextWriteBack_ = aNow + kWriteBackInterval;
  ++counts_.writeBacks_;
  aActions.emplace_back(
    WriteConfigurationRow{ aRevision, ToJson(held_), false });
}

void
ConfigurationVersion::Private::CompareRow(Actions& aActions,
                                          const TableRow& aRow,
                                          Instant aNow)
{
  const bool absent = aRow.revision_ == 0;
  const std::optional<ConfigurationRecord> record =
    absent ? ConfigurationRecord{} : ReadRecord(aRow.value_);
  const bool isNewRevision = alarmedRevision_ != aRow.revision_;
  if (!record.has_value()) {
    if (isNewRevision) {
      alarmedRevision_ = aRow.revision_;
      ++counts_.invalidRows_;
      aActions.emplace_back(RaiseConfigurationAlarm{
        "configuration-invalid",
        "the table's row at revision " + std::to_string(aRow.revision_) +
          " is not a valid configuration; version " + std::to_string(Held()) +
          " stays in force" });
    }
    return;
  }
  const std::uint64_t version = record->configuration_.version_;
  if (version > Held()) {
    Apply(aActions, *record, "table");
    return;
  }
  if (version == Held()) {
    if (isNewRevision &&
        !SameText(record->configuration_, held_.configuration_)) {
      alarmedRevision_ = aRow.revision_;
      ++counts_.forks_;
      aActions.emplace_back(RaiseConfigurationAlarm{
        "configuration-fork",
        "the table holds another configuration of version " +
          std::to_string(version) +
          "; submit a configuration with a higher version to replace both" });
    }
    return;
  }
  // The table was restored from a backup or returns stale data. Applying the
  // row would revert a change that was confirmed to an operator.
  if (isNewRevision) {
    alarmedRevision_ = aRow.revision_;
    ++counts_.regressions_;
    aActions.emplace_back(RaiseConfigurationAlarm{
      "configuration-regression",
      "the table answers with version " + std::to_string(version) +
        "; version " + std::to_string(Held()) + " stays in force" });
  }
  WriteBack(aActions, aRow.revision_, aNow);
}

std::optional<std::pair<int, std::string>>
ConfigurationVersion::Private::ReasonToRefuse(
  const Result<Configuration>& aParsed,
  Instant aNow) const
{
  if (const auto* failure = std::get_if<Failure>(&aParsed)) {
    return std::pair(kBadRequest, failure->message_);
  }
  if (change_.has_value()) {
    return std::pair(kConflict,
                     "Another change is being written through this entry; "
                     "look at its outcome first.");
  }
  const std::uint64_t elsewhere = KnownPeerVersion(aNow);
  if (elsewhere > Held()) {
    return std::pair(kUnavailable,
                     "Version " + std::to_string(elsewhere) +
                       " is in force elsewhere and is being fetched; the "
                       "change was not made.");
  }
  const std::uint64_t version = std::get<Configuration>(aParsed).version_;
  if (rowKnown_ && version != Held() + 1) {
    return std::pair(kConflict, WrongVersionMessage());
  }
  return std::nullopt;
}

std::string
ConfigurationVersion::Private::WrongVersionMessage() const
{
  return "The version must be " + std::to_string(Held() + 1) +
         "; another operator may have changed the configuration. The change "
         "was not made.";
}

/** Sends a change that was received before the table's first answer if its
 * version is the next one, and refuses the change otherwise. */
void
ConfigurationVersion::Private::BeginChange(Actions& aActions)
{
  if (!change_.has_value() || change_->sent_) {
    return;
  }
  if (change_->record_.configuration_.version_ != Held() + 1) {
    Answer(aActions, kConflict, WrongVersionMessage());
    return;
  }
  change_->revision_ = revision_;
  WriteChange(aActions);
}

void
ConfigurationVersion::Private::OnChangeWritten(Actions& aActions,
                                               const TableOutcome& aOutcome,
                                               Instant aNow)
{
  const TableRow row =
    aOutcome.rows_.empty() ? TableRow{} : aOutcome.rows_.front();
  rowKnown_ = true;
  revision_ = row.revision_;
  if (aOutcome.applied_) {
    Apply(aActions, change_->record_, "operator");
    Answer(aActions, kOk, {});
    return;
  }
  const std::optional<ConfigurationRecord> found =
    row.revision_ == 0 ? std::nullopt : ReadRecord(row.value_);
  const std::uint64_t mine = change_->record_.configuration_.version_;
  // An earlier attempt of this write took effect and its answer was lost. A row
  // without a nonce was written back by an entry that received it from a peer.
  const bool own =
    found.has_value() &&
    (found->nonce_ == change_->record_.nonce_ ||
     (found->nonce_.empty() &&
      SameText(found->configuration_, change_->record_.configuration_)));
  if (own) {
    if (mine > Held()) {
      Apply(aActions, *found, "operator");
    }
    Answer(aActions, kOk, {});
    return;
  }
  if (found.has_value() && found->configuration_.version_ >= mine) {
    Answer(aActions,
           kConflict,
           "Another operator changed the configuration to version " +
             std::to_string(found->configuration_.version_) +
             " first. The change was not made.");
    CompareRow(aActions, row, aNow);
    return;
  }
  // The revision came from a stale read, but the row's version is still lower.
  // A later tick retries the write rather than this function, so that a table
  // that keeps returning stale data is not flooded with writes.
  change_->revision_ = row.revision_;
}

ConfigurationVersion::ConfigurationVersion()
  : private_(std::make_unique<Private>())
{
}

ConfigurationVersion::~ConfigurationVersion() = default;

ConfigurationVersion::Actions
ConfigurationVersion::OnTick(Instant aNow)
{
  Actions actions;
  Private& self = *private_;
  if (self.change_.has_value() && self.change_->sent_ &&
      !self.change_->writing_) {
    if (self.change_->deadline_ <= aNow) {
      self.Answer(actions,
                  kUnavailable,
                  "The table service gave no answer, so the change may or may "
                  "not have been made; look at the configuration before you "
                  "try again.");
    } else if (self.change_->nextWrite_ <= aNow) {
      self.WriteChange(actions);
    }
  }
  if (!self.reading_ && self.nextRead_ <= aNow) {
    self.reading_ = true;
    self.nextRead_ = aNow + kReadInterval;
    actions.emplace_back(ReadConfigurationRow{});
  }
  const bool needsPeers = self.KnownPeerVersion(aNow) > self.Held() ||
                          (self.Held() == 0 && !self.rowKnown_);
  if (needsPeers && self.nextPeerRequest_ <= aNow) {
    self.nextPeerRequest_ = aNow + kReadInterval;
    actions.emplace_back(AskPeersForConfiguration{});
  }
  return actions;
}

ConfigurationVersion::Actions
ConfigurationVersion::OnRow(const TableRow& aRow, Instant aNow)
{
  Actions actions;
  Private& self = *private_;
  self.reading_ = false;
  self.rowKnown_ = true;
  self.revision_ = aRow.revision_;
  self.CompareRow(actions, aRow, aNow);
  self.BeginChange(actions);
  return actions;
}

ConfigurationVersion::Actions
ConfigurationVersion::OnReadFailed(Instant)
{
  Actions actions;
  Private& self = *private_;
  self.reading_ = false;
  if (self.change_.has_value() && !self.change_->sent_) {
    self.Answer(actions,
                kUnavailable,
                "The table service does not answer, so the configuration in "
                "force isn't known for certain; the change was not made.");
  }
  return actions;
}

ConfigurationVersion::Actions
ConfigurationVersion::OnPeerVersion(std::uint64_t aVersion, Instant aNow)
{
  Private& self = *private_;
  if (aVersion > self.Held()) {
    self.peerVersion_ = std::max(aVersion, self.KnownPeerVersion(aNow));
    self.peerVersionUntil_ = aNow + kPeerVersionTimeout;
  }
  return {};
}

ConfigurationVersion::Actions
ConfigurationVersion::OnPeerConfiguration(std::string_view aText, Instant)
{
  Actions actions;
  Result<Configuration> parsed = ParseConfiguration(aText);
  auto* configuration = std::get_if<Configuration>(&parsed);
  if (configuration == nullptr || configuration->version_ <= private_->Held()) {
    return actions;
  }
  ConfigurationRecord record;
  record.configuration_ = std::move(*configuration);
  private_->Apply(actions, std::move(record), "peer");
  return actions;
}

ConfigurationVersion::Actions
ConfigurationVersion::OnChange(const std::string& aNonce,
                               std::string_view aText,
                               Instant aNow)
{
  Actions actions;
  Private& self = *private_;
  Result<Configuration> parsed = ParseConfiguration(aText);
  auto refusal = self.ReasonToRefuse(parsed, aNow);
  if (refusal.has_value()) {
    actions.emplace_back(AnswerConfigurationChange{
      aNonce, refusal->first, std::move(refusal->second) });
    return actions;
  }
  Change change;
  change.record_.nonce_ = aNonce;
  change.record_.configuration_ = std::move(std::get<Configuration>(parsed));
  change.deadline_ = aNow + kChangeTimeout;
  self.change_ = std::move(change);
  if (self.rowKnown_) {
    self.BeginChange(actions);
  }
  return actions;
}

ConfigurationVersion::Actions
ConfigurationVersion::OnWritten(const WriteConfigurationRow& aWrite,
                                const Result<TableOutcome>& aResult,
                                Instant aNow)
{
  Actions actions;
  Private& self = *private_;
  const auto* outcome = std::get_if<TableOutcome>(&aResult);
  if (!aWrite.isChange_) {
    if (outcome != nullptr && !outcome->applied_ && !outcome->rows_.empty()) {
      self.revision_ = outcome->rows_.front().revision_;
      self.CompareRow(actions, outcome->rows_.front(), aNow);
    }
    return actions;
  }
  if (!self.change_.has_value()) {
    return actions;
  }
  self.change_->writing_ = false;
  self.change_->nextWrite_ = aNow + kRewriteDelay;
  if (outcome == nullptr) {
    // A later tick sends the same write again; its condition holds at most
    // once.
    return actions;
  }
  self.OnChangeWritten(actions, *outcome, aNow);
  return actions;
}

const Configuration&
ConfigurationVersion::InForce() const
{
  return private_->held_.configuration_;
}

const ConfigurationCounts&
ConfigurationVersion::Counts() const
{
  return private_->counts_;
}

}
