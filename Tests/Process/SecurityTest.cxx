#include "Bench.h"

#include "Connection/Codec.h"
#include "Connection/KeyRing.h"

#include <QTcpSocket>

#include <criterion/criterion.h>

#include <fstream>

using namespace cactusrail;

namespace {

const std::string kOld = "old:" + std::string(64, '1');
const std::string kNew = "new:" + std::string(64, '2');

std::string
KeySettings(const std::string& aKeys)
{
  return "[security]\nkeys = " + aKeys + "\n";
}

/** Sets the keys that this test uses as an operator. */
void
SetOperatorKeys(const std::string& aKeys)
{
  KeyHolder::OfProcess().Replace(std::get<KeyRing>(KeyRing::Parse(aKeys)));
}

int
StatusOf(const Result<HttpReply>& aResult)
{
  const auto* reply = std::get_if<HttpReply>(&aResult);
  return reply == nullptr ? 0 : reply->status_;
}

/** Returns the value of a counter on an entry's metrics page. */
std::uint64_t
CounterOf(Bench& aBench, const std::string& aEntry, const std::string& aName)
{
  const auto got = aBench.AskOperators(aEntry, "/metrics");
  const std::string& page = std::get<HttpReply>(got).body_;
  const std::size_t line = page.find("\ncactusrail_" + aName + "{");
  cr_assert(line != std::string::npos, "no %s", aName.c_str());
  return std::stoull(page.substr(page.find("} ", line) + 2));
}

}

// Guards against failed calls during a key rotation. Operators replace a leaked
// key on every host under load: all processes first accept the new key, then
// sign with it, then drop the old one. No call may fail, and at the end the old
// key must be rejected.
Test(Security, KeysChangeWithoutCuttingACall)
{
  Bench bench;
  SetOperatorKeys(kOld);
  bench.StartPlatform();
  bench.StartEntry("entry1", KeySettings(kOld));
  bench.StartSide("side1", KeySettings(kOld));
  bench.StartUpstream("side1", "once");
  bench.Configure("entry1");
  bench.WaitForSide("entry1", "side1");
  std::vector<std::size_t> calls;
  const auto callOn = [&] {
    CallPlan plan;
    plan.query_ = "work=300";
    calls.push_back(bench.Send("entry1", plan));
  };
  const std::string join = ",";
  std::string accepting = kOld + join;
  accepting += kNew;
  std::string signing = kNew + join;
  signing += kOld;
  for (const std::string& keys : { accepting, signing, kNew }) {
    callOn();
    bench.ReplaceKeys("entry1", keys);
    callOn();
    bench.ReplaceKeys("side1", keys);
    callOn();
  }
  bench.WaitForCalls();
  for (const std::size_t call : calls) {
    cr_assert(bench.Call(call).status_ == 200);
  }
  cr_assert(StatusOf(bench.AskOperators("entry1", "/v1/config")) == 401);
  SetOperatorKeys(kNew);
  cr_assert(StatusOf(bench.AskOperators("entry1", "/v1/config")) == 200);
  bench.WaitForSide("entry1", "side1");
  // Explain opens a new link to the side, under the new key.
  const auto steps =
    bench.Explain("entry1", bench.Call(calls.front()).requestId_);
  cr_assert(Bench::Conclude(steps) == Verdict::Ran);
}

// Guards against unsigned queries between entries in a deployment with keys.
// Such a query was refused, and an entry reported a request that another entry
// had served as unknown.
Test(Security, EntriesWithKeysExplainForEachOther)
{
  Bench bench;
  SetOperatorKeys(kOld);
  bench.StartPlatform();
  bench.StartEntry("entry1", KeySettings(kOld));
  bench.StartEntry("entry2", KeySettings(kOld));
  bench.StartSide("side1", KeySettings(kOld));
  bench.StartUpstream("side1", "once");
  bench.Configure("entry1");
  bench.WaitForSide("entry1", "side1");
  const std::string id = bench.SendAndWait("entry1", CallPlan{}).requestId_;
  WaitUntil(
    [&] {
      return Bench::Conclude(bench.Explain("entry2", id)) == Verdict::Ran;
    },
    "the other entry to explain it");
  cr_assert(CounterOf(bench, "entry1", "unauthentic_operators_total") == 0);
}

// Guards against unauthenticated access: an attacker who reaches the ports
// starts a side to receive requests, and requests the configuration from an
// entry to obtain the tenants.
Test(Security, AStrangersSideAndQuestionsAreRefusedAndCounted)
{
  Bench bench;
  SetOperatorKeys(kOld);
  bench.StartPlatform();
  bench.StartEntry("entry1", KeySettings(kOld));
  bench.StartSide("foreign", KeySettings(kNew));
  bench.StartSide("open");
  bench.StartSide("own", KeySettings(kOld));
  bench.StartUpstream("foreign", "once");
  bench.StartUpstream("open", "once");
  bench.StartUpstream("own", "once");
  bench.Configure("entry1");
  bench.WaitForSide("entry1", "own");
  WaitUntil(
    [&] {
      return CounterOf(bench, "entry1", "unauthentic_datagrams_total") > 10;
    },
    "the unauthenticated heartbeats to be counted");
  const auto sides = bench.AskOperators("entry1", "/v1/sides");
  const std::string& table = std::get<HttpReply>(sides).body_;
  cr_assert(table.find("foreign") == std::string::npos);
  cr_assert(table.find("open") == std::string::npos);

  SetOperatorKeys("");
  for (const char* page : { "/v1/config",
                            "/v1/sides",
                            "/metrics",
                            "/v1/explain?id=x",
                            "/no-such-page" }) {
    cr_assert(StatusOf(bench.AskOperators("entry1", page)) == 401, "%s", page);
  }
  cr_assert(StatusOf(bench.AskOperators("entry1", "/healthz")) == 200);
  SetOperatorKeys(kOld);
  cr_assert(CounterOf(bench, "entry1", "unauthentic_operators_total") == 5);
}

// Guards against unauthenticated links to a side's port that query a request's
// steps or send work as an entry would. The side must close such a link without
// answering, count it, and keep the entry's own link open.
Test(Security, AStrangersLinkIsCutOffAndCounted)
{
  Bench bench;
  SetOperatorKeys(kOld);
  bench.StartPlatform();
  bench.StartEntry("entry1", KeySettings(kOld));
  bench.StartSide("side1", KeySettings(kOld));
  bench.StartUpstream("side1", "once");
  bench.Configure("entry1");
  bench.WaitForSide("entry1", "side1");
  const std::string id = bench.SendAndWait("entry1").requestId_;
  const QString address = QString::fromStdString(bench["side1"].Value("link"));
  QTcpSocket stranger;
  stranger.connectToHost(address.section(':', 0, 0),
                         address.section(':', 1).toUShort());
  HistoryRequestMessage recall;
  recall.requestId_ = id;
  const std::string frame = EncodeFrame(recall);
  stranger.write(frame.data(), static_cast<qint64>(frame.size()));
  WaitUntil(
    [&] { return stranger.state() == QAbstractSocket::UnconnectedState; },
    "the side to close the unauthenticated link");
  cr_assert(stranger.bytesAvailable() == 0);
  const auto page =
    bench.Ask("GET", "http://" + bench["side1"].Value("announce") + "/metrics");
  cr_assert(std::get<HttpReply>(page).body_.find(
              "cactusrail_unauthentic_links_total{role=\"side\",process="
              "\"side1\"} 1\n") != std::string::npos);
  cr_assert(bench.SendAndWait("entry1").status_ == 200);
}

// Guards against a port that is open to the network without keys. A process
// with such settings must not start, and its exit code must report the error to
// the script that started it.
Test(Security, OpenPortsOnTheNetworkAreNotStarted)
{
  Bench bench;
  const QTemporaryDir folder;
  const QString path = folder.filePath("side.ini");
  std::ofstream(path.toStdString())
    << "[side]\nname = s\ndata-centre = d\nlisten = 0.0.0.0:0\n"
       "announce = 127.0.0.1:0\nentries = 127.0.0.1:7002\n";
  constexpr int kUsage = 2;
  cr_assert(QProcess::execute(CACTUSRAIL_PROGRAM, { "side", path }) == kUsage);
  cr_assert(QProcess::execute(CACTUSRAIL_PROGRAM,
                              { "config", "check", path }) == kUsage);
}
