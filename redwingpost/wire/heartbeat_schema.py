"""Parse ``heartbeat.capnp`` once, at import."""

from pathlib import Path

from capnp import SchemaParser

#: Module of the parsed schema: ``SCHEMA.Message``, ``SCHEMA.Digest`` ….
SCHEMA = SchemaParser().load(
    str(Path(__file__).with_name("heartbeat.capnp")), imports=[]
)
