"""The operators' library: describe, print and submit a configuration.

An operator's program describes the site and prints it:

>>> from redwingpost.operator import Site
>>> site = Site("semilla-andina")
>>> plans = site.group("plans-1", connections=32)
>>> plans.member("plans-1-a", "lima-1", "127.1.101.1", 3306)
>>> puno = site.organisation("diocese-puno", rate=120, burst=60)
>>> puno.may_reach(plans)
>>> puno.key("2030-a", "14e65567abdb5135d0cfd9a70b3032c179a49ee7")
>>> site.check().is_ok()
True

``print(site)`` then writes the JSON that ``redwingctl submit`` takes.
"""

from redwingpost.operator.actions import (
    Agents,
    NotificationResult,
    OperatorActions,
)
from redwingpost.operator.keys import NewKey, make_key
from redwingpost.operator.site import GroupSpec, OrganisationSpec, Site

__all__ = [
    "Agents",
    "GroupSpec",
    "NewKey",
    "NotificationResult",
    "OperatorActions",
    "OrganisationSpec",
    "Site",
    "make_key",
]
