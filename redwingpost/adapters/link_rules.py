"""Rules for simulated link faults, and their combined effect on a link.

A rule applies to connections that this process dials from an address in
``from`` to one in ``to``. The module has no I/O and reads no clock.
"""

from ipaddress import IPv4Network, ip_address, ip_network
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from redwingpost.core import Code, Refusal

#: TCP resends a lost segment after the retransmission timeout, at least
#: 200 ms in common stacks (RTO_MIN), so loss is simulated as a stall.
RETRANSMISSION_S = 0.2

KINDS = ("cut", "delay", "loss")
DIRECTIONS = ("both", "out", "in")
_KEYS = ("from", "to", "kind", "direction", "ms", "percent")


class LinkRule(NamedTuple):
    """One rule; ``amount`` is a delay in seconds or a share of losses."""

    source: IPv4Network
    target: IPv4Network
    kind: str
    direction: str = "both"
    amount: float = 0.0


class Impairment(NamedTuple):
    """The impairment of one direction of a link."""

    is_cut: bool = False
    delay_s: float = 0.0
    loss: float = 0.0

    @property
    def is_clear(self) -> bool:
        """Whether bytes pass without delay."""
        return not (self.is_cut or self.delay_s or self.loss)


class LinkEffect(NamedTuple):
    """The impairments of a link, seen from the process that dials."""

    out: Impairment = Impairment()
    back: Impairment = Impairment()

    @property
    def is_cut(self) -> bool:
        """Whether a new connection can't be established."""
        return self.out.is_cut or self.back.is_cut


def _parse_rule(given: Any) -> LinkRule:
    if not isinstance(given, dict):
        raise ValueError("a rule is an object")
    unknown = [key for key in given if key not in _KEYS]
    if unknown:
        raise ValueError(f"unknown key {unknown[0]!r}; known: {_KEYS}")
    kind = given.get("kind")
    if kind not in KINDS:
        raise ValueError(f"kind must be one of {KINDS}, not {kind!r}")
    direction = given.get("direction", "both")
    if direction not in DIRECTIONS:
        raise ValueError(f"direction must be one of {DIRECTIONS}")
    return LinkRule(
        _network(given, "from"),
        _network(given, "to"),
        kind,
        direction,
        _amount(given, kind),
    )


def _network(given: dict[str, Any], key: str) -> IPv4Network:
    value = given.get(key)
    if not isinstance(value, str):
        raise ValueError(f"{key!r} must be an address or a network")
    return ip_network(value, strict=False)


def _amount(given: dict[str, Any], kind: str) -> float:
    if kind == "cut":
        return 0.0
    key, scale = ("ms", 1000) if kind == "delay" else ("percent", 100)
    value = given.get(key)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f"{kind} needs a number {key!r}")
    if not 0 <= value <= (100 if kind == "loss" else 3_600_000):
        raise ValueError(f"{key!r} is out of range: {value}")
    return value / scale


def parse_rules(given: Any) -> Result[tuple[LinkRule, ...], Refusal]:
    """Parse the body of ``POST /faults/links``.

    Examples
    --------
    >>> body = {"rules": [
    ...     {"from": "127.1.0.0/16", "to": "127.2.0.0/16", "kind": "cut"}]}
    >>> parse_rules(body).ok[0].kind
    'cut'
    >>> parse_rules({"rules": [{"kind": "burn"}]}).is_error()
    True
    """
    if not isinstance(given, dict) or set(given) != {"rules"}:
        detail = 'the body must be {"rules": [...]}'
        return Error(Refusal(Code.SETTINGS_INVALID, detail))
    rules = given["rules"]
    if not isinstance(rules, list):
        return Error(Refusal(Code.SETTINGS_INVALID, "rules must be a list"))
    parsed = []
    for index, rule in enumerate(rules):
        try:
            parsed.append(_parse_rule(rule))
        except ValueError as error:
            detail = f"rules[{index}]: {error}"
            return Error(Refusal(Code.SETTINGS_INVALID, detail))
    return Ok(tuple(parsed))


def render_rule(rule: LinkRule) -> dict[str, Any]:
    """Return a rule in the form that ``parse_rules`` accepts."""
    rendered: dict[str, Any] = {
        "from": str(rule.source),
        "to": str(rule.target),
        "kind": rule.kind,
        "direction": rule.direction,
    }
    if rule.kind == "delay":
        rendered["ms"] = rule.amount * 1000
    if rule.kind == "loss":
        rendered["percent"] = rule.amount * 100
    return rendered


def effect(
    rules: tuple[LinkRule, ...], own_ip: str, peer_ip: str
) -> LinkEffect:
    """Return the effect of rules on connections dialled to ``peer_ip``.

    Delays add up; of several losses the largest applies.

    Parameters
    ----------
    rules : tuple of LinkRule
        All active rules.
    own_ip, peer_ip : str
        The source and the destination address of the connections.

    Returns
    -------
    LinkEffect
        The impairments of both directions.
    """
    own, peer = ip_address(own_ip), ip_address(peer_ip)
    out = back = Impairment()
    for rule in rules:
        if own not in rule.source or peer not in rule.target:
            continue
        if rule.direction in ("both", "out"):
            out = _add(out, rule)
        if rule.direction in ("both", "in"):
            back = _add(back, rule)
    return LinkEffect(out, back)


def _add(impairment: Impairment, rule: LinkRule) -> Impairment:
    if rule.kind == "cut":
        return impairment._replace(is_cut=True)
    if rule.kind == "delay":
        return impairment._replace(delay_s=impairment.delay_s + rule.amount)
    return impairment._replace(loss=max(impairment.loss, rule.amount))
