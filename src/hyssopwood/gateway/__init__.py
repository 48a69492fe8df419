"""The gateway daemon: callers' connections, admission, dispatch and connections to servers."""
