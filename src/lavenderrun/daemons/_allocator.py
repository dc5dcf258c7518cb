"""Settings of the C library's allocator."""

from __future__ import annotations

import ctypes
from contextlib import suppress
from typing import Final

M_MMAP_THRESHOLD: Final = -3

LARGE_BLOCK: Final = 128 << 10
"""Size in bytes from which a block is one of its own: long bodies, and nothing that is frequent."""


def return_large_blocks() -> None:
    """Give large blocks back to the system as soon as they are freed.

    By itself the allocator takes up to 32 MB from its heap once such a block has been freed; long
    bodies that grow beside each other then leave gaps of about their own size.
    """
    # other C libraries have no such setting
    with suppress(OSError, AttributeError):
        ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK)
