"""The messages that the system's processes exchange, as types that both sides import.

On the wire, a message is one netstring with a JSON object whose "t" names its type. Times are durations in
seconds, never timestamps, since processes share no clock. Unknown fields are ignored, so that messages of a
newer sender are understood.

The field `life` is the incarnation number of a process: a later start of the same process has a higher one.
In a request it is that of the requester, and the response repeats it, so that a restarted requester can
tell responses to its predecessor apart. `number` identifies a request within an incarnation in the same
way.
"""

from __future__ import annotations

from hashlib import blake2b

import msgspec
from msgspec import Struct

NO_BODY = msgspec.Raw(b"null")  # the body where there is no configuration
READY, DRAINING, GONE = 0, 1, 2  # states of an instance; a state only increases


def body_digest(body: bytes | msgspec.Raw) -> str:
    """Returns a 96-bit digest in hex, which tells two configurations with the same version apart.

    Surrounding white space is ignored, since a body that is sent inside a message loses it.
    """
    return blake2b(bytes(body).strip(), digest_size=12).hexdigest()


class MessageError(ValueError):
    """The payload is not a known message."""


class Hello(Struct, tag="hello", tag_field="t", omit_defaults=True):
    """The first message on a connection.

    role: the program's name; ip: its machine; life: the incarnation of the process; leases: whether the
    process takes part in quota leasing (an older process closes a connection on which it receives such a
    message).
    """

    role: str
    name: str
    ip: str
    zone: str
    life: int
    leases: bool = False


class Ping(Struct, tag="ping", tag_field="t"):
    """Keep-alive; has no content."""


# ---- instances and members: registry to registry, and to ingresses


class Instance(Struct, array_like=True):
    """A backend.

    slots: requests that it processes concurrently; warm_s: remaining warm-up time at the moment of sending.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    state: int
    warm_s: float = 0.0


class Instances(Struct, tag="inst", tag_field="t"):
    """The sender's knowledge of backends.

    number: if not 0, the receiver confirms it with InstancesAck; life: the sender's incarnation.
    """

    entries: list[Instance]
    number: int = 0
    life: int = 0


class InstancesAck(Struct, tag="instances_ack", tag_field="t"):
    """The entries of the Instances message with this number are known to the sender and on its disk.

    life: copied from Instances; contact: whether the sender is connected to a primary that reaches a
    majority, without which its confirmation does not count.
    """

    number: int
    life: int = 0
    contact: bool = False


class Beats(Struct, tag="beats", tag_field="t"):
    """Instances that sent the sender a heartbeat since its last Beats."""

    ids: list[str]


class Silence(Struct, tag="silence", tag_field="t"):
    """Instances whose heartbeats have stopped, and those whose heartbeats have resumed."""

    silent: list[str]
    back: list[str]


class Member(Struct, array_like=True):
    """An ingress proxy. port: on which it accepts connections of other processes of the system."""

    name: str
    ip: str
    port: int
    zone: str
    life: int


class Members(Struct, tag="members", tag_field="t"):
    """Ingress proxies that are running. full: entries is complete, so that any other has left."""

    entries: list[Member]
    gone: list[str] = []
    full: bool = False


class Registries(Struct, tag="registries", tag_field="t"):
    """Registries that the sender has been connected to: zones by address."""

    zones: dict[str, str]


# ---- configurations


class Config(Struct, tag="config", tag_field="t"):
    """A configuration that is in force. body: the operator's JSON, unchanged; digest: body_digest(body)."""

    version: int
    body: msgspec.Raw
    digest: str = ""


class Fresh(Struct, tag="fresh", tag_field="t"):
    """Whether the sender is connected to the store's primary, whose newest configuration is this version."""

    fresh: bool
    version: int
    digest: str = ""


class Write(Struct, tag="write", tag_field="t"):
    """Registry to primary: store this configuration. number, life: repeated in WriteAck."""

    number: int
    version: int
    body: msgspec.Raw
    life: int = 0
    digest: str = ""


class WriteAck(Struct, tag="write_ack", tag_field="t"):
    """Response to Write: every replica has stored this version or a higher one; else why not.

    life: copied from Write; conflict: the version is taken by another body, which has this digest. The write
    can then never succeed and should not be repeated.
    """

    number: int
    ok: bool
    why: str = ""
    life: int = 0
    conflict: bool = False
    digest: str = ""


class Read(Struct, tag="read", tag_field="t"):
    """Registry to primary: a linearizable read of the newest configuration. life: repeated in ReadAck."""

    number: int
    life: int = 0


class ReadAck(Struct, tag="read_ack", tag_field="t"):
    """Response to Read. version 0: there is no configuration yet; below 0: not answered here, see why."""

    number: int
    version: int
    body: msgspec.Raw = NO_BODY
    why: str = ""
    life: int = 0


# ---- between replicas of the store


class Record(Struct, array_like=True):
    """The replicas and the voters of an epoch.

    backups: machines besides the primary that hold every confirmed configuration; voters: empty for the
    initial voters; before: the previous voters, if this record changes them. More than half of each list
    must then have stored the record.
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
    """The state of a replica, sent several times a second.

    active: it is the primary, reaches a majority and confirms writes; blank: it has lost its disk and
    promises nothing; holds: it has everything that was confirmed under its record; voters: whose promises
    count; digest: that of the body of version; life: the incarnation of its process; leaving: the process is
    about to stop and takes no new role; elected: a majority has promised it an epoch, and it sends its
    backups what it has.
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
    """Asks for a promise to follow no primary of a lower epoch. life: repeated in Promise."""

    epoch: int
    life: int = 0


class Promise(Struct, tag="promise", tag_field="t"):
    """Response to Prepare.

    If ok is false, promised is the epoch promised before, or 0 if the current primary is still alive.
    """

    epoch: int
    ok: bool
    promised: int
    record: Record | None
    life: int = 0


class Replicate(Struct, tag="replicate", tag_field="t", omit_defaults=True):
    """Primary to backup: store this configuration under this epoch. version 0: there is none yet.

    whole: this is a snapshot, which replaces the receiver's state and makes it a backup; the body is left
    out if the receiver has reported that it has this digest; taken: versions that are taken, with the
    digests of their bodies (in a snapshot all of them); number, life: repeated in ReplicateAck.
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
    """Response to Replicate: the configuration is on the backup's disk.

    If ok is false, promised is the higher epoch that was promised; or lacks is true, and the body must be
    sent.
    """

    epoch: int
    version: int
    ok: bool
    promised: int
    number: int = 0
    life: int = 0
    lacks: bool = False


class Accept(Struct, tag="accept", tag_field="t"):
    """Primary to voters: store this record as the newest. life: repeated in Accepted."""

    record: Record
    life: int = 0


class Accepted(Struct, tag="accepted", tag_field="t"):
    """Response to Accept: the record is on the voter's disk.

    If ok is false, promised is the higher epoch that was promised.
    """

    epoch: int
    ok: bool
    promised: int
    life: int = 0


class Probe(Struct, tag="probe", tag_field="t"):
    """Primary to voters: is this epoch still the newest? number, life: repeated in ProbeAck."""

    epoch: int
    number: int
    life: int = 0


class ProbeAck(Struct, tag="probe_ack", tag_field="t"):
    """Response to Probe."""

    epoch: int
    number: int
    ok: bool
    life: int = 0


# ---- between ingress proxies


class Share(Struct, array_like=True):
    """Changes in the load that one ingress proxy reports; names are indexes into the sender's name table.

    origin: its machine; out: instances alternating with their numbers of open attempts, as absolute values;
    tag: the last digits of its incarnation; life: the full incarnation, in the sender's first report of it,
    else 0; used: from processes that predate quota leasing; empty.

    If the name of origin is @ followed by a zone, the entry has the sums of that zone: here is the number of
    proxies that report from there, or 0 if it is not given; tag and life are 0.
    """

    origin: int
    tag: int
    out: list[int] = []
    used: list[int] = []
    life: int = 0
    here: int = 0


class Shares(Struct, tag="shares", tag_field="t", omit_defaults=True):
    """Shares of one or more ingress proxies.

    names: entries of the sender's name table from index base on; a base of 0 starts a new table; full: the
    entries are complete, not changes; level: from processes that predate quota leasing; empty.
    """

    entries: list[Share]
    base: int = -1
    names: list[str] = []
    full: bool = False
    level: dict[str, float] = {}


# ---- quotas, between proxies (troutdock.quota)


class TokenDemand(Struct, array_like=True):
    """Tokens that the sender needs now.

    number: increases with each demand of the sender for the tenant; a repeated number is answered again and
    grants nothing new; returning: how many of the tokens are for clients that retry at their assigned time.
    """

    tenant: str
    number: int
    wanted: int
    returning: int = 0


class ReturnedTokens(Struct, array_like=True):
    """Leased tokens that were not spent. term: the term of the owner that leased them."""

    tenant: str
    tokens: int
    term: str


class ChargedRequests(Struct, array_like=True):
    """Requests of a tenant that were sent to a backend without a token."""

    tenant: str
    requests: int


class ShardVote(Struct, array_like=True):
    """A zone's vote for the receiver as owner of a shard. weight: the number of live proxies in the zone."""

    shard: int
    zone: str
    weight: int


class QuotaRequest(Struct, tag="quota_request", tag_field="t", omit_defaults=True):
    """Sent to the next proxy on the route to the owner; idempotent. hops: how often it was forwarded."""

    demands: list[TokenDemand] = []
    votes: list[ShardVote] = []
    hops: int = 0


class QuotaSettlement(Struct, tag="quota_settlement", tag_field="t", omit_defaults=True):
    """Sent on the same route, always over TCP, since it is not idempotent.

    withdrawn: shards for which the sender's zone withdraws its vote for the receiver as owner.
    """

    returned: list[ReturnedTokens] = []
    charged: list[ChargedRequests] = []
    withdrawn: list[int] = []
    hops: int = 0


class TokenGrant(Struct, array_like=True):
    """Response to the demand with this number.

    retry_after_s: time before which another demand will not succeed; term: the owner's, for returning tokens.
    """

    tenant: str
    number: int
    granted: int
    retry_after_s: float = 0.0
    term: str = ""


class QuotaGrant(Struct, tag="quota_grant", tag_field="t"):
    """Leased tokens, sent back on the route that the demands took."""

    grants: list[TokenGrant]


class QuotaHandover(Struct, tag="quota_handover", tag_field="t"):
    """Token buckets of a shard, from an owner that has stopped granting to its successor.

    backed_s: how long votes backed its term, weighted by their part of the fleet; levels: tokens by tenant.
    """

    shard: int
    backed_s: float
    levels: dict[str, float]


class QuotaStatus(Struct, tag="quota_status", tag_field="t"):
    """Whether the sender is so overloaded that other proxies should aggregate and own quotas in its place."""

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
    """Returns the message as the payload of a netstring."""
    return _encoder.encode(message)


def decode(payload: bytes) -> Message:
    """Returns the message in a payload; raises MessageError if it is not a known message."""
    try:
        return _decoder.decode(payload)
    except msgspec.MsgspecError as error:
        raise MessageError(str(error)) from error


# ---- datagrams, between proxies (troutdock.proxy.quota_loop)

INCARNATION_TAG_MODULUS = 10_000  # a datagram has only the last digits of its sender's incarnation


class QuotaDatagram(Struct, array_like=True):
    """A QuotaRequest, a QuotaGrant or both over UDP: on TCP, a lost packet delays everything behind it.

    sender: its name; life_tag: the last digits of its incarnation; both as in its Hello on its TCP
    connection.
    """

    sender: str
    life_tag: int
    demands: list[TokenDemand] = []
    votes: list[ShardVote] = []
    hops: int = 0
    grants: list[TokenGrant] = []


_datagram_decoder = msgspec.json.Decoder(QuotaDatagram)


def encode_datagram(datagram: QuotaDatagram) -> bytes:
    """Returns the datagram as the payload of a netstring."""
    return _encoder.encode(datagram)


def decode_datagram(payload: bytes) -> QuotaDatagram:
    """Returns the datagram in a payload; raises MessageError if it is not one."""
    try:
        return _datagram_decoder.decode(payload)
    except msgspec.MsgspecError as error:
        raise MessageError(str(error)) from error
