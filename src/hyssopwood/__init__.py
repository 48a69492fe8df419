"""A router for backend servers that own keys exclusively."""

__version__ = "0.1.0"

__all__ = ["__version__"]
