/**
 * Watches whether replicas that were paused in a change of primary stay paused until a promotion. One that receives
 * again may acknowledge writes that the chosen server lacks. It decides nothing.
 *
 * @internal
 */
import type { BackendCommand, ServerReport } from '@nutmegcourse/protocol'
import {
  comparePositions,
  type BackendServerId,
  type LogPosition,
  type Milliseconds,
  type Term,
} from '@nutmegcourse/shared'

interface PausedReplica {
  readonly pausedFor: Term
  readonly term: Term
  readonly at: LogPosition
  /** When the answer to the pause arrived. */
  readonly since: Milliseconds
}

export interface EndedPause {
  /** receives: it is not paused any more; logGrew: it says that it is, but it has received records. */
  readonly reason: 'receives' | 'logGrew'
  readonly server: BackendServerId
  readonly pausedFor: Term
  readonly pausedAt: LogPosition
  readonly position: LogPosition
  readonly afterMilliseconds: number
}

export class PauseWatch {
  readonly #paused = new Map<BackendServerId, PausedReplica>()

  /** A new primary was seen to lead, which ends pauses; its log may not have reached the replicas yet. */
  recordPromotion(): void {
    this.#paused.clear()
  }

  /** `sentAt`: when the order was first sent; an answer from before the pause says nothing about it. */
  recordAnswer(
    server: BackendServerId,
    command: BackendCommand,
    report: ServerReport,
    sentAt: Milliseconds,
    now: Milliseconds,
  ): EndedPause | null {
    const paused = this.#paused.get(server)
    const ended =
      paused === undefined || command.kind === 'resume' || sentAt < paused.since
        ? null
        : this.#findEnd(server, paused, command, report, now)
    this.#record(server, command, report, now)
    return ended
  }

  #findEnd(
    server: BackendServerId,
    paused: PausedReplica,
    command: BackendCommand,
    report: ServerReport,
    now: Milliseconds,
  ): EndedPause | null {
    // A promotion ends pauses, and its term's log may follow.
    if (report.role === 'primary' || report.term !== paused.term) return null
    const hasGrown = comparePositions(report.received, paused.at) > 0
    const receives = command.kind !== 'pause' && report.pausedFor === 0
    if (!hasGrown && !receives) return null
    return {
      reason: receives ? 'receives' : 'logGrew',
      server,
      pausedFor: paused.pausedFor,
      pausedAt: paused.at,
      position: report.received,
      afterMilliseconds: Math.round(now - paused.since),
    }
  }

  #record(
    server: BackendServerId,
    { kind }: BackendCommand,
    { role, pausedFor, term, received }: ServerReport,
    now: Milliseconds,
  ): void {
    const isPaused = role === 'replica' && pausedFor !== 0
    if (!isPaused || kind === 'resume') this.#paused.delete(server)
    else if (kind === 'pause') {
      const known = this.#paused.get(server)
      const since = known === undefined ? now : known.since
      this.#paused.set(server, { pausedFor, term, at: received, since })
    }
  }
}
