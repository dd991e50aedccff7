"""Protocol: messages exchanged with callers, upstreams, peers and the platform."""

from crocusbay.protocol.codec import from_json, from_msgpack, to_json, to_msgpack

__all__ = ["from_json", "from_msgpack", "to_json", "to_msgpack"]
