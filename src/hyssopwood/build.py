"""Identity of the build that a process runs."""

from __future__ import annotations

import sys
from functools import cache
from hashlib import blake2b
from pathlib import Path

# Bytes of the digest; two builds of one deployment share an identity by chance in 1 of 2**48 cases.
DIGEST_BYTES = 6
SOURCE_SUFFIXES = frozenset({".py", ".capnp"})


def digest_sources(folder: Path) -> str:
    """Return a digest of the names and contents of all source files below a folder."""
    digest = blake2b(digest_size=DIGEST_BYTES)
    files = (item for item in folder.rglob("*") if item.suffix in SOURCE_SUFFIXES)
    for name, file in sorted((item.relative_to(folder).as_posix(), item) for item in files):
        data = file.read_bytes()
        digest.update(f"{name}\0{len(data)}\0".encode())
        digest.update(data)
    return digest.hexdigest()


@cache
def build_id() -> str:
    """Return the identity of this build; it depends on the package's source files only."""
    return digest_sources(Path(__file__).parent)


if __name__ == "__main__":
    sys.stdout.write(f"{build_id()}\n")
