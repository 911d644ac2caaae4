"""Parse ``node.capnp`` once, at import."""

from pathlib import Path

from capnp import SchemaParser

#: Module of the parsed schema: ``SCHEMA.Node``, ``SCHEMA.Position`` ….
SCHEMA = SchemaParser().load(
    str(Path(__file__).with_name("node.capnp")), imports=[]
)
