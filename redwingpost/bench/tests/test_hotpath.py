"""The settings and configuration of hotpath are valid at any size."""

from json import dumps
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from redwingpost.bench.hotpath import Site
from redwingpost.configuration.parse import parse_configuration
from redwingpost.settings import load_settings
from redwingpost.standin.settings import parse_group


class SiteTest(TestCase):
    def test_files_are_valid(self):
        for organisations, groups in ((1, 1), (8, 3), (1000, 100)):
            with self.subTest(organisations=organisations, groups=groups):
                with TemporaryDirectory() as name:
                    site = Site(Path(name), organisations, groups)
                    group, proxy = site.write_files()
                    parsed = parse_group(Path(group).read_text(), group)
                    self.assertTrue(parsed.is_ok(), parsed)
                    parsed = load_settings(proxy)
                    self.assertTrue(parsed.is_ok(), parsed)
                    body = dumps(site.configuration()).encode()
                    configuration = parse_configuration(body)
                    self.assertTrue(configuration.is_ok(), configuration)
