"""What the rigs of real processes are built on: waiting for bytes on a
descriptor of any number, and failures of the rig's own threads, which else
end them unseen while the rest goes on."""
import select
import threading
import time
import traceback

TICK_S = 0.05  # between two looks at how late the rig itself is


def readable(sock, seconds):
    """Whether bytes or an end came within so long. (select() takes no
    descriptor from 1,024 on.)"""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(seconds * 1000))


class Watch:
    """While open: the exceptions that ended threads, and how late the rig's
    own threads ran."""

    def __init__(self):
        self.failures, self.late_s = [], 0.0
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.measure, daemon=True)

    def measure(self):
        while not self.ended.is_set():
            due = time.monotonic() + TICK_S
            time.sleep(TICK_S)
            self.late_s = max(self.late_s, time.monotonic() - due)

    def failed(self, args):
        self.failures.append("%s: %s" % (
            args.thread.name if args.thread else "a thread", "".join(
                traceback.format_exception(args.exc_type, args.exc_value,
                                           args.exc_traceback))))

    def __enter__(self):
        self.before, threading.excepthook = threading.excepthook, self.failed
        self.thread.start()
        return self

    def __exit__(self, *exc):
        self.ended.set()
        self.thread.join()
        threading.excepthook = self.before
