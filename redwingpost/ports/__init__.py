"""Ports: abstract types of the services that the system depends on.

Adapters implement them over real protocols; tests use small fakes.
"""

from redwingpost.ports.clock import Clock, MonotonicClock, VirtualClock
from redwingpost.ports.platform import (
    Condition,
    ObjectStore,
    Row,
    TableService,
    TransactResult,
    VmEntry,
    VmList,
    Write,
)
from redwingpost.ports.target import (
    Columns,
    ColumnInfo,
    MemberStatus,
    StatementResult,
    TargetConnection,
    TargetDialler,
    TargetError,
    TargetLost,
)

__all__ = [
    "Clock",
    "ColumnInfo",
    "Columns",
    "Condition",
    "MemberStatus",
    "MonotonicClock",
    "ObjectStore",
    "Row",
    "StatementResult",
    "TableService",
    "TargetConnection",
    "TargetDialler",
    "TargetError",
    "TargetLost",
    "TransactResult",
    "VirtualClock",
    "VmEntry",
    "VmList",
    "Write",
]
