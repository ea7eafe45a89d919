/**
 * Watches the answers of the servers during one change of primary, recognizes the first report of a new primary, and
 * says whether its log lacks records that another server had. It decides nothing.
 *
 * @internal
 */
import {
  findServersAhead,
  type PromotedLog,
  type SeenPosition,
  type ServerAhead,
} from '@nutmegcourse/coordination'
import type { ServerReport } from '@nutmegcourse/protocol'
import {
  isAtOrPast,
  type BackendServerId,
  type LogPosition,
  type Milliseconds,
} from '@nutmegcourse/shared'
import type { EventName } from './decisionEvents.js'

/** One line for the log. */
export interface PromotionFinding {
  readonly event: EventName
  readonly fields: Readonly<Record<string, unknown>>
}

interface Observed {
  readonly at: LogPosition
  readonly seenAt: Milliseconds
  readonly lastRole: ServerReport['role']
}

export class PromotionWatch {
  readonly #observed = new Map<BackendServerId, Observed>()
  /** Servers that reported that they lead, or were believed to. */
  readonly #leaders = new Set<BackendServerId>()
  readonly #orderedAt = new Map<BackendServerId, Milliseconds>()
  readonly #reported = new Set<BackendServerId>()
  #promoted: PromotedLog | null = null

  recordBelievedPrimary(server: BackendServerId): void {
    if (server !== this.#promoted?.server) this.#leaders.add(server)
  }

  recordOrder(server: BackendServerId, sentAt: Milliseconds): void {
    if (!this.#orderedAt.has(server)) this.#orderedAt.set(server, sentAt)
  }

  recordReport(
    server: BackendServerId,
    report: ServerReport,
    now: Milliseconds,
  ): readonly PromotionFinding[] {
    const findings = this.#isNewPrimary(server, report)
      ? this.#describePromotion(server, report, now)
      : this.#describeLateReport(server, report)
    this.#observe(server, report, now)
    return findings
  }

  #observe(server: BackendServerId, report: ServerReport, now: Milliseconds): void {
    if (report.role === 'primary') this.#leaders.add(server)
    const before = this.#observed.get(server)
    const isFurthest = before === undefined || isAtOrPast(report.received, before.at)
    const position = isFurthest ? { at: report.received, seenAt: now } : before
    this.#observed.set(server, { ...position, lastRole: report.role })
  }

  #isNewPrimary(server: BackendServerId, { role, term }: ServerReport): boolean {
    if (role !== 'primary' || term <= (this.#promoted?.term ?? 0)) return false
    const before = this.#observed.get(server)
    return before === undefined ? this.#orderedAt.has(server) : before.lastRole === 'replica'
  }

  #describePromotion(
    server: BackendServerId,
    { term, received }: ServerReport,
    now: Milliseconds,
  ): readonly PromotionFinding[] {
    const promoted = { server, term, received }
    this.#promoted = promoted
    const orderedAt = this.#orderedAt.get(server) ?? null
    const seen = [...this.#observed].map(([each, { at, seenAt }]) => ({
      server: each,
      at,
      ageMilliseconds: Math.round(now - seenAt),
      mayHaveLed: this.#leaders.has(each),
    }))
    const effective = {
      event: 'promotion_effective',
      fields: {
        server,
        term,
        position: received,
        afterMilliseconds: orderedAt === null ? null : Math.round(now - orderedAt),
        positions: seen,
      },
    } as const
    return [effective, ...this.#describeAhead(promoted, seen)]
  }

  /** A server that answers only after the promotion may still have had what the new primary lacks. */
  #describeLateReport(server: BackendServerId, report: ServerReport): readonly PromotionFinding[] {
    if (this.#promoted === null || this.#reported.has(server)) return []
    const late = { server, at: report.received, mayHaveLed: this.#leaders.has(server) }
    const earlier = [...this.#observed].map(([each, { at }]) => ({
      server: each,
      at,
      mayHaveLed: this.#leaders.has(each),
    }))
    const isAhead = findServersAhead(this.#promoted, [...earlier, late]).some(
      each => each.server === server && each.at === report.received,
    )
    return isAhead ? this.#describeAhead(this.#promoted, [late]) : []
  }

  #describeAhead(
    promoted: PromotedLog,
    seen: readonly SeenPosition[],
  ): readonly PromotionFinding[] {
    const ahead = findServersAhead(promoted, seen)
    for (const { server } of ahead) this.#reported.add(server)
    const own = ahead.filter(({ server }) => server === promoted.server)
    const others = ahead.filter(({ server }) => server !== promoted.server)
    return [
      ...describe('acknowledged_writes_missing', 'ownLogShorter', promoted, own),
      ...describe(
        'acknowledged_writes_missing',
        'replicaAhead',
        promoted,
        others.filter(({ mayHaveLed }) => !mayHaveLed),
      ),
      ...describe(
        'promoted_log_behind',
        'oldPrimaryAhead',
        promoted,
        others.filter(({ mayHaveLed }) => mayHaveLed),
      ),
    ]
  }
}

function describe(
  event: EventName,
  reason: string,
  { server, term, received }: PromotedLog,
  ahead: readonly ServerAhead[],
): readonly PromotionFinding[] {
  if (ahead.length === 0) return []
  const fields = { reason, server, term, position: received, ahead: describeAhead(ahead) }
  return [{ event, fields }]
}

export const describeAhead = (ahead: readonly ServerAhead[]) =>
  ahead.map(({ server, at, records }) => ({ server, at, records }))
