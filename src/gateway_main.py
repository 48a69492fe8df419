"""Entry point of the gateway on the platform; run it from this folder so that imports resolve."""

from __future__ import annotations

from hyssopwood.platform.program import main

if __name__ == "__main__":
    main()
