"""Parse ``work.capnp`` once, at import."""

from pathlib import Path

from capnp import SchemaParser

#: Module of the parsed schema: ``SCHEMA.Message``, ``SCHEMA.Work`` ….
SCHEMA = SchemaParser().load(
    str(Path(__file__).with_name("work.capnp")), imports=[]
)
