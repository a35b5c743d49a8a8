#include "Bench.h"
#include "RawCaller.h"
#include "Traffic.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <iostream>
#include <memory>

using namespace cactusrail;

// Guards against lost requests when an entry is stopped with slow requests open
// while the balancer still sends new ones on new and on kept-alive connections.
// Every request must be answered, and the balancer must stop using the entry
// before the entry stops listening.
Test(Stop, EntryCutsOffNoRequest)
{
  Bench bench;
  bench.StartUsual(2, 2);
  CallPlan slow;
  slow.query_ = "work=2500";
  for (int i = 0; i < 6; ++i) {
    bench.Send("entry1", slow);
  }
  RawCaller halfSent(bench["entry1"].Value("http"));
  halfSent.Send("POST /s/once/work HTTP/1.1\r\nAuthorization: Bearer "
                "bench-key\r\nX-Mark: half\r\nContent-Length: 6\r\n\r\nabc");
  Traffic traffic(bench, CallPlan{ .query_ = "work=20" });
  WaitUntil(
    [&] {
      traffic.Pump("entry1", 8);
      return bench.Runs().size() > 40;
    },
    "traffic");
  bench["entry1"].Signal(SIGTERM);
  // The balancer polls each entry's readiness and removes an entry only after
  // two negative answers, so requests continue to arrive until then.
  std::size_t noticed = 0;
  std::size_t lastRuns = 0;
  WaitUntil(
    [&] {
      traffic.Pump("entry1", 8);
      if (noticed == 0) {
        const auto ready = bench.AskOperators("entry1", "/readyz");
        const auto* reply = std::get_if<HttpReply>(&ready);
        noticed = reply != nullptr && reply->status_ == 503 ? 1 : 0;
        lastRuns = bench.Runs().size() + 60;
      }
      return noticed == 1 && bench.Runs().size() >= lastRuns;
    },
    "the balancer to notice");
  for (int i = 0; i < 40; ++i) {
    bench.Send("entry1", CallPlan{ .query_ = "work=20" });
  }
  WaitUntil([&] { return bench.RunsOf("m1") == 1; }, "the first slow call");
  halfSent.Send("def");
  halfSent.WaitFor("served half ");
  cr_assert(bench["entry1"].WaitForEnd() == 0);
  cr_assert(bench["entry1"].Log().find("stopped in-flight-left=0") !=
            std::string::npos);
  bench.WaitForCalls();
  const Tally tally = bench.VerifyOutcomes("stop-entry", "entry2");
  cr_assert(tally.unanswered_ == 0 && tally.mayHaveRun_ == 0,
            "%zu requests were not answered, %zu have an unknown outcome",
            tally.unanswered_,
            tally.mayHaveRun_);
  cr_assert(tally.notRun_ == 0, "%zu requests were refused", tally.notRun_);
}

// Guards against refused connections during a stop. A balancer polls readiness
// each second and removes an entry after two negative answers, two seconds and
// more after the stop began. The entry accepted connections for 1.5 s only;
// later callers got 'connection refused', 40 of 40 in a burst 1.53 s after the
// signal.
Test(Stop, EntryTakesCallersUntilTheBalancerHasHeardTwice)
{
  Bench bench;
  bench.StartUsual(2, 2);
  Traffic traffic(bench, CallPlan{ .query_ = "work=20" });
  WaitUntil(
    [&] {
      traffic.Pump("entry1", 4);
      return bench.Runs().size() > 20;
    },
    "traffic");
  constexpr Millis kProbe{ 1000 };
  Instant nextProbe = ReadMonotonicClock() + kProbe;
  bench["entry1"].Signal(SIGTERM);
  int negativeAnswers = 0;
  WaitUntil(
    [&] {
      traffic.Pump("entry1", 4);
      if (ReadMonotonicClock() >= nextProbe) {
        nextProbe += kProbe;
        const auto ready = bench.AskOperators("entry1", "/readyz");
        const auto* reply = std::get_if<HttpReply>(&ready);
        negativeAnswers += reply != nullptr && reply->status_ == 503 ? 1 : 0;
      }
      return negativeAnswers == 2 || !bench["entry1"].Running();
    },
    "the balancer to receive two negative answers");
  cr_assert(negativeAnswers == 2, "The entry ended before.");
  bench.WaitForCalls();
  cr_assert(bench["entry1"].WaitForEnd() == 0);
  const Tally tally = bench.VerifyOutcomes("stop-notice", "entry2");
  cr_assert(tally.unanswered_ == 0 && tally.mayHaveRun_ == 0,
            "%zu requests were not answered, %zu have an unknown outcome",
            tally.unanswered_,
            tally.mayHaveRun_);
  cr_assert(tally.notRun_ == 0, "%zu requests were refused", tally.notRun_);
}

// Guards against lost requests when a side is stopped while its upstream serves
// requests, more are queued, and entries that have not been notified yet send
// new ones. All must be answered; requests that the side refuses run elsewhere.
Test(Stop, SideCutsOffNoRequest)
{
  Bench bench;
  bench.StartUsual(2, 2);
  Traffic first(bench, CallPlan{ .query_ = "work=150" });
  Traffic second(bench, CallPlan{ .query_ = "work=150" });
  const auto pump = [&] {
    first.Pump("entry1", 5);
    second.Pump("entry2", 5);
  };
  WaitUntil(
    [&] {
      pump();
      return bench.Runs().size() > 30;
    },
    "traffic");
  // These requests take longer than the side's leaving phase. They are sent one
  // by one until some of them run on the side that stops.
  std::vector<std::size_t> slow;
  const auto onSide = [&] {
    return std::count_if(slow.begin(), slow.end(), [&](std::size_t aIndex) {
      return bench.RanAt("upstream-side1", bench.Call(aIndex).mark_);
    });
  };
  WaitUntil(
    [&] {
      pump();
      const bool allBegun =
        std::all_of(slow.begin(), slow.end(), [&](std::size_t aIndex) {
          return bench.RunsOf(bench.Call(aIndex).mark_) == 1;
        });
      if (allBegun) {
        slow.push_back(bench.Send("entry1", CallPlan{ .query_ = "work=2500" }));
      }
      return onSide() >= 2;
    },
    "slow requests on the side that stops");
  bench["side1"].Signal(SIGTERM);
  WaitUntil(
    [&] {
      pump();
      return !bench["side1"].Running();
    },
    "the side to end");
  cr_assert(bench["side1"].WaitForEnd() == 0);
  cr_assert(bench["side1"].Log().find("stopped in-flight-left=no") !=
            std::string::npos);
  bench.WaitForCalls();
  const Tally tally = bench.VerifyOutcomes("stop-side", "entry1");
  cr_assert(tally.unanswered_ == 0 && tally.mayHaveRun_ == 0,
            "%zu requests were not answered, %zu have an unknown outcome",
            tally.unanswered_,
            tally.mayHaveRun_);
}

// Guards against connection resets when an entry stops listening. Closing its
// socket would reset connections that wait in the accept queue with requests on
// them. Every connected caller must get an answer; the others are never
// connected, so their requests did not run.
Test(Stop, NoAcceptedConnectionIsReset)
{
  Bench bench;
  bench.StartUsual(1, 2);
  const std::string address = bench["entry1"].Value("http");
  const std::size_t colon = address.find(':');
  const auto port = static_cast<quint16>(std::stoi(address.substr(colon + 1)));
  bench["entry1"].Signal(SIGTERM);
  std::size_t tried = 0;
  std::size_t connected = 0;
  std::size_t answered = 0;
  std::size_t cut = 0;
  std::size_t open = 0;
  const auto start = [&] {
    auto* socket = new QTcpSocket(QCoreApplication::instance());
    ++tried;
    ++open;
    auto wasConnected = std::make_shared<bool>(false);
    auto ended = std::make_shared<bool>(false);
    QObject::connect(
      socket, &QTcpSocket::connected, socket, [&, socket, wasConnected] {
        ++connected;
        *wasConnected = true;
        socket->write("GET /s/once/work HTTP/1.1\r\nAuthorization: Bearer "
                      "bench-key\r\nX-Mark: x\r\nConnection: close\r\n\r\n");
      });
    const auto end = [&, socket, wasConnected, ended] {
      if (*ended) {
        return;
      }
      *ended = true;
      --open;
      // Also accepts 503, because more requests arrive at once than there are
      // slots.
      const QByteArray answer = socket->readAll();
      const bool whole =
        answer.startsWith("HTTP/1.1 200") ||
        (answer.startsWith("HTTP/1.1 503") && answer.contains("did not run"));
      answered += whole ? 1 : 0;
      cut += *wasConnected && !whole ? 1 : 0;
      socket->deleteLater();
    };
    QObject::connect(socket, &QTcpSocket::disconnected, socket, end);
    QObject::connect(socket, &QTcpSocket::errorOccurred, socket, end);
    socket->connectToHost(QHostAddress::LocalHost, port);
  };
  // Opens four connections per iteration to keep the accept queue filled.
  WaitUntil(
    [&] {
      for (int i = 0; i < 4 && open < 64; ++i) {
        start();
      }
      return !bench["entry1"].Running();
    },
    "the entry to end");
  WaitUntil([&] { return open == 0; }, "all connections to end");
  std::cerr << "connections at the stop: tried=" << tried
            << " connected=" << connected << " answered=" << answered
            << " cut=" << cut << std::endl;
  cr_assert(connected < tried, "The stop was over before it was tried.");
  cr_assert(connected > 0);
  cr_assert(cut == 0, "%zu connections were reset", cut);
  cr_assert(answered == connected);
}

// Guards against a stop without a time limit. The caller of a request that
// hangs at the upstream must receive "may have run", and the log must count the
// request.
Test(Stop, BoundEndsARequestThatHangs)
{
  Bench bench;
  bench.StartPlatform();
  bench.StartEntry("entry1", "stop-bound-ms = 2500\n");
  bench.StartRunner("side1");
  bench.Configure("entry1");
  bench.WaitForSide("entry1", "side1");
  const std::size_t hanging =
    bench.Send("entry1", CallPlan{ .query_ = "fail=hang" });
  WaitUntil([&] { return bench.RunsOf("m1") == 1; }, "the upstream to begin");
  bench["entry1"].Signal(SIGTERM);
  cr_assert(bench["entry1"].WaitForEnd() == 0);
  cr_assert(bench["entry1"].Log().find("stopped in-flight-left=1") !=
            std::string::npos);
  bench.WaitForCalls();
  cr_assert(bench.Call(hanging).verdictText_ == "may have run",
            "The verdict was '%s' with status %d",
            bench.Call(hanging).verdictText_.c_str(),
            bench.Call(hanging).status_);
}

// Guards against a stop that can't be cut short: a second signal must end the
// process at once.
Test(Stop, SecondSignalEndsAtOnce)
{
  Bench bench;
  bench.StartUsual(1, 1);
  bench.Send("entry1", CallPlan{ .query_ = "fail=hang" });
  WaitUntil([&] { return bench.RunsOf("m1") == 1; }, "the upstream to begin");
  for (const char* name : { "entry1", "side1" }) {
    bench[name].Signal(SIGTERM);
    WaitUntil(
      [&] { return bench[name].Log().find("stopping") != std::string::npos; },
      "the first signal to be handled");
    bench[name].Signal(SIGTERM);
    cr_assert(bench[name].WaitForEnd() == 1);
    cr_assert(bench[name].Log().find("stopped-at-once") != std::string::npos);
  }
  bench.WaitForCalls();
}

// Guards against crashes and hangs when a process is signalled during start-up.
// At any point of the start-up it must end by itself without a crash.
Test(Stop, SignalDuringStartUpEndsTheProcess)
{
  Bench bench;
  bench.StartPlatform();
  bench.StartEntry("entry1");
  const std::string settings = bench.SettingsPath("entry1");
  std::vector<std::unique_ptr<QProcess>> processes;
  for (int wait = 0; wait < 24; ++wait) {
    processes.push_back(std::make_unique<QProcess>());
    QProcess& process = *processes.back();
    process.start(CACTUSRAIL_PROGRAM,
                  { "entry", QString::fromStdString(settings) });
    cr_assert(process.waitForStarted());
    // A deliberate delay, not a wait for an event: each round hits another
    // point of the start-up.
    process.waitForReadyRead(wait * 2);
    ::kill(static_cast<pid_t>(process.processId()), SIGTERM);
  }
  for (const auto& started : processes) {
    QProcess& process = *started;
    WaitUntil([&] { return process.state() == QProcess::NotRunning; },
              "the process to end");
    const bool byDefault = process.exitStatus() == QProcess::CrashExit &&
                           process.exitCode() == SIGTERM;
    cr_assert(byDefault || process.exitCode() == 0,
              "a process ended with %d: %s",
              process.exitCode(),
              process.readAllStandardError().constData());
  }
}
