"""Log lines and a metric for messages that only another build knows."""

from collections.abc import Callable

from ._metrics import Metrics


def create_unknown_reporter(metrics: Metrics, report: Callable[..., None]) -> Callable[..., None]:
    """Return a function that counts and logs an unknown message.

    Parameters
    ----------
    metrics : Metrics
        Counts in ``messages_unknown``, by link and by the number of the kind of message.
    report : callable
        Logs an event, given by its name and fields, within a rate limit.
    """

    def report_unknown(*, link: str, peer: str, kind: int, problem: str) -> None:
        metrics.count("messages_unknown", ("link", link), ("kind", str(kind)))
        report("message_unknown", link=link, peer=peer, kind=kind, problem=problem)

    return report_unknown
