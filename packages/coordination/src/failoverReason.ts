/** Determines why the primary must be replaced and when this watcher may start to replace it. */
import { addMilliseconds, assertNever, milliseconds, type Milliseconds } from '@nutmegcourse/shared'
import type { GroupRecord } from '@nutmegcourse/protocol'

import type { FailoverContext } from './failoverContext.js'

export interface ChangeReason {
  readonly notBefore: Milliseconds
  readonly detail: string
}

export function findChangeReason(context: FailoverContext, now: Milliseconds): ChangeReason | null {
  const { record } = context.records
  if (context.group.servers.length === 0) return null
  if (record === null) return missingRecordReason(context, now)
  switch (record.phase.kind) {
    case 'fencing':
    case 'promoting':
      return stuckReason(context, record, context.options.stuckChangeMilliseconds, now)
    case 'moving': {
      const { moveCatchUpMilliseconds, stuckChangeMilliseconds } = context.options
      const bound = moveCatchUpMilliseconds + stuckChangeMilliseconds
      return suspectedReason(context, record, now) ?? stuckReason(context, record, bound, now)
    }
    case 'stable':
      return suspectedReason(context, record, now) ?? fencedAboveReason(context, record, now)
    default:
      return assertNever(record.phase)
  }
}

/**
 * The coordinator was lost between two steps: possibly no server leads, and proxies hold writes. An
 * attempt at a newer term takes over; if the coordinator resumes, its steps carry the older term and
 * fail.
 */
function stuckReason(
  context: FailoverContext,
  record: GroupRecord,
  bound: number,
  now: Milliseconds,
): ChangeReason {
  const isOwn = record.coordinator === context.self.entryHost && record.phase.kind !== 'moving'
  const wait = isOwn ? 0 : bound + context.agreement.rank * context.options.rankDelayMilliseconds
  const detail = `the change coordinated by ${record.coordinator ?? 'no host'} is stuck`
  return { notBefore: addMilliseconds(context.records.changedAt ?? now, wait), detail }
}

function suspectedReason(
  context: FailoverContext,
  record: GroupRecord,
  now: Milliseconds,
): ChangeReason | null {
  const { agreement, options, records } = context
  if (record.primary === null) {
    const wait = agreement.rank * options.rankDelayMilliseconds
    return {
      notBefore: addMilliseconds(records.changedAt ?? now, wait),
      detail: 'there is no primary',
    }
  }
  const agreedSince = agreement.agreedSince(now)
  if (agreedSince === null) return null
  const wait = agreement.rankAmongSuspecting(now) * options.rankDelayMilliseconds
  return { notBefore: addMilliseconds(agreedSince, wait), detail: `${record.primary} is suspected` }
}

/**
 * A coordinator fenced some servers and was lost before it announced its term. The fenced servers
 * refuse the primary's log, so writes depend on the others alone. A change at a term above the fence
 * lets them replicate again.
 */
function fencedAboveReason(
  context: FailoverContext,
  record: GroupRecord,
  now: Milliseconds,
): ChangeReason | null {
  const { agreement, group, options, records } = context
  const since = group.fencedAboveSince(record.term)
  if (since === null) return null
  const wait = options.adoptionMilliseconds + agreement.rank * options.rankDelayMilliseconds
  const from = addMilliseconds(milliseconds(Math.max(since, records.changedAt ?? now)), wait)
  return { notBefore: from, detail: 'a server is fenced above the term' }
}

/**
 * A new database has no record and no leader. The same is seen when every host was replaced while
 * the store is down and the primary is gone. A longer delay then gives hosts that know a record time
 * to send it.
 */
function missingRecordReason(context: FailoverContext, now: Milliseconds): ChangeReason | null {
  const { agreement, group, options, records } = context
  if (group.findLeader(now) !== null) return null
  if (!records.isStoreEmpty && records.isStoreResponding) return null
  const baseDelay = records.isStoreEmpty ? 0 : options.adoptionMilliseconds
  const wait = baseDelay + agreement.rank * options.rankDelayMilliseconds
  return { notBefore: addMilliseconds(group.listedAt ?? now, wait), detail: 'no record is known' }
}
