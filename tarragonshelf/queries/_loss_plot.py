"""Losses over time as a picture."""

from collections import Counter

from ._losses import Knowledge, LossLedger

COLOURS = {
    Knowledge.UNKNOWN: "#4477aa",
    Knowledge.NEWS_LATE: "#ee6677",
    Knowledge.DOUBTED: "#ccbb44",
    Knowledge.NO_TARGET: "#aa3377",
    Knowledge.CALLER_GONE: "#bbbbbb",
}
WIDTH, HEIGHT, LEFT, TOP = 800, 300, 40, 110
LINE = 18


def draw_losses(ledger: LossLedger) -> str:
    """Return an SVG with the losses of each second, stacked by what was known."""
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH + LEFT}"'
        f' height="{HEIGHT + TOP + LINE}" font-family="sans-serif" font-size="12">'
    ]
    for row, (knowledge, colour) in enumerate(COLOURS.items()):
        y = LINE * row
        parts.append(f'<rect x="{LEFT}" y="{y + 4}" width="10" height="10" fill="{colour}"/>')
        parts.append(f'<text x="{LEFT + 16}" y="{y + 13}">{knowledge}</text>')
    if ledger.losses:
        parts += _draw_bars(ledger)
    return "\n".join([*parts, "</svg>", ""])


def _draw_bars(ledger: LossLedger) -> list[str]:
    begin = min(loss.at for loss in ledger.losses)
    counts = Counter(((loss.at - begin) // 1000, loss.knowledge) for loss in ledger.losses)
    seconds = 1 + max(second for second, _ in counts)
    sums = Counter()
    for (second, _), count in counts.items():
        sums[second] += count
    most = max(sums.values())
    width = WIDTH / seconds
    parts = [f'<text x="0" y="{TOP + 10}">{most}</text>']
    for second in range(seconds):
        bottom = TOP + HEIGHT
        for knowledge, colour in COLOURS.items():
            height = HEIGHT * counts[second, knowledge] / most
            bottom -= height
            if height:
                parts.append(
                    f'<rect x="{LEFT + second * width:.1f}" y="{bottom:.1f}"'
                    f' width="{width * 0.9:.1f}" height="{height:.1f}" fill="{colour}"/>'
                )
    parts.append(f'<text x="{LEFT}" y="{TOP + HEIGHT + 14}">0 to {seconds} s</text>')
    return parts
