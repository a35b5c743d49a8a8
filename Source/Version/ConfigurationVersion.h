#pragma once

#include "Process/Instant.h"
#include "Request/Failure.h"
#include "Version/Configuration.h"
#include "Version/TableRows.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cactusrail {

/** What the row "config/current" holds. */
struct ConfigurationRecord
{
  /** Of the change that wrote it: tells one's own write from an equal one. */
  std::string nonce_;
  Configuration configuration_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("nonce", nonce_),
       cereal::make_nvp("configuration", configuration_));
  }
};

/** Read the row "config/current". */
struct ReadConfigurationRow
{};

/** Ask entries and sides that may hold a higher version. */
struct AskPeersForConfiguration
{};

/** Write the row if it is still at the revision (0: absent). */
struct WriteConfigurationRow
{
  std::uint64_t revision_ = 0;
  std::string value_;
  /** An operator's change, or the return of a version that the table lost. */
  bool isChange_ = false;
};

/** Put the configuration in force in this process. */
struct TakeConfiguration
{
  std::shared_ptr<const Configuration> configuration_;
  /** "table", "peer" or "operator". */
  std::string source_;
};

/** The one answer to an operator's change. */
struct AnswerConfigurationChange
{
  std::string nonce_;
  int status_ = 0;
  /** Whole sentence; empty if the change was accepted. */
  std::string message_;
};

/** Something that operators should look at: one line, and a count. */
struct RaiseConfigurationAlarm
{
  std::string event_;
  std::string detail_;
};

using ConfigurationAction = std::variant<ReadConfigurationRow,
                                         AskPeersForConfiguration,
                                         WriteConfigurationRow,
                                         TakeConfiguration,
                                         AnswerConfigurationChange,
                                         RaiseConfigurationAlarm>;

/** Counts since the process began, for the metrics page. */
struct ConfigurationCounts
{
  /** The table answered with less than is in force. */
  std::uint64_t regressions_ = 0;
  std::uint64_t writeBacks_ = 0;
  /** Two configurations bear the same version. */
  std::uint64_t forks_ = 0;
  std::uint64_t invalidRows_ = 0;
};

/**
 * Decides which configuration is in force in an entry and how changes are
 * accepted. Pure: facts and an Instant in, actions out.
 *
 * - The highest version seen wins, wherever it comes from; nothing lower is
 *   ever taken. A table that answers from the past or was restored is noticed,
 *   and the higher version is written back on condition of the row's revision,
 *   so that a merely stale answer overwrites nothing.
 * - A change is accepted by one conditional write of the next version. If the
 *   answer is lost the same write is sent again: its condition holds at most
 *   once, and the nonce in the row says whose write it was.
 * - A change is not taken while a higher version is known to exist elsewhere,
 *   or while nothing is known of the one in force.
 *
 * One an entry, used in one thread.
 */
class ConfigurationVersion
{
public:
  using Actions = std::vector<ConfigurationAction>;

  ConfigurationVersion();
  ~ConfigurationVersion();

  /** Call at least every second. */
  Actions OnTick(Instant aNow);

  /** The row as read; a revision of 0 means that there is none. */
  Actions OnRow(const TableRow& aRow, Instant aNow);
  Actions OnReadFailed(Instant aNow);

  /** A peer says which version it holds. */
  Actions OnPeerVersion(std::uint64_t aVersion, Instant aNow);

  /** A peer's configuration, as ConfigurationText() writes it. */
  Actions OnPeerConfiguration(std::string_view aText, Instant aNow);

  /** An operator's change; the nonce is unique and is the answer's name. */
  Actions OnChange(const std::string& aNonce,
                   std::string_view aText,
                   Instant aNow);

  /** The end of a WriteConfigurationRow. */
  Actions OnWritten(const WriteConfigurationRow& aWrite,
                    const Result<TableOutcome>& aResult,
                    Instant aNow);

  const Configuration& InForce() const;
  const ConfigurationCounts& Counts() const;

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
