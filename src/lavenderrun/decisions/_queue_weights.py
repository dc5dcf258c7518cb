"""Weights of the client accounts in the agents' queues."""

from __future__ import annotations

from lavenderrun.types import AccountId, Document


def compute_queue_weights(document: Document) -> dict[AccountId, float]:
    """Return each account's weight times its token rate, relative to the mean rate.

    The weight grows with the account's rate. Otherwise a large account within its rate would wait
    behind a small one that exceeds its own.
    """
    rates = [account.rate.tokens_per_second for account in document.accounts]
    if not rates:
        return {}
    mean = sum(rates) / len(rates)
    return {
        account.id: account.weight * account.rate.tokens_per_second / mean
        for account in document.accounts
    }
