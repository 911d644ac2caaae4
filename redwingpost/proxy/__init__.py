"""The proxy process: runs callers' statements on the targets."""

from redwingpost.proxy.service import Proxy

__all__ = ["Proxy"]
