"""Tests of the package as a whole."""
