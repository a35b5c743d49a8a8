#include "Process/StopSignal.h"

#include <QSocketNotifier>

#include <array>
#include <csignal>
#include <sys/socket.h>
#include <unistd.h>

namespace cactusrail {

namespace {

constexpr char kStop = 1;
constexpr char kReload = 2;

/** The signal handler writes to this descriptor, since write() is
 * async-signal-safe. */
int gWakeDescriptor = -1;

void
HandleSignal(int aSignal)
{
  const char byte = aSignal == SIGHUP ? kReload : kStop;
  const auto written = ::write(gWakeDescriptor, &byte, sizeof(byte));
  static_cast<void>(written);
}

}

class StopSignal::Private
{
public:
  std::array<int, 2> descriptors_{ -1, -1 };
  std::unique_ptr<QSocketNotifier> notifier_;
  int count_ = 0;
};

StopSignal::StopSignal()
  : private_(std::make_unique<Private>())
{
  ::socketpair(AF_UNIX,
               SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK,
               0,
               private_->descriptors_.data());
  gWakeDescriptor = private_->descriptors_[0];
  private_->notifier_ = std::make_unique<QSocketNotifier>(
    private_->descriptors_[1], QSocketNotifier::Read);
  connect(private_->notifier_.get(), &QSocketNotifier::activated, this, [this] {
    char byte = 0;
    while (::read(private_->descriptors_[1], &byte, sizeof(byte)) == 1) {
      if (byte == kReload) {
        Q_EMIT ReloadRequested();
        continue;
      }
      ++private_->count_;
      Q_EMIT Arrived(private_->count_);
    }
  });
  struct sigaction action
  {};
  action.sa_handler = HandleSignal;
  action.sa_flags = SA_RESTART;
  ::sigaction(SIGTERM, &action, nullptr);
  ::sigaction(SIGINT, &action, nullptr);
  ::sigaction(SIGHUP, &action, nullptr);
}

StopSignal::~StopSignal()
{
  std::signal(SIGTERM, SIG_DFL);
  std::signal(SIGINT, SIG_DFL);
  std::signal(SIGHUP, SIG_DFL);
  private_->notifier_.reset();
  gWakeDescriptor = -1;
  ::close(private_->descriptors_[0]);
  ::close(private_->descriptors_[1]);
}

}
