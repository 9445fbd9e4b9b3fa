"""Draws lost requests over time as a stacked bar chart."""

from collections import Counter

from ._losses import LossCategory, LossReport

COLOURS = {
    LossCategory.UNDETECTED: "#4477aa",
    LossCategory.DETECTED_ELSEWHERE: "#ee6677",
    LossCategory.SUSPECTED: "#ccbb44",
    LossCategory.NO_TARGET: "#aa3377",
    LossCategory.CALLER_GONE: "#bbbbbb",
}
PLOT_WIDTH, PLOT_HEIGHT, LEFT_MARGIN, TOP_MARGIN = 800, 300, 40, 110
LEGEND_LINE_HEIGHT = 18


def draw_losses(report: LossReport) -> str:
    """Return an SVG bar chart of lost requests per second, stacked by category."""
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{PLOT_WIDTH + LEFT_MARGIN}"'
        f' height="{PLOT_HEIGHT + TOP_MARGIN + LEGEND_LINE_HEIGHT}"'
        ' font-family="sans-serif" font-size="12">'
    ]
    for row, (category, colour) in enumerate(COLOURS.items()):
        y = LEGEND_LINE_HEIGHT * row
        parts.append(
            f'<rect x="{LEFT_MARGIN}" y="{y + 4}" width="10" height="10" fill="{colour}"/>'
        )
        parts.append(f'<text x="{LEFT_MARGIN + 16}" y="{y + 13}">{category}</text>')
    if report.losses:
        parts += _draw_bars(report)
    return "\n".join([*parts, "</svg>", ""])


def _draw_bars(report: LossReport) -> list[str]:
    begin = min(loss.time_ms for loss in report.losses)
    counts = Counter(((loss.time_ms - begin) // 1000, loss.category) for loss in report.losses)
    seconds = 1 + max(second for second, _ in counts)
    totals = Counter()
    for (second, _), count in counts.items():
        totals[second] += count
    maximum = max(totals.values())
    bar_width = PLOT_WIDTH / seconds
    parts = [f'<text x="0" y="{TOP_MARGIN + 10}">{maximum}</text>']
    for second in range(seconds):
        bottom = TOP_MARGIN + PLOT_HEIGHT
        for category, colour in COLOURS.items():
            bar_height = PLOT_HEIGHT * counts[second, category] / maximum
            bottom -= bar_height
            if bar_height:
                parts.append(
                    f'<rect x="{LEFT_MARGIN + second * bar_width:.1f}" y="{bottom:.1f}"'
                    f' width="{bar_width * 0.9:.1f}" height="{bar_height:.1f}" fill="{colour}"/>'
                )
    parts.append(
        f'<text x="{LEFT_MARGIN}" y="{TOP_MARGIN + PLOT_HEIGHT + 14}">0 to {seconds} s</text>'
    )
    return parts
