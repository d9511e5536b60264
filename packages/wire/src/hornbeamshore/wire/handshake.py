"""Mutual authentication of two processes with the shared secret of a deployment.

Each process proves knowledge of the secret with an HMAC over both nonces and both
identities, so that a recorded handshake cannot be replayed and a process of another
deployment is rejected.
"""

import hashlib
import hmac
import os
from dataclasses import dataclass

from hornbeamshore.base.codes import ResultCode
from hornbeamshore.wire.messages import (
    PROTOCOL_VERSION,
    Challenge,
    Hello,
    Proof,
    Reject,
    Welcome,
)

NONCE_BYTES = 16
HANDSHAKE_TIMEOUT_S = 5.0
# Limits the memory that an unauthenticated peer, such as a port scanner, can allocate.
MAX_HANDSHAKE_FRAME_BYTES = 4096


class HandshakeError(Exception):
    """A peer failed authentication or violated the handshake protocol."""


@dataclass(frozen=True, slots=True)
class Identity:
    """Identity of a process, sent to its peers in the handshake."""

    deployment: str
    kind: str
    process_id: str
    incarnation: int
    data_centre: str
    rack: str = ""
    address: str = ""


async def initiate(send, receive, identity, secret):
    """Perform the handshake as the connecting process.

    Parameters
    ----------
    send, receive : coroutine functions
        Send and receive one message body.
    identity : Identity
        Identity of this process.
    secret : bytes
        Secret shared by all processes of the deployment.

    Returns
    -------
    Identity
        Identity of the accepting process.

    Raises
    ------
    HandshakeError
        If the peer rejects this process or fails authentication.
    """
    hello = _make_hello(identity, os.urandom(NONCE_BYTES))
    await send(hello)
    challenge = await receive()
    _raise_if_rejected(challenge)
    if not isinstance(challenge, Challenge):
        raise HandshakeError("expected a Challenge message")
    expected = _compute_proof(secret, b"accept", hello, challenge)
    if not hmac.compare_digest(expected, challenge.proof):
        raise HandshakeError(f"{challenge.process_id} sent an invalid proof")
    await send(Proof(_compute_proof(secret, b"open", hello, challenge)))
    welcome = await receive()
    _raise_if_rejected(welcome)
    if not isinstance(welcome, Welcome):
        raise HandshakeError("expected a Welcome message")
    return _peer_identity(identity.deployment, challenge)


async def accept(send, receive, identity, secret):
    """Perform the handshake as the accepting process.

    Returns
    -------
    Identity
        Identity of the connecting process.

    Raises
    ------
    HandshakeError
        If the peer belongs to another deployment or fails authentication, after
        sending it a `Reject`; or if its first message is not a `Hello`.
    """
    hello = await receive()
    if not isinstance(hello, Hello):
        raise HandshakeError("expected a Hello message")
    if hello.deployment != identity.deployment:
        await _reject_peer(send, f"deployment {hello.deployment!r} is not served here")
    nonce = os.urandom(NONCE_BYTES)
    challenge = _make_challenge(identity, nonce, b"")
    proof = _compute_proof(secret, b"accept", hello, challenge)
    await send(_make_challenge(identity, nonce, proof))
    response = await receive()
    expected = _compute_proof(secret, b"open", hello, challenge)
    if not isinstance(response, Proof) or not hmac.compare_digest(
        expected, response.proof
    ):
        await _reject_peer(send, f"{hello.process_id} sent an invalid proof")
    await send(Welcome())
    return _peer_identity(hello.deployment, hello)


async def _reject_peer(send, detail):
    await send(Reject(int(ResultCode.PEER_REJECTED), detail))
    raise HandshakeError(detail)


def _raise_if_rejected(body):
    if isinstance(body, Reject):
        raise HandshakeError(f"rejected by peer: {body.detail}")


def _make_hello(identity, nonce):
    return Hello(
        identity.deployment,
        identity.kind,
        identity.process_id,
        identity.incarnation,
        PROTOCOL_VERSION,
        identity.data_centre,
        identity.rack,
        identity.address,
        nonce,
    )


def _make_challenge(identity, nonce, proof):
    return Challenge(
        identity.kind,
        identity.process_id,
        identity.incarnation,
        PROTOCOL_VERSION,
        identity.data_centre,
        identity.rack,
        identity.address,
        nonce,
        proof,
    )


def _peer_identity(deployment, body):
    return Identity(
        deployment,
        body.kind,
        body.process_id,
        body.incarnation,
        body.data_centre,
        body.rack,
        body.address,
    )


def _compute_proof(secret, role, hello, challenge):
    parts = [role, hello.nonce, challenge.nonce, hello.deployment.encode()]
    for body in (hello, challenge):
        identity_text = "\0".join(
            (body.kind, body.process_id, str(body.incarnation), body.data_centre)
        )
        parts.append(identity_text.encode())
    message = b"".join(len(part).to_bytes(4, "big") + part for part in parts)
    return hmac.new(secret, message, hashlib.sha256).digest()
