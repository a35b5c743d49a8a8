#pragma once

#include "Process/EntrySettings.h"
#include "Request/Failure.h"

#include <functional>
#include <memory>
#include <string>

namespace cactusrail {

/**
 * An entry: serves callers in lanes, hears sides, answers operators. All
 * entries are equal and keep nothing that must last. Owned by main.
 */
class EntryProcess
{
public:
  static Result<std::unique_ptr<EntryProcess>> Start(
    const EntrySettings& aSettings);
  ~EntryProcess();

  /** Begins a planned stop; calls back when every request is answered. */
  void Stop(std::function<void()> aDone);

  /** Addresses as taken, for people and scripts. */
  std::string Describe() const;

private:
  class Private;
  explicit EntryProcess(std::unique_ptr<Private> aPrivate);
  std::unique_ptr<Private> private_;
};

}
