"""Decodes items of the store into updates of the gateway's state."""

import msgspec
from absl import logging

from bramleyworks.gateway import store_updates
from bramleyworks.gateway import vm
from bramleyworks.platform import kv_item
from bramleyworks.platform import store_keys
from bramleyworks.platform import wire_config
from bramleyworks.platform import wire_json
from bramleyworks.platform import wire_move
from bramleyworks.platform import wire_upstream


def decode(item: kv_item.KvItem) -> store_updates.Update | None:
    """Decodes one item.

    A malformed item is logged and counts as absent; a malformed configuration
    is skipped, so that the last valid one stays in force.

    Returns:
        The update, None if the item is not used.
    """
    key = item.key
    if key == store_keys.CONFIG:
        return _config(item)
    if key.startswith(store_keys.UPSTREAMS):
        return _instance(item, key[len(store_keys.UPSTREAMS) :])
    if key.startswith(store_keys.EVACUATIONS):
        domain = key[len(store_keys.EVACUATIONS) :]
        return store_updates.EvacuationUpdate(domain, item.value is not None)
    if key.startswith(store_keys.MOVE_ORDERS):
        service = key[len(store_keys.MOVE_ORDERS) :]
        return store_updates.MoveOrderUpdate(
            service, _value(item, wire_move.decode_order)
        )
    if key.startswith(store_keys.MOVE_STATES):
        service = key[len(store_keys.MOVE_STATES) :]
        return store_updates.MoveStateUpdate(
            service, _value(item, wire_move.decode_state)
        )
    if key.startswith(store_keys.VMS):
        return store_updates.VmUpdate(key[len(store_keys.VMS) :], _vm(item))
    return None


def compare(known: bytes, item: kv_item.KvItem) -> int | None:
    """Compares the ages of an item and a value of the same key.

    Args:
        known: The value.
        item: The item.

    Returns:
        Below 0 if the item is older, 0 if it is as old, above 0 if it is newer;
        None if they do not tell.
    """
    if item.value is None:
        return None
    if item.key == store_keys.CONFIG:
        read = wire_config.read_version
    elif item.key.startswith(store_keys.UPSTREAMS):
        read = wire_upstream.report_order
    elif item.key.startswith(store_keys.VMS):
        read = _vm_start
    elif item.key.startswith(store_keys.MOVE_STATES):
        return wire_move.compare_states(known, item.value)
    else:
        return None
    known_order, order = read(known), read(item.value)
    if known_order is None or order is None:
        return None
    return (order > known_order) - (order < known_order)


def _vm_start(raw: bytes) -> int | None:
    try:
        return wire_json.decode(raw, vm.Vm).incarnation
    except msgspec.DecodeError:
        # Logged where the registration is decoded.
        return None


def encode_vm(entry: vm.Vm) -> bytes:
    """Encodes an entry VM's registration."""
    return msgspec.json.encode(entry)


def _config(item: kv_item.KvItem) -> store_updates.ConfigUpdate | None:
    if item.value is None:
        return None
    decoded = wire_config.decode(item.value, "store")
    if decoded.is_err():
        logging.error("%s", decoded.unwrap_err())
        return None
    return store_updates.ConfigUpdate(decoded.unwrap())


def _instance(
    item: kv_item.KvItem, instance_id: str
) -> store_updates.InstanceUpdate:
    upstream = None
    if item.value is not None:
        decoded = wire_upstream.decode(instance_id, item.value)
        if decoded.is_ok():
            upstream = decoded.unwrap()
        else:
            logging.warning("%s", decoded.unwrap_err())
    return store_updates.InstanceUpdate(instance_id, upstream, item.revision)


def _value(item: kv_item.KvItem, decode_value):
    if item.value is None:
        return None
    decoded = decode_value(item.value)
    if decoded.is_err():
        logging.warning("%s: %s", item.key, decoded.unwrap_err())
        return None
    return decoded.unwrap()


def _vm(item: kv_item.KvItem) -> vm.Vm | None:
    if item.value is None:
        return None
    try:
        entry = wire_json.decode(item.value, vm.Vm)
        entry.check()
        if entry.id != item.key.removeprefix(store_keys.VMS):
            raise ValueError(f"the entry is of another VM, {entry.id!r:.40}")
    except (msgspec.DecodeError, ValueError) as exc:
        logging.warning("%s: %s", item.key, exc)
        return None
    return entry
