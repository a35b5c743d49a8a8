#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cactusrail {

/** Counts of requests and their outcomes in one or more sessions. */
struct SessionCounts
{
  std::uint64_t sent_ = 0;
  std::uint64_t run_ = 0;
  std::uint64_t answered_ = 0;
  std::uint64_t notRun_ = 0;
  std::uint64_t mayHaveRun_ = 0;
  /** Requests without an answer because the entry died or the caller hung up.
   */
  std::uint64_t unanswered_ = 0;
  std::uint64_t ranTwice_ = 0;
  std::uint64_t falseNotRun_ = 0;
  std::uint64_t explainedUnknown_ = 0;
  std::uint64_t tableWrites_ = 0;
  /** Requests that needed a claim. */
  std::uint64_t atMostOnce_ = 0;

  SessionCounts& operator+=(const SessionCounts& aOther);
  std::string Text() const;
};

/**
 * Entries, sides, upstreams, callers and the table service of one session, on a
 * virtual clock and network. The entries and sides use the EntryCore and the
 * SideCore of the daemons. A script has one event per line: the time in
 * milliseconds, a verb and its arguments. VirtualCluster.cxx lists the verbs.
 */
class VirtualCluster
{
public:
  /** A session without a transcript runs faster. */
  explicit VirtualCluster(bool aKeepTranscript);
  ~VirtualCluster();

  /** Runs the complete script; may be called once. */
  void Run(std::string_view aScript);

  const std::string& Transcript() const;
  const SessionCounts& Counts() const;

  /** Violated guarantees, a complete sentence each; empty if there are none. */
  const std::vector<std::string>& Broken() const;

  /**
   * Times in milliseconds, by the way in which an upstream leaves: from the
   * start of the leave to the last new dispatch that the side accepted and the
   * upstream ran; 0 if there was none.
   */
  const std::map<std::string, std::vector<std::int64_t>>& LeavingMillis() const;

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
