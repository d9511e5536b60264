"""Entry point of the daemon process, started with validated settings as JSON.

The memory budget of the process is 32 MB, and its libraries import modules that are
not needed here. Sizes given below are resident set sizes.
"""

import ctypes
import gc
import json
import sys
import types


def _disable_http2_import():
    # httpcore imports its HTTP/2 support, 1.3 MB, if h2 is installed; requests to
    # targets use HTTP/1.1 only.
    sys.modules["h2"] = None


def _replace_ssl_module():
    # Agents use plain TCP and authenticate by HMAC, which hashlib implements
    # without OpenSSL. OpenSSL takes 4.8 MB; trio and httpcore only refer to these
    # classes in signatures and except clauses.
    sys.modules["_hashlib"] = None
    ssl = types.ModuleType("ssl")
    ssl.SSLContext = ssl.SSLObject = object
    ssl.SSLError = ssl.SSLEOFError = ssl.CertificateError = OSError
    sys.modules["ssl"] = ssl


def _trim_heap():
    # Without cached bytecode, compiling the imported modules leaves 10 MB of free
    # memory in the C heap. malloc_trim exists in glibc only.
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)


def main():
    """Run the agent and exit with its exit code."""
    raw = json.loads(sys.argv[1])
    _disable_http2_import()
    if not raw.get("metrics_address"):
        # prometheus_client needs the real ssl module.
        _replace_ssl_module()
    import trio

    from hornbeamshore.agent import daemon
    from hornbeamshore.agent.settings import AgentSettings
    from hornbeamshore.base.settings import convert, read_secret

    cfg = convert(raw, AgentSettings)
    gc.collect()
    # Excludes the objects created by the imports from garbage collection.
    gc.freeze()
    _trim_heap()
    sys.exit(trio.run(daemon.serve, cfg, read_secret(cfg.secret_file)))


if __name__ == "__main__":
    main()
