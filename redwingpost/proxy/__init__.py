"""The proxy process: callers' statements to targets and back."""

from redwingpost.proxy.service import Proxy

__all__ = ["Proxy"]
