"""Adapter to the users' platform: its names, formats and calls, without any decisions.

It decodes all data once into the types of `gateway` and `keyspace`.
"""
