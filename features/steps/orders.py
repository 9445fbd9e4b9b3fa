"""Steps on controls that a simulated network connects."""

from behave import given, then, when

from tarragonshelf.control.tests.fakes import FakeFleet, create_change
from tarragonshelf.ledger import Answer, ClaimId, ClaimKey, OrderKey, SettleKey


@given("three controls with a leader")
def start_controls(context):
    context.fleet = FakeFleet(["a", "b", "c"])
    context.fleet.start_all()
    context.fleet.wait_for_leader()
    context.claims = {}
    context.number = 0


@when('entry "{entry}" claims order "{key}"')
def submit_claim(context, entry, key):
    context.number += 1
    claim_id = ClaimId(entry, "1", context.number)
    order = OrderKey("account", "POST /orders", key)
    context.claims[entry, key] = claim_id
    command = ClaimKey(claim_id, order, "digest", "service", 20.0, 600.0)
    context.last = context.fleet.submit(command)


@when('entry "{entry}" settles order "{key}" with answer "{text}"')
def submit_settlement(context, entry, key, text):
    order = OrderKey("account", "POST /orders", key)
    answer = Answer(200, (), text.encode())
    command = SettleKey(context.claims[entry, key], order, answer, "digest", "service", 600.0)
    context.last = context.fleet.submit(command)


@when("the leader is killed")
def kill_leader(context):
    context.fleet.crash(context.fleet.wait_for_leader())


@when("{seconds:d} seconds pass")
def advance_time(context, seconds):
    context.fleet.advance(seconds)


@when('operator "{operator}" replaces version {version:d}')
def submit_change(context, operator, version):
    command = create_change(operator, version, f"by {operator}")
    context.last = context.fleet.submit(command)


@then('the last claim is "{state}" with answer "{text}"')
def check_answer(context, state, text):
    assert context.last.state == state, context.last
    assert context.last.answer.body == text.encode()


@then('the last claim is "{state}"')
def check_claim(context, state):
    assert context.last.state == state, context.last


@then('the last change ends in "{state}" with the change by "{operator}"')
def check_change(context, state, operator):
    assert (context.last.state, context.last.author) == (state, operator), context.last
