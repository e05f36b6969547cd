"""Table transactions that propose, accept and withdraw a change."""

from arbutuspulley.configuration.changes import (
    HEAD_KEY,
    AcceptedProposal,
    Change,
    Head,
    Proposal,
    build_accepted_key,
    build_change_key,
    build_proposal_key,
    encode,
)
from arbutuspulley.ports.platform import ABSENT, Precondition, Transaction, Write


def build_approval(
    change: Change,
    *,
    head_revision: int,
    proposal_revision: int,
    expired: Change | None,
) -> Transaction:
    """Return the transaction that accepts a change.

    The token is derived from the proposal: if the reply is lost and the operator
    approves again, the token in the change's row shows that the first approval took
    effect. The change's row is the first write because it is never overwritten, so the
    token stays readable there regardless of later changes.

    :param head_revision: expected revision of the head row.
    :param proposal_revision: expected revision of the proposal's row.
    :param expired: the change whose rows are to be deleted, if any.
    """
    key = build_change_key(change.version)
    accepted = AcceptedProposal(
        version=change.version, digest=change.digest, approver=change.approver
    )
    head = Head(version=change.version, digest=change.digest)
    writes = [
        Write(key=key, value=encode(change)),
        Write(key=HEAD_KEY, value=encode(head)),
        Write(key=build_accepted_key(change.proposal), value=encode(accepted)),
        Write(key=build_proposal_key(change.proposal), value=None),
    ]
    if expired is not None:
        writes.append(Write(key=build_change_key(expired.version), value=None))
        writes.append(Write(key=build_accepted_key(expired.proposal), value=None))
    return Transaction(
        token=f"approve-{change.proposal}",
        preconditions=(
            Precondition(key=key, revision=ABSENT),
            Precondition(key=HEAD_KEY, revision=head_revision),
            Precondition(
                key=build_proposal_key(change.proposal), revision=proposal_revision
            ),
        ),
        writes=tuple(writes),
    )


def build_submission(proposal: Proposal) -> Transaction:
    """Return the transaction that submits a proposal for approval.

    A duplicate that arrives late must not make an accepted proposal pending again, so
    a precondition requires that the proposal has not been accepted.
    """
    key = build_proposal_key(proposal.proposal)
    accepted_key = build_accepted_key(proposal.proposal)
    return Transaction(
        token=f"propose-{proposal.proposal}",
        preconditions=(
            Precondition(key=key, revision=ABSENT),
            Precondition(key=accepted_key, revision=ABSENT),
        ),
        writes=(Write(key=key, value=encode(proposal)),),
    )


def build_withdrawal(proposal: str, *, revision: int) -> Transaction:
    """Return the transaction that withdraws a pending proposal.

    :param revision: expected revision of the proposal's row.
    """
    key = build_proposal_key(proposal)
    return Transaction(
        token=f"withdraw-{proposal}-{revision}",
        preconditions=(Precondition(key=key, revision=revision),),
        writes=(Write(key=key, value=None),),
    )
