#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cactusrail {

/** What became of the requests of one or many sessions. */
struct SessionCounts
{
  std::uint64_t sent_ = 0;
  std::uint64_t run_ = 0;
  std::uint64_t answered_ = 0;
  std::uint64_t notRun_ = 0;
  std::uint64_t mayHaveRun_ = 0;
  /** The entry died, or the caller hung up. */
  std::uint64_t untold_ = 0;
  std::uint64_t doubled_ = 0;
  std::uint64_t falseNotRun_ = 0;
  std::uint64_t explainedInDoubt_ = 0;
  std::uint64_t tableWrites_ = 0;
  /** Requests that needed a claim. */
  std::uint64_t atMostOnce_ = 0;

  SessionCounts& operator+=(const SessionCounts& aOther);
  std::string Text() const;
};

/**
 * Entries, sides, upstreams, callers and the table service of one session, on a
 * virtual clock and network. The entries and sides are the very EntryCore and
 * SideCore of the daemons. A script says what happens, one event a line:
 * milliseconds, a verb, its words. Verbs are listed in VirtualCluster.cxx.
 */
class VirtualCluster
{
public:
  /** Without a transcript a session runs faster. */
  explicit VirtualCluster(bool aKeepTranscript);
  ~VirtualCluster();

  /** Runs the whole script; call it once. */
  void Run(std::string_view aScript);

  const std::string& Transcript() const;
  const SessionCounts& Counts() const;

  /** Broken promises, a whole sentence each; empty if all held. */
  const std::vector<std::string>& Broken() const;

  /**
   * For each way to leave: from its begin to the last new dispatch that the
   * upstream's side still took and the upstream ran; 0 if there was none.
   */
  const std::map<std::string, std::vector<std::int64_t>>& LeavingMillis() const;

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
