"""Protocol: messages exchanged with callers, upstreams, peers and the platform."""

from crocusbay.protocol.codec import from_json, from_pack, to_json, to_pack

__all__ = ["from_json", "from_pack", "to_json", "to_pack"]
