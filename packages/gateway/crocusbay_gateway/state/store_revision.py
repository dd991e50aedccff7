"""Revisions of the store, ordered over restores of the store from older copies.

A restored store gives revisions out again, and the number of its era rises. A revision
here is one integer with the era in its high bits, so that what was read in a later era
is always newer. In the first era it equals the store's own revision, which is all that
hosts of versions without eras know; they forward and compare higher ones as well.
"""

FIRST_ERA = 1
_NUMBER_BITS = 40
MAX_NUMBER = (1 << _NUMBER_BITS) - 1


def make_revision(era: int, number: int) -> int:
    """Return the revision with a number in an era of the store.

    >>> make_revision(1, 57)
    57
    >>> make_revision(2, 3) > make_revision(1, 57)
    True
    """
    return (max(era, FIRST_ERA) - FIRST_ERA) << _NUMBER_BITS | number


def era_of(revision: int) -> int:
    """Return the era of a revision.

    >>> era_of(make_revision(3, 57))
    3
    """
    return FIRST_ERA + (revision >> _NUMBER_BITS)


def number_of(revision: int) -> int:
    """Return the number of a revision in its era, as the store states it.

    >>> number_of(make_revision(3, 57))
    57
    """
    return revision & MAX_NUMBER


def format_revision(revision: int) -> str:
    """Return a revision for logs, with its era unless that is the first.

    >>> format_revision(57), format_revision(make_revision(2, 57))
    ('57', '2:57')
    """
    number = number_of(revision)
    era = era_of(revision)
    return str(number) if era == FIRST_ERA else f"{era}:{number}"
