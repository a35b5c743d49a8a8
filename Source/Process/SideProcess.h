#pragma once

#include "Process/SideSettings.h"
#include "Request/Failure.h"

#include <functional>
#include <memory>

namespace cactusrail {

/**
 * A side: the small process beside one upstream. It takes the upstream's
 * announcements, makes it known to every entry, and runs attempts at it. One
 * thread; all decisions are SideCore's. Owned by main.
 */
class SideProcess
{
public:
  static Result<std::unique_ptr<SideProcess>> Start(
    const SideSettings& aSettings);
  ~SideProcess();

  /** Begins a planned stop; calls back when nothing is in flight any more. */
  void Stop(std::function<void()> aDone);

  /** Addresses as taken, for people and scripts: "link=IP:PORT ...". */
  std::string Describe() const;

private:
  class Private;
  explicit SideProcess(std::unique_ptr<Private> aPrivate);
  std::unique_ptr<Private> private_;
};

}
