"""Creation of the state machine for a request."""

from ._lookup import LookupMachine
from ._messages import Request, RequestContext
from ._order import OrderMachine
from ._request import RequestMachine


def create_request_machine(request: Request, context: RequestContext) -> RequestMachine:
    """Return the state machine that fits a request's route."""
    if request.route.not_repeatable and request.key:
        return OrderMachine(request, context)
    return LookupMachine(request, context)
