"""MessagePack encoding of the messages between daemons."""

import msgspec
import result

from bramleyworks import errors
from bramleyworks.messages import announce
from bramleyworks.messages import config_delta
from bramleyworks.messages import config_whole
from bramleyworks.messages import heartbeat
from bramleyworks.messages import pull_config
from bramleyworks.messages import slot_ask
from bramleyworks.messages import slot_cancel
from bramleyworks.messages import slot_loan
from bramleyworks.messages import slot_refuse
from bramleyworks.messages import slot_release
from bramleyworks.messages import slot_returned
from bramleyworks.messages import ticket_handover
from bramleyworks.messages import token_ask
from bramleyworks.messages import token_grant
from bramleyworks.messages import version_cut

MAX_MESSAGE_BYTES = 2 * 1024 * 1024

Message = (
    announce.Announce
    | config_delta.ConfigDelta
    | config_whole.ConfigWhole
    | heartbeat.Heartbeat
    | pull_config.PullConfig
    | slot_ask.SlotAsk
    | slot_cancel.SlotCancel
    | slot_loan.SlotLoan
    | slot_refuse.SlotRefuse
    | slot_release.SlotRelease
    | slot_returned.SlotReturned
    | ticket_handover.TicketHandover
    | token_ask.TokenAsk
    | token_grant.TokenGrant
    | version_cut.VersionCut
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def encode(msg: Message) -> bytes:
    """Returns the message as tagged MessagePack."""
    return _ENCODER.encode(msg)


def decode(
    data: bytes, peer: str
) -> result.Result[Message, errors.MessageError]:
    """Decodes one message received from ``peer``."""
    if len(data) > MAX_MESSAGE_BYTES:
        return result.Err(
            errors.MessageError(
                "message.decode",
                peer,
                f"{len(data)} bytes exceed the largest size",
            )
        )
    try:
        return result.Ok(_DECODER.decode(data))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        return result.Err(errors.MessageError("message.decode", peer, str(exc)))
