"""The store's era, read from the header of its answers."""

import pytest

from arbutuspulley.events import Event
from arbutuspulley.platform import era as era_module
from arbutuspulley.platform.era import UNKNOWN_ERA, StoreEra


@pytest.fixture
def logged(monkeypatch):
    events = []
    monkeypatch.setattr(
        era_module, "log_event", lambda event, **fields: events.append((event, fields))
    )
    return events


def read_eras(*headers):
    """Read one answer after the other; each call is made after the last answer."""
    era = StoreEra()
    return [era.update(header, called_in=era.current) for header in headers]


def test_a_store_without_the_header_has_no_era(logged):
    assert read_eras(None, None) == [UNKNOWN_ERA] * 2
    assert not logged


def test_a_change_is_logged_with_both_eras(logged):
    assert read_eras("3", "3", "4") == [3, 3, 4]
    assert logged == [(Event.STORE_ERA_CHANGED, {"before": 3, "now": 4})]


def test_the_first_era_is_no_change_even_if_answers_without_one_came_before(logged):
    assert read_eras(None, "1") == [UNKNOWN_ERA, 1]
    assert not logged


@pytest.mark.parametrize("header", [None, "", "x", "-1", "2.5", "1", "9" * 40, "²"])
def test_an_unusable_era_is_refused_once_and_the_known_one_holds(logged, header):
    """Guards against a header that makes versions of one era seem to be of another."""
    assert read_eras("2", header, header, "2") == [2, 2, 2, 2]
    assert [event for event, _ in logged] == [Event.STORE_ERA_REFUSED]


def test_each_new_era_is_reported_once():
    reported = []
    era = StoreEra(on_change=reported.append)
    for header in (None, "1", "1", "3", "x", "2", "4"):
        era.update(header, called_in=era.current)
    assert reported == [1, 3, 4]


def test_an_answer_that_was_overtaken_keeps_its_own_era(logged):
    """Guards against versions of the older era that are taken for the newer one's."""
    era = StoreEra()
    era.update("1", called_in=UNKNOWN_ERA)
    era.update("2", called_in=1)
    assert era.update("1", called_in=1) == 1
    assert era.update(None, called_in=1) == 1
    assert era.current == 2
