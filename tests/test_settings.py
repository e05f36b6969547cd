"""Settings are validated together and all invalid ones are reported."""

import pytest

from arbutuspulley.results import Code, SettingError
from arbutuspulley.settings import (
    SettingsError,
    check_address,
    check_all,
    check_choice,
    check_present,
    check_range,
    split_address,
)


@pytest.mark.parametrize(
    ("address", "expected"),
    [("127.0.0.1:80", ("127.0.0.1", 80)), ("[::1]:8080", ("::1", 8080))],
)
def test_address_is_split(address, expected):
    assert split_address(address) == expected


@pytest.mark.parametrize(
    "address", ["localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:70000", ":80"]
)
def test_invalid_address_is_refused(address):
    with pytest.raises(SettingError) as raised:
        split_address(address, setting="--listen")
    assert raised.value.code is Code.BAD_SETTING
    assert "--listen" in raised.value.show()


def test_all_invalid_settings_are_reported_in_one_message():
    checks = [
        check_address("--listen", "nowhere"),
        check_range("--lease-ms", 5, least=1_000, most=60_000),
        check_choice("--log-format", "xml", choices=("json", "text")),
        check_present("--peer-key", ""),
        check_present("--instance", "a-1"),
    ]
    with pytest.raises(SettingsError) as raised:
        check_all(checks)
    shown = raised.value.show()
    for setting in ("--listen", "--lease-ms", "--log-format", "--peer-key"):
        assert setting in shown
    assert "--instance" not in shown
