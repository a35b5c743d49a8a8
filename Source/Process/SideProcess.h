#pragma once

#include "Process/SideSettings.h"
#include "Request/Failure.h"

#include <functional>
#include <memory>

namespace cactusrail {

/**
 * Process of a side, which runs beside one upstream. Receives the upstream's
 * announcements, sends heartbeats to every entry, and dispatches attempts to
 * the upstream. Single-threaded; SideCore makes all decisions. Owned by main.
 */
class SideProcess
{
public:
  static Result<std::unique_ptr<SideProcess>> Start(
    const SideSettings& aSettings);
  ~SideProcess();

  /** Begins a planned stop; calls back when the stop is complete or has timed
   * out. */
  void Stop(std::function<void()> aDone);

  /** Returns the bound addresses for operators and scripts: "link=IP:PORT ...".
   */
  std::string Describe() const;

private:
  class Private;
  explicit SideProcess(std::unique_ptr<Private> aPrivate);
  std::unique_ptr<Private> private_;
};

}
