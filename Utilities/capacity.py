"""Measures the slopes that docs/CAPACITY.md rests on, with real processes.

Starts a few of our own processes and stand-ins on loopback, at several sizes,
and prints a table of figures as `name size value unit` lines, then straight
line fits with their residuals. Run by Utilities/capacity.sh; ends what it
started by process id. At most 200 processes at once.
"""

import glob
import http.client
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

PROGRAM = "build/release/Source/cactusrail"
STANDINS = "build/release/Tests/StandIns/standin-"
WINDOW_S = float(os.environ.get("CAPACITY_WINDOW_S", "6"))


class Process:
    """One process that was started here, with the addresses it printed."""

    def __init__(self, *command):
        self.popen = subprocess.Popen(
            command,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        self.addresses = {}
        for line in self.popen.stdout:
            if line.startswith("ready "):
                self.addresses = dict(re.findall(r"(\S+?)=(\S+)", line))
                break
        if not self.addresses:
            raise RuntimeError("did not start: " + " ".join(command))
        threading.Thread(target=self.drain, daemon=True).start()

    def drain(self):
        for _ in self.popen.stdout:
            pass

    def cpu_seconds(self):
        total = 0
        for path in glob.glob(f"/proc/{self.popen.pid}/task/*/schedstat"):
            with open(path) as file:
                total += int(file.read().split()[0])
        return total / 1e9

    def memory_mb(self):
        with open(f"/proc/{self.popen.pid}/status") as file:
            match = re.search(r"VmRSS:\s+(\d+) kB", file.read())
        return int(match.group(1)) / 1024

    def stop(self):
        self.popen.send_signal(signal.SIGKILL)
        self.popen.wait()


class Cluster:
    """Platform, entries, sides and one upstream that all sides announce."""

    def __init__(self, entries, sides, extra_membership=()):
        self.work = tempfile.TemporaryDirectory()
        self.platform = Process(STANDINS + "platform", "--listen", "127.0.0.1")
        self.entries = [self.start_entry(n) for n in range(entries)]
        membership = [e.addresses["membership"] for e in self.entries]
        membership += list(extra_membership)
        self.sides = [self.start_side(n, membership) for n in range(sides)]
        self.workers = []
        self.upstream = Process(
            STANDINS + "upstream", "--listen", "127.0.0.1", "--slots", "64"
        )
        self.running = True
        self.announcer = threading.Thread(target=self.announce, daemon=True)
        self.announcer.start()
        subprocess.run(
            ["Utilities/configure-demo.sh", PROGRAM]
            + [self.entries[0].addresses["operators"]],
            check=True,
        )

    def settings(self, name, text):
        path = os.path.join(self.work.name, name + ".ini")
        with open(path, "w") as file:
            file.write(text)
        return path

    def start_entry(self, number):
        return Process(
            PROGRAM,
            "entry",
            self.settings(
                f"entry{number}",
                f"[entry]\nname = entry{number}\ndata-centre = dc1\n"
                "listen = 127.0.0.1:0\noperators = 127.0.0.1:0\n"
                "membership = 127.0.0.1:0\n[platform]\n"
                f"table = {self.platform.addresses['http']}\n",
            ),
        )

    def start_side(self, number, membership):
        return Process(
            PROGRAM,
            "side",
            self.settings(
                f"side{number}",
                f"[side]\nname = side{number}\ndata-centre = dc1\n"
                "listen = 127.0.0.1:0\nannounce = 127.0.0.1:0\n"
                f"entries = {','.join(membership)}\n",
            ),
        )

    def start_worker(self, number):
        return Process(
            STANDINS + "worker",
            *("--listen", "127.0.0.1", "--id", f"worker{number}"),
            *("--table", self.platform.addresses["http"]),
            *("--data-centre", f"dc{number % 4}"),
            *("--rack", f"r{number // 18}"),
        )

    def announce(self):
        ip, port = self.upstream.addresses["http"].split(":")
        body = (
            '{"service":"pricing","labels":[],"address":"%s","port":%s,'
            '"slots":64,"incarnation":1}' % (ip, port)
        )
        while self.running:
            for side in self.sides:
                self.announce_once(side.addresses["announce"], body)
            time.sleep(1)

    @staticmethod
    def announce_once(address, body):
        connection = http.client.HTTPConnection(address, timeout=2)
        try:
            connection.request("POST", "/v1/announce", body)
            connection.getresponse().read()
        except OSError:
            pass
        finally:
            connection.close()

    def wait_usable(self):
        """Until the first entry counts every side as usable."""
        address = self.entries[0].addresses["operators"]
        for _ in range(600):
            connection = http.client.HTTPConnection(address, timeout=2)
            connection.request("GET", "/v1/sides")
            text = connection.getresponse().read().decode()
            connection.close()
            if text.count(" usable ") == len(self.sides):
                return
            time.sleep(0.05)
        raise RuntimeError("the sides did not become usable")

    def table_counts(self):
        connection = http.client.HTTPConnection(
            self.platform.addresses["http"], timeout=2
        )
        connection.request("GET", "/count")
        text = connection.getresponse().read().decode()
        connection.close()
        return [int(number) for number in re.findall(r"\d+", text)]

    def load(self, requests, method="GET"):
        subprocess.run(
            [STANDINS + "caller", "--requests", str(requests)]
            + ["--concurrency", "16", "--key", "demo-key", "--method", method]
            + (["--body", "lot"] if method == "POST" else [])
            + ["--url"]
            + [f"http://{self.entries[0].addresses['http']}/s/pricing/x"],
            check=True,
            stdout=subprocess.DEVNULL,
        )

    def stop(self):
        self.running = False
        self.announcer.join()
        processes = self.entries + self.sides + self.workers
        processes += [self.upstream, self.platform]
        for process in processes:
            process.stop()
        self.work.cleanup()


FIGURES = []


def report(name, size, value, unit):
    FIGURES.append((name, size, value))
    print(f"{name:32} {size:6} {value:12.4f} {unit}", flush=True)


def cpu_per_second(processes):
    """Processor seconds a second and process, over one window."""
    before = [process.cpu_seconds() for process in processes]
    time.sleep(WINDOW_S)
    spent = [p.cpu_seconds() - b for p, b in zip(processes, before)]
    return sum(spent) / len(spent) / WINDOW_S


def measure_sides(count):
    cluster = Cluster(entries=1, sides=count)
    try:
        cluster.wait_usable()
        time.sleep(1)
        before = cluster.table_counts()
        report("entry-idle-cpu", count, 100 * cpu_per_second(cluster.entries), "% of a core")
        after = cluster.table_counts()
        report("entry-idle-table-writes", count, (after[0] - before[0]) / WINDOW_S, "a second")
        report("entry-idle-table-reads", count, (after[1] - before[1]) / WINDOW_S, "a second")
        report("entry-memory", count, cluster.entries[0].memory_mb(), "MB")
    finally:
        cluster.stop()


def measure_workers(count):
    """What idle workers cost an entry and the table, 18 workers a rack."""
    cluster = Cluster(entries=2, sides=1)
    try:
        cluster.workers = [cluster.start_worker(n) for n in range(count)]
        time.sleep(8)
        before = cluster.table_counts()
        report("entry-cpu-by-workers", count, 100 * cpu_per_second(cluster.entries), "% of a core")
        after = cluster.table_counts()
        report("table-writes-by-workers", count, (after[0] - before[0]) / WINDOW_S, "a second")
        report("table-reads-by-workers", count, (after[1] - before[1]) / WINDOW_S, "a second")
        report("entry-memory-by-workers", count, cluster.entries[0].memory_mb(), "MB")
        report("worker-stand-in-cpu", count, 100 * cpu_per_second(cluster.workers), "% of a core")
    finally:
        cluster.stop()


def measure_entries(count):
    sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sink.bind(("127.0.0.1", 0))
    sink.settimeout(0.1)
    address = "127.0.0.1:%d" % sink.getsockname()[1]
    cluster = Cluster(entries=count, sides=4, extra_membership=[address])
    try:
        cluster.wait_usable()
        time.sleep(1)
        report("side-idle-cpu", count + 1, 100 * cpu_per_second(cluster.sides), "% of a core")
        memory = sum(s.memory_mb() for s in cluster.sides) / len(cluster.sides)
        report("side-memory", count + 1, memory, "MB")
        received = drain_datagrams(sink)
        per_entry = received / WINDOW_S / len(cluster.sides)
        report("side-heartbeat-bytes-per-entry", count + 1, per_entry, "bytes a second")
    finally:
        cluster.stop()
        sink.close()


def drain_datagrams(sink):
    """Payload bytes that arrive in one window."""
    try:
        while True:
            sink.recv(2000)
            sink.settimeout(0.0)
    except OSError:
        pass
    end = time.monotonic() + WINDOW_S
    received = 0
    sink.settimeout(0.1)
    while time.monotonic() < end:
        try:
            received += len(sink.recv(2000))
        except OSError:
            pass
    return received


def measure_requests(method, count):
    cluster = Cluster(entries=1, sides=4)
    try:
        cluster.wait_usable()
        cluster.load(200, method)
        entry = cluster.entries[0]
        entry_before = entry.cpu_seconds()
        sides_before = sum(s.cpu_seconds() for s in cluster.sides)
        memory_before = entry.memory_mb()
        table_before = cluster.table_counts()
        cluster.load(count, method)
        table_after = cluster.table_counts()
        entry_cpu = entry.cpu_seconds() - entry_before
        sides_cpu = sum(s.cpu_seconds() for s in cluster.sides) - sides_before
        name = method.lower()
        report(f"entry-cpu-{name}", count, 1e3 * entry_cpu, "ms in all")
        report(f"sides-cpu-{name}", count, 1e3 * sides_cpu, "ms in all")
        report(f"entry-memory-growth-{name}", count, entry.memory_mb() - memory_before, "MB")
        writes = table_after[0] - table_before[0]
        report(f"table-writes-{name}", count, writes, "in all")
    finally:
        cluster.stop()


def fit(name):
    """Least squares line through a figure's points, with its worst residual."""
    points = [(size, value) for figure, size, value in FIGURES if figure == name]
    if len(points) < 2:
        return
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    base = mean_y - slope * mean_x
    worst = max(abs(y - base - slope * x) for x, y in points)
    print(f"fit {name:32} base {base:10.4f} slope {slope:12.6f} worst residual {worst:9.4f}")


def main():
    sizes = [10, 40, 160]
    for count in sizes:
        measure_sides(count)
    for count in sizes:
        measure_workers(count)
    for count in (1, 3, 7):
        measure_entries(count)
    for count in (1000, 4000, 16000):
        measure_requests("GET", count)
    for count in (500, 2000, 8000):
        measure_requests("POST", count)
    for name in dict.fromkeys(figure for figure, _, _ in FIGURES):
        fit(name)


if __name__ == "__main__":
    sys.exit(main())
