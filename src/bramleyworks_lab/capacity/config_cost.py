"""Cost of a document and its deltas, by number of upstreams."""

import zlib

from bramleyworks.document import codec
from bramleyworks.document import delta
from bramleyworks.document import validation
from bramleyworks_lab.capacity import cost
from bramleyworks_lab.capacity import measurement
from bramleyworks_lab.capacity import synthetic

UPSTREAMS = (100, 1000, 4000)
TINY_UPSTREAMS = (8, 16, 32)


def _stored_bytes(count: int) -> float:
    return float(len(codec.encode_stored(synthetic.stored(count))))


def _compressed_bytes(count: int) -> float:
    data = codec.encode_stored(synthetic.stored(count))
    return float(len(zlib.compress(data)))


def _retained_bytes(count: int) -> float:
    data = codec.encode_stored(synthetic.stored(count))
    return cost.retained_bytes(lambda: codec.decode_stored(data).unwrap())


def _validate_us(count: int) -> float:
    doc = synthetic.stored(count).doc
    return cost.cpu_us(lambda: validation.check(doc, 1.8e9))


def _decode_us(count: int) -> float:
    data = codec.encode_stored(synthetic.stored(count))
    return cost.cpu_us(lambda: codec.decode_stored(data).unwrap())


def _make_us(count: int) -> float:
    old = synthetic.stored(count)
    new = synthetic.stored(count, 2, changed=True)
    return cost.cpu_us(lambda: delta.make(old, new))


def _apply_us(count: int) -> float:
    old = synthetic.stored(count)
    ops = delta.make(old, synthetic.stored(count, 2, changed=True))

    def apply() -> None:
        delta.digest(delta.apply(old, ops).unwrap())

    return cost.cpu_us(apply)


def _delta_bytes(count: int) -> float:
    old = synthetic.stored(count)
    return float(len(delta.make(old, synthetic.stored(count, 2, True))))


MEASUREMENTS = tuple(
    measurement.Measurement(
        name,
        "configuration relay",
        "upstreams",
        unit,
        UPSTREAMS,
        TINY_UPSTREAMS,
        run,
    )
    for name, unit, run in (
        ("document-stored-bytes", "bytes", _stored_bytes),
        ("document-compressed-bytes", "bytes", _compressed_bytes),
        ("document-kept-bytes", "bytes", _retained_bytes),
        ("document-validate", "us", _validate_us),
        ("document-decode", "us", _decode_us),
        ("delta-make", "us", _make_us),
        ("delta-apply", "us", _apply_us),
        ("delta-bytes", "bytes", _delta_bytes),
    )
)
