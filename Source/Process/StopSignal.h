#pragma once

#include <QObject>

#include <memory>

namespace cactusrail {

/**
 * Converts SIGTERM, SIGINT and SIGHUP into Qt signals in the thread of the
 * event loop. One instance per process, owned by main. The handlers are
 * installed on construction, so that a signal during start-up is not lost.
 */
class StopSignal : public QObject
{
  Q_OBJECT

public:
  StopSignal();
  ~StopSignal() override;

Q_SIGNALS:
  /** Emitted on each SIGTERM or SIGINT; aCount is 1 for the first one. */
  void Arrived(int aCount);
  /** Emitted on SIGHUP, to reload settings that need no restart. */
  void ReloadRequested();

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
