#pragma once

#include "Connection/HttpCaller.h"
#include "Process/CommandLine.h"
#include "Process/ExitCode.h"

#include <optional>
#include <string>
#include <vector>

namespace cactusrail {

/**
 * Asks entries on behalf of an operator and waits for the answer. Needs a
 * QCoreApplication that runs no event loop yet. Owned by a command.
 */
class EntryClient
{
public:
  /** The entries and the key of a command line. */
  static Result<EntryClient> Make(const CommandLine& aLine);

  /**
   * Asks the first entry that can be reached. After a failure the next one is
   * asked only if the call can't have had an effect: it was a GET, or the
   * connection was never made. A change is thus never sent twice.
   */
  Result<HttpReply> Call(const std::string& aMethod,
                         const std::string& aTarget,
                         const std::string& aBody) const;

  /**
   * Call(), but any status other than 2xx is printed to stderr as well as a
   * failure. aCode gets the exit code that belongs to the outcome.
   */
  std::optional<HttpReply> CallOrReport(const std::string& aMethod,
                                        const std::string& aTarget,
                                        const std::string& aBody,
                                        ExitCode& aCode) const;

private:
  std::vector<SocketAddress> entries_;
};

}
