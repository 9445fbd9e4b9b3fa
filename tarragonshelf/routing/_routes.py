"""Route matching by method and longest path prefix."""

from ..configuration import Document, Route


class RouteTable:
    """The routes of a configuration document, by method and path prefix."""

    def __init__(self, document: Document):
        self._routes: dict[tuple[str, str], Route] = {}
        for route in document.routes:
            for method in route.methods:
                self._routes[method, route.path.rstrip("/")] = route

    def match(self, method: str, path: str) -> Route | None:
        """Return the route whose prefix matches the most path segments, or None."""
        prefix = path.rstrip("/")
        while True:
            route = self._routes.get((method, prefix))
            if route is not None or not prefix:
                return route
            prefix = prefix.rpartition("/")[0]
