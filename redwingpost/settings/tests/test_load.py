"""Tests of reading settings files."""

from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from redwingpost.core import Code
from redwingpost.settings import load_settings, parse_settings

VM = '[vm]\nname = "vm-1"\ndata_centre = "lima-1"\nip = "127.1.1.1"\n'
SECRET = "0123456789abcdef"


class ParseSettingsTest(TestCase):
    def test_messages_name_key_and_what_is_allowed(self):
        table = [
            ("", "vm: the table [vm] is missing"),
            ("[vm]\nname=1", "vm.name: allowed: a string; got 1"),
            ('[vm]\nname="a"', "vm.data_centre: missing"),
            (VM + "[prxy]\n", "did you mean 'proxy'?"),
            (VM + "[proxy]\ncaller_prt=1", "did you mean 'caller_port'?"),
            (VM + "[proxy]\npeer_port=70000", "from 0 to 65535; got 70000"),
            (VM + "[proxy]\npeer_port=true", "allowed: a whole number"),
            (VM + '[log]\nlevel="LOUD"', "one of TRACE, DEBUG"),
            (VM + "[fleet]\nkey_confirmation_s=0", "seconds above 0"),
            (VM + '[fleet]\ntoken_secrets="x"', "a list of strings"),
            (VM + '[platform]\nurl="ftp://x"', "http(s)://"),
            (VM + '[tls]\nauthority="a"', "tls.certificate: missing"),
            (VM + "faults=", "not TOML"),
            ("faults=1\n" + VM, "allowed: a table [faults]"),
        ]
        for text, expected in table:
            with self.subTest(text=text):
                refusal = parse_settings(text, Path("f.toml")).error
                self.assertEqual(refusal.code, Code.SETTINGS_INVALID)
                self.assertIn(expected, refusal.detail)
                self.assertTrue(refusal.detail.startswith("f.toml: "))

    def test_a_refused_secret_is_not_repeated(self):
        text = VM + '[fleet]\ntoken_secrets = ["hush"]'
        refusal = parse_settings(text, Path("f.toml")).error
        self.assertNotIn("hush", refusal.detail)

    def test_defaults(self):
        settings = parse_settings(VM, Path("f.toml")).ok
        self.assertEqual(settings.vm.ip, "127.1.1.1")
        self.assertIsNone(settings.tls)
        self.assertEqual(settings.fleet.key_confirmation_s, 600.0)


class LoadSettingsTest(TestCase):
    def test_files_are_relative_to_the_settings(self):
        tls = '[tls]\ncertificate="c"\nprivate_key="k"\nauthority="a"\n'
        fleet = '[fleet]\ntoken_secrets_file = "secrets"\n'
        with TemporaryDirectory() as folder:
            path = Path(folder) / "vm.toml"
            path.write_text(VM + tls + fleet)
            (Path(folder) / "secrets").write_text(SECRET + "\n")
            settings = load_settings(path).ok
        self.assertEqual(settings.tls.certificate, str(path.parent / "c"))
        self.assertEqual(settings.tls.caller_certificate, "")
        self.assertEqual(settings.fleet.token_secrets, (SECRET,))

    def test_missing_files(self):
        self.assertTrue(load_settings("/nowhere/vm.toml").is_error())
        text = VM + '[fleet]\ntoken_secrets_file = "nowhere"'
        refusal = parse_settings(text, Path("/nowhere/vm.toml")).error
        self.assertIn("fleet.token_secrets_file", refusal.detail)
