"""Callers over TLS, with a real driver."""

from pathlib import Path
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
        # Somebody between a parish and the proxy shows a certificate of
        # his own. The driver must break off before it proves its key.
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
