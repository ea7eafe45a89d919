/**
 * Checks the answers that callers received against the final contents of the databases. Uses
 * nothing that the fleet reports about itself.
 */
import type { Milliseconds, SessionId } from '@nutmegcourse/shared'
import type { CounterRead, CounterWrite, Operation, WriteId } from './operation.js'

/** Contents of one database's surviving log, read after all callers have stopped. */
export interface FinalContents {
  /** Ids of all stored events, repeated if stored more than once. */
  readonly events: readonly string[]
  readonly counters: ReadonlyMap<SessionId, number>
}

export interface HistoryCheckResult {
  /** Number of acknowledged writes; reads are not counted. */
  readonly acknowledged: number
  /**
   * Acknowledged writes that are missing from the final contents: event ids, and counters as
   * `database/session=value`.
   */
  readonly lost: readonly string[]
  /** Stored more than once. */
  readonly doubled: readonly string[]
  /** Refused as not run, but stored. */
  readonly ranThoughRefused: readonly string[]
  /** Reads that missed a write acknowledged to the same session before the read started. */
  readonly staleReads: readonly CounterRead[]
  readonly unknown: number
  /** Number of operations that were not acknowledged, by reason. */
  readonly refusals: ReadonlyMap<string, number>
}

export function checkHistory(
  operations: readonly Operation[],
  finals: ReadonlyMap<string, FinalContents>,
): HistoryCheckResult {
  const writes = operations.filter(operation => operation.kind !== 'counterRead')
  const stored = countStored(finals)
  const events = operations.filter(operation => operation.kind === 'eventWrite')
  const lostEvents = events.filter(
    event => event.outcome.kind === 'acknowledged' && !stored.has(event.id),
  )
  const executedRefusals = events.filter(
    event => event.outcome.kind === 'notRun' && stored.has(event.id),
  )
  return {
    acknowledged: writes.filter(write => write.outcome.kind === 'acknowledged').length,
    lost: [...lostEvents.map(event => event.id), ...findLostCounters(operations, finals)],
    doubled: [...stored].filter(([, count]) => count > 1).map(([id]) => id),
    ranThoughRefused: executedRefusals.map(event => event.id),
    staleReads: findStaleReads(operations),
    unknown: operations.filter(operation => operation.outcome.kind === 'unknown').length,
    refusals: countReasons(operations),
  }
}

function countStored(finals: ReadonlyMap<string, FinalContents>): ReadonlyMap<WriteId, number> {
  const counts = new Map<WriteId, number>()
  for (const contents of finals.values()) {
    for (const id of contents.events as readonly WriteId[])
      counts.set(id, (counts.get(id) ?? 0) + 1)
  }
  return counts
}

/** Counters only increase, so a final value below an acknowledged one means a lost write. */
function findLostCounters(
  operations: readonly Operation[],
  finals: ReadonlyMap<string, FinalContents>,
): readonly string[] {
  const acknowledged = new Map<string, CounterWrite>()
  for (const operation of operations) {
    if (operation.kind !== 'counterWrite' || operation.outcome.kind !== 'acknowledged') continue
    const key = `${operation.database}/${operation.session}`
    if ((acknowledged.get(key)?.value ?? -1) < operation.value) acknowledged.set(key, operation)
  }
  return [...acknowledged]
    .filter(([, write]) => {
      const end = finals.get(write.database)?.counters.get(write.session) ?? -1
      return end < write.value
    })
    .map(([key, write]) => `${key}=${write.value}`)
}

function findStaleReads(operations: readonly Operation[]): readonly CounterRead[] {
  const bySession = new Map<string, CounterWrite[]>()
  for (const operation of operations) {
    if (operation.kind !== 'counterWrite' || operation.outcome.kind !== 'acknowledged') continue
    const key = `${operation.database}/${operation.session}`
    const writes = bySession.get(key) ?? []
    writes.push(operation)
    bySession.set(key, writes)
  }
  return operations.filter((operation): operation is CounterRead => {
    if (operation.kind !== 'counterRead' || operation.outcome.kind !== 'acknowledged') return false
    const writes = bySession.get(`${operation.database}/${operation.session}`) ?? []
    const expected = highestValueEndedBefore(writes, operation.startedAt)
    return (operation.value ?? -1) < expected
  })
}

function highestValueEndedBefore(writes: readonly CounterWrite[], moment: Milliseconds): number {
  return writes
    .filter(write => write.endedAt <= moment)
    .reduce((greatest, write) => Math.max(greatest, write.value), -1)
}

function countReasons(operations: readonly Operation[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>()
  for (const { outcome } of operations) {
    if (outcome.kind === 'acknowledged') continue
    counts.set(outcome.reason, (counts.get(outcome.reason) ?? 0) + 1)
  }
  return counts
}
