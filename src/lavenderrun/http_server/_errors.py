"""Descriptions of unexpected errors for the log."""

from __future__ import annotations


def describe_error(error: BaseException) -> str:
    """Return type and place of an error without its text, which may hold a part of a request."""
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    site = f"{trace.tb_frame.f_code.co_name}:{trace.tb_lineno}" if trace else "unknown"
    return f"{type(error).__name__} at {site}"
