#pragma once

#include "Request/Failure.h"
#include "Version/Configuration.h"
#include "Version/Instant.h"
#include "Version/TableRows.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cactusrail {

/** Value of the row "config/current". */
struct ConfigurationRecord
{
  /** Nonce of the change that wrote the row. Distinguishes a writer's own write
   * from an equal write of another entry. */
  std::string nonce_;
  Configuration configuration_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("nonce", nonce_),
       cereal::make_nvp("configuration", configuration_));
  }
};

/** Requests a read of the row "config/current". */
struct ReadConfigurationRow
{};

/** Requests the configuration from entries and sides, which may hold a higher
 * version. */
struct AskPeersForConfiguration
{};

/** Requests a write of the row, conditional on its revision (0: absent). */
struct WriteConfigurationRow
{
  std::uint64_t revision_ = 0;
  std::string value_;
  /** True for an operator's change; false for the write-back of a version that
   * the table lost. */
  bool isChange_ = false;
};

/** Puts the configuration in force in this process. */
struct SetConfiguration
{
  std::shared_ptr<const Configuration> configuration_;
  /** "table", "peer" or "operator". */
  std::string source_;
};

/** The single response to an operator's change. */
struct AnswerConfigurationChange
{
  std::string nonce_;
  int status_ = 0;
  /** A whole sentence; empty if the change was accepted. */
  std::string message_;
};

/** An alarm for operators: one log line and a count. */
struct RaiseConfigurationAlarm
{
  std::string event_;
  std::string detail_;
};

using ConfigurationAction = std::variant<ReadConfigurationRow,
                                         AskPeersForConfiguration,
                                         WriteConfigurationRow,
                                         SetConfiguration,
                                         AnswerConfigurationChange,
                                         RaiseConfigurationAlarm>;

/** Counters since the start of the process, for the metrics page. */
struct ConfigurationCounts
{
  /** Number of reads that returned a version lower than the one in force. */
  std::uint64_t regressions_ = 0;
  std::uint64_t writeBacks_ = 0;
  /** Number of conflicts between two configurations with the same version. */
  std::uint64_t forks_ = 0;
  std::uint64_t invalidRows_ = 0;
};

/**
 * Decides which configuration is in force in an entry and how changes are
 * accepted. Performs no I/O: takes events and an Instant, returns actions.
 *
 * - The highest version received wins, whatever its source; a lower version is
 *   never applied. A table that returns stale data or was restored is detected,
 *   and the higher version is written back on condition of the row's revision,
 *   so that a stale read does not cause an overwrite.
 * - A change is accepted by one conditional write of the next version. If the
 *   answer is lost, the same write is sent again: its condition holds at most
 *   once, and the nonce in the row identifies the writer.
 * - A change is refused while a higher version is known to exist elsewhere, or
 *   while the version in force is unknown.
 *
 * One instance per entry; not thread-safe.
 */
class ConfigurationVersion
{
public:
  using Actions = std::vector<ConfigurationAction>;

  ConfigurationVersion();
  ~ConfigurationVersion();

  /** Call at least every second. */
  Actions OnTick(Instant aNow);

  /** Processes the row as read; revision 0 means that it is absent. */
  Actions OnRow(const TableRow& aRow, Instant aNow);
  Actions OnReadFailed(Instant aNow);

  /** Processes a peer's report of its version. */
  Actions OnPeerVersion(std::uint64_t aVersion, Instant aNow);

  /** Processes a peer's configuration, as written by ConfigurationText(). */
  Actions OnPeerConfiguration(std::string_view aText, Instant aNow);

  /** Processes an operator's change; the nonce is unique and identifies the
   * response. */
  Actions OnChange(const std::string& aNonce,
                   std::string_view aText,
                   Instant aNow);

  /** Processes the result of a WriteConfigurationRow. */
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
