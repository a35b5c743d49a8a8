#pragma once

#include <QObject>

#include <memory>

namespace cactusrail {

/**
 * Turns SIGTERM, SIGINT and SIGHUP into Qt signals, in the thread of the event
 * loop. One a process, owned by main. It works from its construction on, so a
 * signal during start-up is not lost.
 */
class StopSignal : public QObject
{
  Q_OBJECT

public:
  StopSignal();
  ~StopSignal() override;

Q_SIGNALS:
  /** aCount is 1 for the first signal, 2 for the second... */
  void Arrived(int aCount);
  /** SIGHUP: read the settings that can change without a restart. */
  void ReloadAsked();

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
