"""TLS contexts from the settings' certificate files, with reloading.

Between the system's processes both ends present a certificate of the
fleet's own authority; a process without one receives no answer. Host
names aren't checked, since VMs are replaced at any time and addressed by
IP address; the authority signs certificates only for VMs of the fleet.
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

FileStamps = tuple[tuple[str, int, int], ...]


class TlsContexts:
    """The TLS contexts of one process.

    Parameters
    ----------
    settings : TlsSettings or None
        Certificate files; None disables TLS on all connections.

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
        self._file_stamps: FileStamps = ()
        if settings is not None:
            self._file_stamps = _file_stamps(settings)
            self._load(settings)

    def reload(self) -> bool:
        """Load changed files; return whether the contexts were replaced.

        The old contexts stay until all files can be loaded, so that an
        incomplete certificate file doesn't make the process unreachable.
        """
        if self._settings is None:
            return False
        file_stamps = _file_stamps(self._settings)
        if file_stamps == self._file_stamps:
            return False
        try:
            self._load(self._settings)
        except (OSError, SSLError) as error:
            logger.error("certificates cannot be reloaded: {}", error)
            return False
        self._file_stamps = file_stamps
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
            # The listener keeps a reference to the old context object, so
            # the new certificate is loaded into it. It applies to new
            # handshakes; open connections stay.
            self.caller.load_cert_chain(certificate, private_key)


def _mutual(protocol: int, settings: TlsSettings) -> SSLContext:
    context = SSLContext(protocol)
    context.check_hostname = False
    context.verify_mode = CERT_REQUIRED
    context.minimum_version = TLSVersion.TLSv1_3
    context.load_cert_chain(settings.certificate, settings.private_key)
    context.load_verify_locations(settings.authority)
    return context


def _file_stamps(settings: TlsSettings) -> FileStamps:
    """Return names, modification times and sizes to detect changes."""
    stamps = []
    for name in settings:
        path = Path(name) if name else None
        if path is not None and path.exists():
            status = path.stat()
            stamps.append((name, status.st_mtime_ns, status.st_size))
    return tuple(stamps)
