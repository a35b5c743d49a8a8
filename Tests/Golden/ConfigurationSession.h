#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace cactusrail {

/**
 * Runs entries with the daemons' ConfigurationVersion on a virtual clock, with
 * a table service whose faults a script controls. A script has one command per
 * line; "#" starts a comment:
 *
 *   start ENTRY               starts the process without any state
 *   kill ENTRY
 *   run MS                    advances time in ticks of 100 ms
 *   put ENTRY NAME VERSION    submits an operator's change; NAME is its tenant
 *   put-bad ENTRY VERSION     submits an invalid change
 *   table up|down             down: calls fail, nothing is applied
 *   table lose-answers        writes take effect, their answers fail
 *   table delay-writes        writes are delayed and get no answer
 *   table release             applies the delayed writes, without an answer
 *   table remember|restore    saves a copy of the row, restores the copy
 *   table past|present        reads return the copy, or the row
 *   table corrupt             makes the row unreadable
 *   peer FROM TO              TO receives FROM's version; asks if it is higher
 *   cut|heal                  disconnects the entries, connects them again
 *   check                     prints each entry's configuration in force
 *
 * Broken promises are collected: a version in force that decreased, or an
 * accepted change that an entry lacks at a check.
 */
class ConfigurationSession
{
public:
  ConfigurationSession();
  ~ConfigurationSession();

  void Run(std::string_view aScript);

  const std::string& Transcript() const;
  /** Returns the broken promises, one per line; empty if none. */
  const std::string& Broken() const;

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
