#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace cactusrail {

/**
 * Entries that decide on their configuration with the daemons' own
 * ConfigurationVersion, on a virtual clock, with a table that fails as told.
 * A script has one command a line; "#" starts a comment:
 *
 *   start ENTRY               the process begins, knowing nothing
 *   kill ENTRY
 *   run MS                    time passes in ticks of 100 ms
 *   put ENTRY NAME VERSION    an operator's change; NAME is its tenant
 *   put-bad ENTRY VERSION     a change that does not validate
 *   table up|down             down: calls fail, nothing is applied
 *   table lose-answers        writes take effect, their answers fail
 *   table delay-writes        writes wait ...
 *   table release             ... and are applied now, without an answer
 *   table remember|restore    keep a copy of the row, put it back
 *   table past|present        reads answer from the copy, or from the row
 *   table corrupt             the row becomes unreadable
 *   peer FROM TO              TO hears FROM's version, and asks if it is higher
 *   cut|heal                  entries hear each other no more, or again
 *   check                     prints what is in force everywhere
 *
 * After each line, broken promises are collected: a version in force that went
 * down, or a change that was accepted and is in force nowhere.
 */
class ConfigurationSession
{
public:
  ConfigurationSession();
  ~ConfigurationSession();

  void Run(std::string_view aScript);

  const std::string& Transcript() const;
  /** Promises that were broken, one a line; empty if none. */
  const std::string& Broken() const;

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
