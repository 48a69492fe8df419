"""One incarnation of an instance: everything that ends when the instance is fenced."""

from __future__ import annotations
