#pragma once

#include "Process/EntrySettings.h"
#include "Request/Failure.h"

#include <functional>
#include <memory>
#include <string>

namespace cactusrail {

/**
 * Process of an entry: serves callers in lanes, receives heartbeats of sides
 * and serves operators. All entries have the same role and store no durable
 * state on their host. Owned by main.
 */
class EntryProcess
{
public:
  static Result<std::unique_ptr<EntryProcess>> Start(
    const EntrySettings& aSettings);
  ~EntryProcess();

  /** Begins a planned stop; calls back when the stop is complete or has timed
   * out. */
  void Stop(std::function<void()> aDone);

  /** Returns the bound addresses for operators and scripts. */
  std::string Describe() const;

private:
  class Private;
  explicit EntryProcess(std::unique_ptr<Private> aPrivate);
  std::unique_ptr<Private> private_;
};

}
