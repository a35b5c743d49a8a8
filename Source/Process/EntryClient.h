#pragma once

#include "Connection/HttpCaller.h"
#include "Process/CommandLine.h"
#include "Process/ExitCode.h"

#include <optional>
#include <string>
#include <vector>

namespace cactusrail {

/**
 * Sends an operator's requests to entries and waits for the responses. Requires
 * a QCoreApplication whose event loop is not running. Owned by a command.
 */
class EntryClient
{
public:
  /** Reads the entries and loads the key that the command line specifies. */
  static Result<EntryClient> Make(const CommandLine& aLine);

  /**
   * Calls the first reachable entry. After a failure, tries the next entry only
   * if the call had no effect: it was a GET, or it failed with the verdict "did
   * not run", for instance without a connection. A change is thus never sent
   * twice.
   */
  Result<HttpReply> Call(const std::string& aMethod,
                         const std::string& aTarget,
                         const std::string& aBody) const;

  /**
   * Like Call(), but prints a failure and any status other than 2xx to stderr.
   * Sets aCode to the exit code of the outcome.
   */
  std::optional<HttpReply> CallOrReport(const std::string& aMethod,
                                        const std::string& aTarget,
                                        const std::string& aBody,
                                        ExitCode& aCode) const;

private:
  std::vector<SocketAddress> entries_;
};

}
