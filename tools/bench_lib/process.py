"""Processes that an experiment starts, measures and ends by their ids."""

import json
import os
import select
import subprocess
import time
from signal import SIGCONT, SIGTERM

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_KB = os.sysconf("SC_PAGE_SIZE") / 1024
START_SECONDS = 20
STOP_SECONDS = 10


class Process:
    """One program that prints a JSON line once it is ready."""

    def __init__(self, name, arguments, log_path):
        self.name = name
        self.arguments = [str(argument) for argument in arguments]
        self.log_path = log_path
        self.child = None
        self.ready = {}

    def start(self, wait=True):
        self.log = open(self.log_path, "ab")
        self.child = subprocess.Popen(
            self.arguments, stdout=subprocess.PIPE, stderr=self.log)
        if wait:
            self.wait_ready()
        return self

    def wait_ready(self):
        readable, _, _ = select.select(
            [self.child.stdout], [], [], START_SECONDS)
        line = self.child.stdout.readline() if readable else b""
        if not line:
            raise RuntimeError(f"{self.name} did not start: {self.log_path}")
        self.ready = json.loads(line)

    @property
    def pid(self):
        return self.child.pid

    def running(self):
        return self.child is not None and self.child.poll() is None

    def cpu_seconds(self):
        with open(f"/proc/{self.pid}/stat") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def resident_kb(self):
        with open(f"/proc/{self.pid}/statm") as file:
            return int(file.read().split()[1]) * PAGE_KB

    def signal(self, number):
        if self.running():
            self.child.send_signal(number)

    def stop(self, number=SIGTERM, seconds=STOP_SECONDS):
        """Ends the process; returns its exit code, None if it was killed."""
        if not self.running():
            return None if self.child is None else self.child.returncode
        self.signal(SIGCONT)
        self.signal(number)
        try:
            return self.child.wait(seconds)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait()
            return None


def stop_all(processes):
    """Signals all first, so that they stop side by side."""
    for process in processes:
        process.signal(SIGCONT)
        process.signal(SIGTERM)
    end = time.monotonic() + STOP_SECONDS
    for process in processes:
        process.stop(seconds=max(0.1, end - time.monotonic()))
