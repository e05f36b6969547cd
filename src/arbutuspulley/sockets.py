"""Options of sockets."""

import socket
import struct
from asyncio.trsock import TransportSocket


def set_reset_on_close(opened: socket.socket | TransportSocket, is_set: bool) -> None:
    """Choose how a connection closes, whoever closes it.

    :param is_set: whether a close, by the end of the process too, discards unsent data
        and resets the connection.
    """
    linger = struct.pack("ii", int(is_set), 0)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
