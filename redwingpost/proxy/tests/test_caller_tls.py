"""Tests of callers over TLS, with a real driver."""

from pathlib import Path
from socket import create_connection
from ssl import MemoryBIO, SSLWantReadError, create_default_context
from tempfile import TemporaryDirectory
from unittest import TestCase

from pymysql import connect
from pymysql.err import MySQLError

from redwingpost.adapters.tests.certificates import Authority
from redwingpost.proxy.tests.small_site import GROUP, SmallSite
from redwingpost.settings import TlsSettings


class CallerTlsTest(TestCase):
    @classmethod
    def setUpClass(cls):
        directory = TemporaryDirectory()
        cls.addClassCleanup(directory.cleanup)
        settings = cls._issue(directory.name, "fleet", "vm-1")
        public = cls._issue(directory.name, "public", "callers")
        stranger = cls._issue(directory.name, "stranger", "nobody")
        cls.public, cls.stranger = public.authority, stranger.authority
        settings = settings._replace(
            caller_certificate=public.certificate,
            caller_private_key=public.private_key,
        )
        cls.site = SmallSite(tls=settings).start()
        cls.addClassCleanup(cls.site.stop)

    @staticmethod
    def _issue(directory: str, authority: str, subject: str) -> TlsSettings:
        folder = Path(directory, authority)
        folder.mkdir()
        return Authority(authority).write(folder, subject)

    def _connect(self, **changes):
        return connect(
            host=self.site.proxies[0].settings.vm.ip,
            port=self.site.port(),
            database=GROUP,
            autocommit=True,
            **(self.site.login() | changes),
        )

    def test_statements_go_through(self):
        table = [
            {"ssl_ca": self.public, "ssl_verify_cert": True},
            {"ssl_disabled": True},
        ]
        for changes in table:
            with self.subTest(changes=changes):
                with self._connect(**changes) as connection:
                    cursor = connection.cursor()
                    cursor.execute("SELECT 'whole' AS answer")
                    self.assertEqual(cursor.fetchone(), ("whole",))

    def test_a_wrong_authority_is_noticed_by_the_caller(self):
        # An attacker between the caller and the proxy presents a
        # certificate of another authority. The driver must close the
        # connection before it authenticates with its key.
        with self.assertRaises(MySQLError):
            self._connect(ssl_ca=self.stranger, ssl_verify_cert=True)

    def test_a_large_answer_stays_whole(self):
        with self._connect(
            ssl_ca=self.public, ssl_verify_cert=True
        ) as connection:
            cursor = connection.cursor()
            body = "x" * 200_000
            cursor.execute("SELECT %s", (body,))
            self.assertEqual(cursor.fetchone(), (body,))

    def test_tls_handshake_that_arrives_with_its_request(self):
        # A driver requests TLS and sends its first handshake bytes at
        # once; on a busy VM both arrive before the proxy reads. The
        # handshake must continue with the bytes already received.
        address = (self.site.proxies[0].settings.vm.ip, self.site.port())
        context = create_default_context(cafile=self.public)
        context.check_hostname = False
        incoming, outgoing = MemoryBIO(), MemoryBIO()
        tls = context.wrap_bio(incoming, outgoing)
        with create_connection(address, timeout=10) as plain:
            plain.recv(4096)
            with self.assertRaises(SSLWantReadError):
                tls.do_handshake()
            flags = (0x0200 | 0x0800 | 0x8000 | 0x80000).to_bytes(4, "little")
            request = flags + bytes(4) + b"\x2d" + bytes(23)
            head = len(request).to_bytes(3, "little") + b"\x01"
            plain.sendall(head + request + outgoing.read())
            while not tls.version():
                incoming.write(plain.recv(16384))
                try:
                    tls.do_handshake()
                except SSLWantReadError:
                    continue
            plain.sendall(outgoing.read())
        self.assertIn("TLS", tls.version())
