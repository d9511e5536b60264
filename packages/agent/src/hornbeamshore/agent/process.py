"""Process of the daemon, started by `main` with checked settings as JSON.

The process has 32 MB, and its libraries import more than they use here. What is
left out below was measured as resident size.
"""

import ctypes
import gc
import json
import sys
import types


def _leave_out_http2():
    # httpcore imports its HTTP/2 half, 1.3 MB, wherever h2 is installed; targets
    # are called over HTTP/1.1.
    sys.modules["h2"] = None


def _leave_out_openssl():
    # Agents speak plain TCP and prove themselves by HMAC, for which hashlib has
    # code of its own. OpenSSL takes 4.8 MB; trio and httpcore only name these
    # classes in signatures and except clauses.
    sys.modules["_hashlib"] = None
    ssl = types.ModuleType("ssl")
    ssl.SSLContext = ssl.SSLObject = object
    ssl.SSLError = ssl.SSLEOFError = ssl.CertificateError = OSError
    sys.modules["ssl"] = ssl


def _return_free_memory():
    # Where no byte code is cached, compiling the imports leaves 10 MB of free
    # memory in the heap of the C library. Other libraries than glibc lack this call.
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)


def main():
    """Run the agent and end the process with its exit code."""
    raw = json.loads(sys.argv[1])
    _leave_out_http2()
    if not raw.get("metrics_address"):
        # prometheus_client needs the real module.
        _leave_out_openssl()
    import trio

    from hornbeamshore.agent import daemon
    from hornbeamshore.agent.settings import AgentSettings, read_secret
    from hornbeamshore.base.settings import convert

    cfg = convert(raw, AgentSettings)
    gc.collect()
    # Collections need not look at what the imports left behind.
    gc.freeze()
    _return_free_memory()
    sys.exit(trio.run(daemon.serve, cfg, read_secret(cfg.secret_file)))


if __name__ == "__main__":
    main()
