"""TLS contexts from the settings' certificate files, reloaded in place.

Between the system's processes both ends show a certificate of the
fleet's own authority: a process without one gets no byte of an answer.
Host names aren't checked, since VMs are replaced at any time and known
by IP number; the authority signs nothing but VMs of the fleet.
"""

from pathlib import Path
from ssl import (
    CERT_REQUIRED,
    PROTOCOL_TLS_CLIENT,
    PROTOCOL_TLS_SERVER,
    SSLContext,
    SSLError,
    TLSVersion,
)

from loguru import logger

from redwingpost.settings import TlsSettings

Stamp = tuple[tuple[str, int, int], ...]


class TlsContexts:
    """The contexts of one process.

    Parameters
    ----------
    settings : TlsSettings or None
        None leaves all links in plain text.

    Examples
    --------
    >>> TlsContexts(None).server is None
    True
    """

    def __init__(self, settings: TlsSettings | None) -> None:
        self._settings = settings
        self.server: SSLContext | None = None
        self.client: SSLContext | None = None
        self.caller: SSLContext | None = None
        self._stamp: Stamp = ()
        if settings is not None:
            self._stamp = _stamp(settings)
            self._load(settings)

    def reload(self) -> bool:
        """Take changed files; say whether the contexts were replaced.

        A half-written certificate must not take the process off the
        air: the old contexts stay until the files load whole.
        """
        if self._settings is None:
            return False
        stamp = _stamp(self._settings)
        if stamp == self._stamp:
            return False
        try:
            self._load(self._settings)
        except (OSError, SSLError) as error:
            logger.error("certificates not reloaded: {}", error)
            return False
        self._stamp = stamp
        return True

    def _load(self, settings: TlsSettings) -> None:
        server = _mutual(PROTOCOL_TLS_SERVER, settings)
        client = _mutual(PROTOCOL_TLS_CLIENT, settings)
        self._load_caller(settings)
        self.server, self.client = server, client

    def _load_caller(self, settings: TlsSettings) -> None:
        if not settings.caller_certificate:
            return
        fresh = SSLContext(PROTOCOL_TLS_SERVER)
        fresh.minimum_version = TLSVersion.TLSv1_2
        certificate = settings.caller_certificate
        private_key = settings.caller_private_key
        fresh.load_cert_chain(certificate, private_key)
        if self.caller is None:
            self.caller = fresh
        else:
            # The listener holds the old context object; new handshakes
            # on it take the new certificate, open connections stay.
            self.caller.load_cert_chain(certificate, private_key)


def _mutual(protocol: int, settings: TlsSettings) -> SSLContext:
    context = SSLContext(protocol)
    context.check_hostname = False
    context.verify_mode = CERT_REQUIRED
    context.minimum_version = TLSVersion.TLSv1_3
    context.load_cert_chain(settings.certificate, settings.private_key)
    context.load_verify_locations(settings.authority)
    return context


def _stamp(settings: TlsSettings) -> Stamp:
    """Return what tells a changed file from an unchanged one."""
    stamps = []
    for name in settings:
        path = Path(name) if name else None
        if path is not None and path.exists():
            status = path.stat()
            stamps.append((name, status.st_mtime_ns, status.st_size))
    return tuple(stamps)
