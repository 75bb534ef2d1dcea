"""Entry hosts that lose their way to all servers, and nothing else.

Callers, other hosts and control hosts still reach them. Guards against hosts
that refuse their callers while other entry hosts serve everything.

Usage: gateway_cut_off_test.py [--seed N] [--build FOLDER] [--block N]
           [--only MODE] [--share SHARE] [--logs FOLDER]
Modes (reset and refuse; hang with --only) go on beside each other, each with
gateways of its own; the shares (one, most, zone, all) follow one after the other.
"""

import argparse
import asyncio
import collections
import concurrent.futures
import pathlib
import random
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "test"))
sys.path.insert(0, str(ROOT / "tools" / "local"))

from cluster import build_folder  # noqa: E402
from soak.callers import ANSWER_S, Caller  # noqa: E402
from soak.cut_off import MODES, CutOffWorld  # noqa: E402
from soak.hosts import READY  # noqa: E402
from soak.messages import call  # noqa: E402

# Modes in which connecting shows that the servers are out of reach. With
# "hang", the kernel still accepts each connection, and nothing passes on it:
# gateway_hang_test.py plays it.
KNOWN_BY_CONNECTING = ["reset", "refuse"]
SHARES = ["one", "most", "zone", "all"]
CALM_S = 2.0
# Time for answers to arrive before the next cut.
REST_S = 1.0
CUT_S = 8.0
# Time after a cut by which all is as before it.
BACK_S = 2.0
# Time after the beginning of a cut from which the users' rule holds.
RULE_S = 1.0
# Time within which a host must notice what it can't reach.
CONTACT_S = 3.0
# The users' rule: served less often than this share of the others, and more
# than a few failures.
RULE_SHARE = 2 / 3
RULE_FAILURES = 10
RULE_FAILURE_SHARE = 0.02
AIM_SHARE = 0.9
# A first try that is answered later than half of its deadline isn't served.
SERVED_S = 2.0
TRIES_PER_S = 20.0
KEPT_SHARE = 0.3
KINDS = [("lookup", "/lookup/tag"), ("lookup", "/price/tag"),
         ("order", "/order/tag"), ("order", "/sale/tag"), ("draft", None)]
# Number of the first of the test's callers, above those of the world's checks.
FIRST_CALLER = 0x1000


class Try:
    """A first try at one host."""

    def __init__(self, host, kind, sent_at):
        self.host = host
        self.kind = kind
        self.sent_at = sent_at
        self.status = None
        self.took_s = ANSWER_S

    @property
    def in_time(self):
        """Whether it was answered before half of its time was gone."""
        return self.took_s <= SERVED_S

    @property
    def served(self):
        """Whether it was served."""
        return self.status == 200 and self.in_time


class Load:
    """Callers of each entry host, at a rate that doesn't wait for answers."""

    def __init__(self, world):
        self.world = world
        self.tries = []
        self.hosts = {}
        self.idle = collections.defaultdict(list)
        self.tasks = set()

    def caller(self, host, kept):
        """A caller that keeps to a host, and perhaps its connection."""
        while kept and self.idle[host]:
            caller = self.idle[host].pop()
            if not caller.reader.at_eof():
                return caller
            caller.close()
        number = FIRST_CALLER + len(self.hosts)
        self.hosts[number] = host
        return Caller(self.world, number)

    async def send(self, host, kept, kind, path):
        """Makes one first try."""
        caller = self.caller(host, kept)
        one = Try(host, kind, time.monotonic())
        self.tries.append(one)
        one.status = await caller.request(kind, path, host)
        one.took_s = time.monotonic() - one.sent_at
        if kept and caller.writer is not None:
            self.idle[host].append(caller)
        else:
            caller.close()

    async def run(self, host):
        """Sends tries to one host until cancelled."""
        draw = random.Random(f"{self.world.seed} {host.told}")
        while True:
            await asyncio.sleep(draw.expovariate(TRIES_PER_S))
            kept = draw.random() < KEPT_SHARE
            task = asyncio.create_task(
                self.send(host, kept, *draw.choice(KINDS)))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def asked(self, request):
        """The host that a request was sent to, or None."""
        return self.hosts.get(int(request.partition("-")[0], 16))

    def between(self, begin, end):
        """Tries that were sent within a time."""
        return [one for one in self.tries if begin <= one.sent_at < end]


class Cut:
    """One cut and the calm after it."""

    def __init__(self, world, load, mode, share):
        self.world = world
        self.load = load
        self.mode = mode
        self.share = share
        self.hosts = self.choose()
        self.begun = self.ended = self.over = 0.0
        self.ready = {}
        self.lines = []

    def say(self, line):
        """Keeps a line about how it went."""
        self.lines.append(f"{self.mode} {self.share}, {line}")

    def choose(self):
        """Draws the hosts that are cut off."""
        entries = self.world.entries
        draw = random.Random(f"{self.world.seed} {self.mode} {self.share}")
        match self.share:
            case "one":
                return draw.sample(entries, 1)
            case "most":
                return draw.sample(entries, len(entries) - 1)
            case "zone":
                zone = draw.choice(self.world.zones)
                return [host for host in entries if host.zone == zone]
            case _:
                return entries

    async def play(self):
        """Cuts the hosts off for a while."""
        self.begun = time.monotonic()
        for host in self.hosts:
            self.world.ways[host].cut(self.mode)
        await asyncio.sleep(CUT_S - 1.0)
        answers = await asyncio.gather(*map(is_ready, self.world.entries))
        self.ready = dict(zip(self.world.entries, answers))
        await asyncio.sleep(self.begun + CUT_S - time.monotonic())
        for host in self.hosts:
            self.world.ways[host].mend()
        self.ended = time.monotonic()
        await asyncio.sleep(BACK_S + CALM_S)
        self.over = time.monotonic()
        await asyncio.sleep(REST_S)

    def wrong(self):
        """Evaluates the cut; returns what is wrong."""
        wrong = self.wrong_when_all() if self.share == "all" else (
            self.wrong_beside_others())
        wrong += [f"{host.told} isn't ready" for host, ready
                  in self.ready.items() if not ready and
                  (self.share == "all" or host not in self.hosts)]
        wrong += self.wrong_afterwards()
        return [f"{self.mode} {self.share}: {what}" for what in wrong]

    def tries(self, since_s):
        """Tries at cut-off hosts and at the others, from a time on."""
        tries = self.load.between(self.begun + since_s, self.ended)
        return ([one for one in tries if one.host in self.hosts],
                [one for one in tries if one.host not in self.hosts])

    def wrong_beside_others(self):
        """Checks the users' rule and their aim."""
        wrong = []
        for since_s, least in ((RULE_S, RULE_SHARE), (CONTACT_S, AIM_SHARE)):
            cut, others = self.tries(since_s)
            share, usual = served_share(cut), served_share(others)
            failed = len(cut) - served(cut)
            self.say(f"from {since_s:.0f} s: served {served(cut)} of "
                     f"{len(cut)} at hosts cut off, {served(others)} of "
                     f"{len(others)} at the others; {ends(cut)}")
            allowed = RULE_FAILURES + RULE_FAILURE_SHARE * len(cut)
            if share < least * usual and (since_s >= CONTACT_S or
                                          failed > allowed):
                wrong.append(f"from {since_s:.0f} s on served {share:.2f} at "
                             f"hosts cut off, {usual:.2f} at the others")
            if usual < AIM_SHARE:
                wrong.append(f"the others served only {usual:.2f}")
        return wrong

    def wrong_when_all(self):
        """Checks that hosts refuse at once where none can serve."""
        cut, _ = self.tries(CONTACT_S)
        known = sum(one.in_time and one.status in (200, 429, 503)
                    for one in cut)
        self.say(f"from {CONTACT_S:.0f} s: {known} of {len(cut)} served or "
                 f"refused in time; {ends(cut)}")
        if known < AIM_SHARE * len(cut):
            return [f"only {known} of {len(cut)} served or refused in time"]
        return []

    def wrong_afterwards(self):
        """Checks that everything is served and goes directly again."""
        since = self.ended + BACK_S
        tries = self.load.between(since, self.over)
        made = [one for one in self.world.made
                if since <= one.at < self.over and one.request and
                self.load.asked(one.request) in self.hosts]
        direct = sum(one.host is self.load.asked(one.request) for one in made)
        self.say(f"afterwards: served {served(tries)} of {len(tries)}, "
                 f"{direct} of {len(made)} new connections direct")
        wrong = []
        if served(tries) < len(tries):
            wrong.append(f"afterwards {ends(tries)}")
        if not made or direct < AIM_SHARE * len(made):
            wrong.append(f"afterwards {direct} of {len(made)} new connections "
                         "are direct")
        return wrong


def served(tries):
    """How many were served."""
    return sum(one.served for one in tries)


def served_share(tries):
    """Which share was served."""
    return served(tries) / max(len(tries), 1)


def ends(tries):
    """How tries ended, as text."""
    counts = collections.Counter(
        f"{one.status or 'no answer'}{'' if one.in_time else ' late'}"
        for one in tries)
    return ", ".join(f"{end}: {count}" for end, count in sorted(counts.items()))


async def is_ready(host):
    """Whether a host says that it takes callers."""
    try:
        head, _ = await call(f"{host.own}:{READY}", "GET / HTTP/1.1",
                             {"Host": "platform"}, timeout=0.8)
        return head.status == 200
    except (OSError, TimeoutError, EOFError):
        return False


def quarantines(world):
    """Lines of all logs that call a request one that crashes servers."""
    lines = []
    for host in world.hosts:
        with open(host.folder / "log.txt", errors="replace") as log:
            lines += [line.strip() for line in log
                      if '"request_quarantined"' in line]
    return lines


async def play(options, mode, folder):
    """Plays one mode; returns how it went and what is wrong."""
    world = CutOffWorld(options.build, folder, options.seed, options)
    cuts = []
    try:
        await world.start()
        load = Load(world)
        working = [asyncio.create_task(load.run(host))
                   for host in world.entries]
        await asyncio.sleep(CALM_S)
        before = list(load.tries)
        await asyncio.sleep(REST_S)
        for share in SHARES:
            if options.share not in (None, share):
                continue
            cuts.append(Cut(world, load, mode, share))
            await cuts[-1].play()
        for task in working:
            task.cancel()
        await asyncio.gather(*working, *load.tasks, return_exceptions=True)
    finally:
        await world.stop()
        late = asyncio.all_tasks() - {asyncio.current_task()}
        for task in late:
            task.cancel()
        await asyncio.gather(*late, return_exceptions=True)
    wrong = [what for cut in cuts for what in cut.wrong()]
    if served(before) < len(before):
        wrong.append(f"{mode}: before the first cut {ends(before)}")
    crashing = quarantines(world)
    lines = [line for cut in cuts for line in cut.lines]
    lines.append(f"{mode}: {len(world.findings.broken)} promises broken, "
                 f"{len(crashing)} requests taken for ones that crash servers")
    wrong += [f"{mode}: {what}" for what in world.findings.broken[:10]]
    return lines, wrong + [f"{mode}: {line}" for line in crashing[:3]]


def run(options, mode):
    """Plays one mode in a process of its own."""
    options.block += MODES.index(mode)
    with tempfile.TemporaryDirectory() as name:
        folder = options.logs / mode if options.logs else pathlib.Path(name)
        return asyncio.run(play(options, mode, folder))


def main():
    """Plays all modes beside each other."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--controls", type=int, default=3)
    parser.add_argument("--entries", type=int, default=4)
    parser.add_argument("--callers", type=int, default=0)
    parser.add_argument("--block", type=int, default=17)
    parser.add_argument("--only", choices=MODES)
    parser.add_argument("--share", choices=SHARES)
    parser.add_argument("--logs", type=pathlib.Path)
    parser.add_argument("--build", type=pathlib.Path, default=build_folder())
    options = parser.parse_args()
    modes = [options.only] if options.only else KNOWN_BY_CONNECTING
    with concurrent.futures.ProcessPoolExecutor(len(modes)) as pool:
        outcomes = list(pool.map(run, [options] * len(modes), modes))
    wrong = [what for _, found in outcomes for what in found]
    for line in [line for lines, _ in outcomes for line in lines] + wrong:
        print(line, flush=True)
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
