"""A network path of one port that can reset what goes over it."""

import socket
import struct
import threading
import time

_RESET = struct.pack("ii", 1, 0)  # closing then resets


class Path:
    """Passes connections on to a target; while ``resets`` is set, those that are open or come up are reset."""

    def __init__(self, host: str, port: int, target: str) -> None:
        self.resets, self.reset = False, 0
        self._target, self._port, self._open = target, port, list[socket.socket]()
        self._listener = socket.create_server((host, port))
        threading.Thread(target=self._accept, daemon=True).start()

    def trouble(self, for_s: float) -> None:
        """Reset all that is open, and what comes up in this time."""
        self.resets = True
        for each in list(self._open):
            self._cut(each)
        time.sleep(for_s)
        self.resets = False

    def _cut(self, stream: socket.socket) -> None:
        try:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            stream.shutdown(socket.SHUT_RD)
        except OSError:
            pass
        stream.close()
        self.reset += 1

    def _accept(self) -> None:
        while True:
            near, _ = self._listener.accept()
            threading.Thread(target=self._join, args=(near,), daemon=True).start()

    def _join(self, near: socket.socket) -> None:
        try:
            far = socket.create_connection((self._target, self._port), 1.0)
        except OSError:
            near.close()
            return
        if self.resets:
            self._cut(far)
            self._cut(near)
            return
        self._open += [near, far]
        for one, other in ((near, far), (far, near)):
            threading.Thread(target=self._pass, args=(one, other), daemon=True).start()

    def _pass(self, one: socket.socket, other: socket.socket) -> None:
        try:
            while data := one.recv(65536):
                other.sendall(data)
            other.shutdown(socket.SHUT_WR)
        except OSError:
            pass
        finally:
            for each in (one, other):
                if each in self._open:
                    self._open.remove(each)
                each.close()
