#include "Bench.h"
#include "RawCaller.h"

#include "Connection/Codec.h"

#include <QUdpSocket>

#include <criterion/criterion.h>

using namespace cactusrail;

namespace {

constexpr const char* kKeyHeader = "Authorization: Bearer bench-key\r\n";
/** Limit on the growth of a process's memory while it rejects bad input. */
constexpr std::size_t kGrowthKilobytes = 48U << 10U;

std::string
GoodRequest(const std::string& aMark, const std::string& aQuery)
{
  return "GET /s/once/work?" + aQuery + " HTTP/1.1\r\nHost: x\r\n" +
         kKeyHeader + "X-Mark: " + aMark + "\r\n\r\n";
}

/** Returns invalid frames, keyed by a description of the fault. */
std::vector<std::pair<std::string, std::string>>
BadFrames()
{
  const std::string good = EncodeFrame(CancelMessage{ "attempt" });
  std::string future = good;
  future[4] = 99;
  std::string absurd = good;
  absurd[3] = 0x7f;
  std::string innerLength = good;
  innerLength[kFrameHeaderBytes + 8] = 0x7f;
  std::string unknownType = good;
  unknownType[6] = 77;
  std::string tooShort = good;
  tooShort[0] = 3;
  return {
    { "future version", future },
    { "absurd length", absurd },
    { "inner length", innerLength },
    { "unknown type", unknownType },
    { "length below the header", tooShort },
    { "not ours", "GET / HTTP/1.1\r\nHost: x\r\n\r\n" },
  };
}

std::string
Body(const Result<HttpReply>& aResult)
{
  const auto* reply = std::get_if<HttpReply>(&aResult);
  return reply == nullptr ? "" : reply->body_;
}

}

// Guards against malformed or ambiguous HTTP from a broken or hostile client.
// The entry must refuse it with "did not run"; requests of other callers must
// not be affected, and the entry's memory must not grow.
Test(BadInput, MalformedHttpIsRefusedAndOthersUnharmed)
{
  struct Case
  {
    const char* name_;
    std::string bytes_;
    const char* status_;
  };
  const std::string post = "POST /s/once/work HTTP/1.1\r\nHost: x\r\n";
  const std::vector<Case> cases{
    { "garbage", "\x01\x02\x03 nonsense\r\n\r\n", "HTTP/1.1 400" },
    { "no version", "GET /s/once/work\r\n\r\n", "HTTP/1.1 400" },
    { "future version", "GET / HTTP/3.0\r\n\r\n", "HTTP/1.1 400" },
    { "two lengths",
      post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
      "HTTP/1.1 400" },
    { "length no number", post + "Content-Length: x\r\n\r\n", "HTTP/1.1 400" },
    { "negative length", post + "Content-Length: -1\r\n\r\n", "HTTP/1.1 400" },
    { "endless length",
      post + "Content-Length: 99999999999999999999999\r\n\r\n",
      "HTTP/1.1 400" },
    { "chunked",
      post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
      "HTTP/1.1 400" },
    { "folded header", post + " folded: x\r\n\r\n", "HTTP/1.1 400" },
    { "endless head",
      "GET /" + std::string(200000, 'x') + " HTTP/1.1\r\n\r\n",
      "HTTP/1.1 431" },
    { "endless header",
      post + "X-Long: " + std::string(200000, 'x') + "\r\n\r\n",
      "HTTP/1.1 431" },
    { "body of 3 GB",
      post + "Content-Length: 3221225472\r\n\r\n" + std::string(4U << 20U, 'x'),
      "HTTP/1.1 413" },
    { "key of nobody",
      "GET /s/once/work HTTP/1.1\r\nAuthorization: Bearer x\r\n\r\n",
      "HTTP/1.1 401" },
    { "no service",
      std::string("GET /s/none HTTP/1.1\r\n") + kKeyHeader + "\r\n",
      "HTTP/1.1 404" },
  };
  Bench bench;
  bench.StartUsual(1, 1);
  const std::size_t before = bench["entry1"].ResidentKilobytes();
  for (const char* address : { "http", "operators" }) {
    for (const Case& bad : cases) {
      RawCaller caller(bench["entry1"].Value(address));
      caller.Send(bad.bytes_);
      const bool ofEntry = std::string(address) == "http";
      caller.WaitFor(ofEntry ? bad.status_ : "HTTP/1.1 4");
      cr_assert(!ofEntry ||
                  caller.Received().find("did not run") != std::string::npos,
                "%s: %s",
                bad.name_,
                caller.Received().c_str());
      cr_assert(bench.SendAndWait("entry1").status_ == 200,
                "A valid request failed after: %s",
                bad.name_);
    }
  }
  const std::size_t after = bench["entry1"].ResidentKilobytes();
  cr_assert(after < before + kGrowthKilobytes,
            "The memory grew from %zu to %zu kB",
            before,
            after);
  bench.VerifyOutcomes("malformed-http", "entry1");
}

// Guards against slow clients that hold connections open with incomplete
// requests or by sending single bytes. The entry must answer 408 when the time
// limit of a request expires, even if bytes keep arriving, and serve other
// requests meanwhile.
Test(BadInput, SlowAndHalfSentRequestsTimeOut)
{
  Bench bench;
  bench.StartPlatform();
  bench.StartEntry("entry1", "receive-timeout-ms = 400\n");
  bench.StartRunner("side1");
  bench.Configure("entry1");
  bench.WaitForSide("entry1", "side1");
  const std::string address = bench["entry1"].Value("http");
  RawCaller halfHead(address);
  halfHead.Send("POST /s/once/work HTTP/1.1\r\nHos");
  RawCaller halfBody(address);
  halfBody.Send("POST /s/once/work HTTP/1.1\r\nContent-Length: 100\r\n\r\nabc");
  RawCaller dripped(address);
  WaitUntil(
    [&dripped] {
      if (!dripped.Closed()) {
        dripped.Send("G");
      }
      return dripped.Received().find("408") != std::string::npos;
    },
    "408 to a dripped request");
  cr_assert(bench.SendAndWait("entry1").status_ == 200);
  for (RawCaller* slow : { &halfHead, &halfBody }) {
    slow->WaitFor("408");
    slow->WaitForClose();
  }
  bench.VerifyOutcomes("slow-requests", "entry1");
}

// Guards against swapped answers on a pipelined connection. A balancer
// pipelines two callers' requests and the first one is slow; the library would
// send the second answer first, so that each caller would receive the other's
// answer.
Test(BadInput, PipelinedAnswersKeepTheirOrder)
{
  Bench bench;
  bench.StartUsual(1, 1);
  RawCaller caller(bench["entry1"].Value("http"));
  caller.Send(GoodRequest("first", "work=500"));
  WaitUntil([&bench] { return bench.RunsOf("first") == 1; },
            "the first request to begin");
  caller.Send(GoodRequest("second", "") + GoodRequest("third", ""));
  caller.WaitFor("served third ");
  const std::size_t first = caller.Received().find("served first ");
  const std::size_t second = caller.Received().find("served second ");
  const std::size_t third = caller.Received().find("served third ");
  cr_assert(first < second && second < third, "The answers are out of order.");
}

// Guards against a crash when callers repeatedly disconnect while a request is
// at the upstream or right after sending it. Writing such an answer once
// crashed the process and broke the connections of all other callers.
Test(BadInput, EntryOutlivesCallersThatHangUp)
{
  Bench bench;
  bench.StartUsual(1, 1);
  const std::string address = bench["entry1"].Value("http");
  for (int round = 0; round < 8; ++round) {
    const std::string mark = "gone" + std::to_string(round);
    RawCaller atWork(address);
    atWork.Send(GoodRequest(mark, "work=200"));
    WaitUntil([&bench, &mark] { return bench.RunsOf(mark) == 1; },
              "the upstream to begin");
    atWork.Abort();
    RawCaller atOnce(address);
    atOnce.Send(GoodRequest("atonce", "work=1"));
    atOnce.Abort();
    cr_assert(bench.SendAndWait("entry1").status_ == 200);
  }
  cr_assert(bench["entry1"].Running());
  cr_assert(bench["side1"].Running());
  bench.VerifyOutcomes("hang-ups", "entry1");
}

// Guards against invalid frames on a side's port, from a process of another
// version, an unrelated client or a faulty switch. The side must close and
// count the connection, allocate no memory for lengths that only a header
// claims, and keep serving entries.
Test(BadInput, BadFramesEndTheirConnectionOnly)
{
  Bench bench;
  bench.StartUsual(1, 1);
  const std::size_t before = bench["side1"].ResidentKilobytes();
  const std::string link = bench["side1"].Value("link");
  std::size_t broken = 0;
  for (const auto& [name, bytes] : BadFrames()) {
    RawCaller peer(link);
    peer.Send(bytes);
    peer.WaitForClose();
    ++broken;
    const CallRecord call = bench.SendAndWait("entry1");
    cr_assert(call.status_ == 200,
              "A valid request failed after a frame with: %s: %d %s %s",
              name.c_str(),
              call.status_,
              call.body_.c_str(),
              bench["side1"].Log().c_str());
  }
  RawCaller halfFrame(link);
  halfFrame.Send(EncodeFrame(CancelMessage{ "attempt" }).substr(0, 11));
  halfFrame.Abort();
  const std::string counters =
    "http://" + bench["side1"].Value("announce") + "/v1/counters";
  const std::string expected = "\"badLinks\":" + std::to_string(broken);
  WaitUntil(
    [&] {
      return Body(bench.Ask("GET", counters)).find(expected) !=
             std::string::npos;
    },
    "the side to count " + expected);
  cr_assert(bench["side1"].ResidentKilobytes() < before + kGrowthKilobytes);
  bench.VerifyOutcomes("bad-frames", "entry1");
}

// Guards against invalid datagrams at an entry and at a side. The test obtains
// the side's port by acting as one of its entries.
Test(BadInput, BadDatagramsAreDroppedAndCounted)
{
  Bench bench;
  bench.StartPlatform();
  bench.StartEntry("entry1");
  QUdpSocket fakeEntry;
  cr_assert(fakeEntry.bind(QHostAddress::LocalHost, 0));
  bench.StartSide(
    "side1", "", "127.0.0.1:" + std::to_string(fakeEntry.localPort()));
  bench.StartUpstream("side1");
  bench.Configure("entry1");
  bench.WaitForSide("entry1", "side1");
  WaitUntil([&fakeEntry] { return fakeEntry.hasPendingDatagrams(); },
            "a heartbeat of the side");
  QHostAddress sideAddress;
  quint16 sidePort = 0;
  char byte = 0;
  fakeEntry.readDatagram(&byte, 1, &sideAddress, &sidePort);
  const std::string membership = bench["entry1"].Value("membership");
  const auto entryPort = static_cast<quint16>(
    std::stoi(membership.substr(membership.rfind(':') + 1)));
  std::size_t sent = 0;
  std::vector<std::pair<std::string, std::string>> bad = BadFrames();
  bad.emplace_back("truncated",
                   EncodeFrame(CancelMessage{ "attempt" }).substr(0, 11));
  bad.emplace_back("oversized", std::string(1600, 'x'));
  bad.emplace_back("of a kind that is not sent by datagram",
                   EncodeFrame(HistoryRequestMessage{ "q", "r" }));
  for (const auto& [name, bytes] : bad) {
    const auto size = static_cast<qint64>(bytes.size());
    fakeEntry.writeDatagram(
      bytes.data(), size, QHostAddress::LocalHost, entryPort);
    fakeEntry.writeDatagram(bytes.data(), size, sideAddress, sidePort);
    ++sent;
  }
  const std::string expected = "\"badDatagrams\":" + std::to_string(sent);
  WaitUntil(
    [&] {
      return Body(bench.AskOperators("entry1", "/v1/counters"))
               .find(expected) != std::string::npos;
    },
    "the entry to count " + expected);
  const std::string counters =
    "http://" + bench["side1"].Value("announce") + "/v1/counters";
  WaitUntil(
    [&] {
      return Body(bench.Ask("GET", counters)).find(expected) !=
             std::string::npos;
    },
    "the side to count " + expected);
  cr_assert(bench.SendAndWait("entry1").status_ == 200);
  bench.VerifyOutcomes("bad-datagrams", "entry1");
}
