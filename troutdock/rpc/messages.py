"""All that the system's processes say to each other, as types that both sides import.

On the wire each is one netstring with a JSON object whose "t" names its type. Times are seconds, and spans,
never moments: processes share no clock. An unknown field is dropped, so that a newer sender is understood.
"""

from __future__ import annotations

from hashlib import blake2b

import msgspec
from msgspec import Struct

NO_BODY = msgspec.Raw(b"null")  # in place of a configuration
READY, DRAINING, GONE = 0, 1, 2  # states of an instance; they rise only


def body_digest(body: bytes | msgspec.Raw) -> str:
    """What tells two configurations of one number apart: 96 bits of the operator's own bytes, in hex.

    White space round them does not count: a body that travels inside a message loses it.
    """
    return blake2b(bytes(body).strip(), digest_size=12).hexdigest()


class MessageError(ValueError):
    """The payload is none of the messages that both sides know."""


class Hello(Struct, tag="hello", tag_field="t", omit_defaults=True):
    """The first on a connection. role: a program's name; ip: its machine; life: of this process, a number.

    leases: it takes part in the leases of quotas; a process of before them would end the link at one.
    """

    role: str
    name: str
    ip: str
    zone: str
    life: int
    leases: bool = False


class Ping(Struct, tag="ping", tag_field="t"):
    """Nothing but a sign of life."""


# ---- instances and members: registry to registry, and to ingresses


class Instance(Struct, array_like=True):
    """A backend.

    warm_s: how much longer it is slow, when this was said; slots: requests it works on at once.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    state: int
    warm_s: float = 0.0


class Instances(Struct, tag="inst", tag_field="t"):
    """What is known of backends.

    number: to be confirmed with InstancesAck, where it is not 0; life: of the process that asks for it.
    """

    entries: list[Instance]
    number: int = 0
    life: int = 0


class InstancesAck(Struct, tag="instances_ack", tag_field="t"):
    """The Instances of this number are known here now, and on this disk.

    life: of who asked, as Instances told it. contact: the sender is in touch with a primary that reaches a
    majority, so that its word counts.
    """

    number: int
    life: int = 0
    contact: bool = False


class Beats(Struct, tag="beats", tag_field="t"):
    """Instances that have called the sender since it last told."""

    ids: list[str]


class Silence(Struct, tag="silence", tag_field="t"):
    """Instances whose calls have stopped, and those whose calls have come again."""

    silent: list[str]
    back: list[str]


class Member(Struct, array_like=True):
    """An ingress. port: of its side of the system's own protocol."""

    name: str
    ip: str
    port: int
    zone: str
    life: int


class Members(Struct, tag="members", tag_field="t"):
    """Ingresses that are there. full: all that the sender knows, so that others are gone."""

    entries: list[Member]
    gone: list[str] = []
    full: bool = False


class Registries(Struct, tag="registries", tag_field="t"):
    """Registries that the sender has met: zones by address."""

    zones: dict[str, str]


# ---- configurations


class Config(Struct, tag="config", tag_field="t"):
    """A configuration that is in force. body: the operator's own bytes, JSON; digest: body_digest(body)."""

    version: int
    body: msgspec.Raw
    digest: str = ""


class Fresh(Struct, tag="fresh", tag_field="t"):
    """Whether the sender is in touch with the store's primary, whose newest configuration is this version."""

    fresh: bool
    version: int
    digest: str = ""


class Write(Struct, tag="write", tag_field="t"):
    """Registry to primary: keep this. number, life: of the call and its caller, for WriteAck."""

    number: int
    version: int
    body: msgspec.Raw
    life: int = 0
    digest: str = ""


class WriteAck(Struct, tag="write_ack", tag_field="t"):
    """It is kept on every copy, or a higher version is; else why it is not.

    life: the caller's. conflict: its number is taken by another body, whose digest is told: it will never be
    kept, and asking again is of no use.
    """

    number: int
    ok: bool
    why: str = ""
    life: int = 0
    conflict: bool = False
    digest: str = ""


class Read(Struct, tag="read", tag_field="t"):
    """Registry to primary: which configuration is the newest, proven now? life: the caller's, for ReadAck."""

    number: int
    life: int = 0


class ReadAck(Struct, tag="read_ack", tag_field="t"):
    """version 0: there is none yet; below 0: not to be told here, and why."""

    number: int
    version: int
    body: msgspec.Raw = NO_BODY
    why: str = ""
    life: int = 0


# ---- replicas of the store among themselves


class Record(Struct, array_like=True):
    """Who keeps the configurations under an epoch, and whose promises count.

    backups: machines that hold every confirmed configuration beside the primary. voters: none for those of
    the founding. before: who voted until this record, where it changes that; more than half of each list must
    have written it down.
    """

    epoch: int
    primary: str
    backups: list[str]
    voters: list[str] = []
    before: list[str] = []

    @property
    def replicas(self) -> list[str]:
        """The machines that hold every confirmed configuration."""
        return [self.primary, *self.backups]


class Status(Struct, tag="status", tag_field="t", omit_defaults=True):
    """What a replica is, several times a second; active: it is the primary, reaches a majority and confirms.

    blank: it has lost its disk and promises nothing; holds: all that was confirmed under its record is there;
    voters: whose promises count; digest: of the body under version; life: of its process; leaving: its
    process is about to end, so that nothing new is given to it; elected: a majority has promised it an epoch,
    and it gives its backups what it has.
    """

    promised: int
    record: Record | None
    version: int
    active: bool
    blank: bool
    holds: bool
    voters: list[str]
    leaving: bool = False
    digest: str = ""
    life: int = 0
    elected: bool = False


class Prepare(Struct, tag="prepare", tag_field="t"):
    """Promise to follow nobody below this epoch. life: of who asks, for the answer."""

    epoch: int
    life: int = 0


class Promise(Struct, tag="promise", tag_field="t"):
    """The answer to Prepare; ok false: promised tells what was promised before, 0 that the primary lives."""

    epoch: int
    ok: bool
    promised: int
    record: Record | None
    life: int = 0


class Replicate(Struct, tag="replicate", tag_field="t", omit_defaults=True):
    """Primary to backup: keep this under this epoch. version 0: there is no configuration yet.

    whole: it takes the place of whatever is there (a snapshot), and the receiver is a backup from now on; its
    body is left out where the receiver has said that it has that digest. taken: numbers that are taken from
    now on, with the digests of their bodies; of a snapshot all. number, life: for the answer.
    """

    epoch: int
    version: int
    body: msgspec.Raw
    whole: bool
    digest: str = ""
    taken: list[tuple[int, str]] = []
    number: int = 0
    life: int = 0


class ReplicateAck(Struct, tag="replicate_ack", tag_field="t", omit_defaults=True):
    """It is on the backup's disk; ok false: promised tells why not, or lacks: its body has to come too."""

    epoch: int
    version: int
    ok: bool
    promised: int
    number: int = 0
    life: int = 0
    lacks: bool = False


class Accept(Struct, tag="accept", tag_field="t"):
    """Keep this record as the newest. life: of who asks, for the answer."""

    record: Record
    life: int = 0


class Accepted(Struct, tag="accepted", tag_field="t"):
    """The record is on the voter's disk; ok false: promised tells why not."""

    epoch: int
    ok: bool
    promised: int
    life: int = 0


class Probe(Struct, tag="probe", tag_field="t"):
    """Primary to voters: is this epoch still the newest? number, life: for the answer."""

    epoch: int
    number: int
    life: int = 0


class ProbeAck(Struct, tag="probe_ack", tag_field="t"):
    """The answer to Probe."""

    epoch: int
    number: int
    ok: bool
    life: int = 0


# ---- ingresses among themselves


class Share(Struct, array_like=True):
    """What one ingress has told of itself since the last time, with names as numbers of the sender's table.

    origin: its machine. out: instances and their open attempts, as numbers that hold now. tag: the last
    digits of the life of its process; life: all of them, where the sender tells of that life for the first
    time. used: of processes before quotas were leased; empty.

    Where origin is @ and a zone, these are sums of that zone: here is how many ingresses are heard there, 0
    where that is not told; tag and life are 0.
    """

    origin: int
    tag: int
    out: list[int] = []
    used: list[int] = []
    life: int = 0
    here: int = 0


class Shares(Struct, tag="shares", tag_field="t", omit_defaults=True):
    """Shares of one or several ingresses. names: the sender's table from base on; a base of 0 begins it anew.

    full: all of each; level: of processes before quotas were leased; empty.
    """

    entries: list[Share]
    base: int = -1
    names: list[str] = []
    full: bool = False
    level: dict[str, float] = {}


# ---- quotas: proxies among themselves (troutdock.quota)


class TokenDemand(Struct, array_like=True):
    """Tokens that the sender needs now.

    number: of the sender, rising for each tenant, for the answer: a demand that comes again under its number
    is answered again and grants nothing new. returning: how many are for clients at their appointed time.
    """

    tenant: str
    number: int
    wanted: int
    returning: int = 0


class ReturnedTokens(Struct, array_like=True):
    """Leased tokens that were not spent. term: of the owner that leased them."""

    tenant: str
    tokens: int
    term: str


class ChargedRequests(Struct, array_like=True):
    """Requests of a tenant that were sent to a backend without a token."""

    tenant: str
    requests: int


class ShardVote(Struct, array_like=True):
    """A zone takes the receiver for the owner of a shard; weight: its live proxies."""

    shard: int
    zone: str
    weight: int


class QuotaRequest(Struct, tag="quota_request", tag_field="t", omit_defaults=True):
    """To the next proxy on the way to the owner; harmless when it comes twice. hops: how often passed on."""

    demands: list[TokenDemand] = []
    votes: list[ShardVote] = []
    hops: int = 0


class QuotaSettlement(Struct, tag="quota_settlement", tag_field="t", omit_defaults=True):
    """On the same way, on a link, as it counts each time that it comes.

    withdrawn: shards of which the sender's zone takes the receiver for the owner no more.
    """

    returned: list[ReturnedTokens] = []
    charged: list[ChargedRequests] = []
    withdrawn: list[int] = []
    hops: int = 0


class TokenGrant(Struct, array_like=True):
    """The answer to the demand of that number.

    retry_after_s: so long asking again is of no use; term: the owner's, for handing tokens back.
    """

    tenant: str
    number: int
    granted: int
    retry_after_s: float = 0.0
    term: str = ""


class QuotaGrant(Struct, tag="quota_grant", tag_field="t"):
    """Leased tokens, back on the way that the demands have come."""

    grants: list[TokenGrant]


class QuotaHandover(Struct, tag="quota_handover", tag_field="t"):
    """An owner's buckets, from one that grants nothing of that shard any more to the next.

    backed_s: for how long its term was backed, by the part of the fleet; levels: tokens by tenant.
    """

    shard: int
    backed_s: float
    levels: dict[str, float]


class QuotaStatus(Struct, tag="quota_status", tag_field="t"):
    """Whether the sender handles messages so late that others should aggregate and own in its place."""

    busy: bool


Message = (
    Hello
    | Ping
    | Instances
    | InstancesAck
    | Beats
    | Silence
    | Members
    | Registries
    | Config
    | Fresh
    | Write
    | WriteAck
    | Read
    | ReadAck
    | Status
    | Prepare
    | Promise
    | Replicate
    | ReplicateAck
    | Accept
    | Accepted
    | Probe
    | ProbeAck
    | Shares
    | QuotaRequest
    | QuotaGrant
    | QuotaSettlement
    | QuotaHandover
    | QuotaStatus
)

_encoder = msgspec.json.Encoder()
_decoder: msgspec.json.Decoder[Message] = msgspec.json.Decoder(Message)


def encode(message: Message) -> bytes:
    """The payload of a netstring."""
    return _encoder.encode(message)


def decode(payload: bytes) -> Message:
    """The message of a payload; MessageError if it is none."""
    try:
        return _decoder.decode(payload)
    except msgspec.MsgspecError as error:
        raise MessageError(str(error)) from error


# ---- datagrams: proxies among themselves (troutdock.proxy.quota_loop)

INCARNATION_TAG_MODULUS = 10_000  # a datagram names its sender's life by the last digits


class QuotaDatagram(Struct, array_like=True):
    """A QuotaRequest, a QuotaGrant, or both, outside the links: a lost packet on one holds up all behind it.

    sender: its name; life_tag: of its life, both as its Hello on its link told them.
    """

    sender: str
    life_tag: int
    demands: list[TokenDemand] = []
    votes: list[ShardVote] = []
    hops: int = 0
    grants: list[TokenGrant] = []


_datagram_decoder = msgspec.json.Decoder(QuotaDatagram)


def encode_datagram(datagram: QuotaDatagram) -> bytes:
    """The payload of a netstring."""
    return _encoder.encode(datagram)


def decode_datagram(payload: bytes) -> QuotaDatagram:
    """The datagram of a payload; MessageError if it is none."""
    try:
        return _datagram_decoder.decode(payload)
    except msgspec.MsgspecError as error:
        raise MessageError(str(error)) from error
