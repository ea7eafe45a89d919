/**
 * Logs statements that were refused or answered later than their latency target.
 *
 * @internal
 */
import type { HostContext } from './hostContext.js'
import type { StatementRequest, StatementResult } from './statements.js'

export function reportStatement(
  { clock, log }: HostContext,
  database: string | null,
  request: StatementRequest,
  { answer, reason }: StatementResult,
): void {
  const { route, statement, service, isWrite, timing } = request
  const elapsed = clock.now() - request.arrivedAt
  const description = {
    request: statement.id,
    database,
    route: route.name,
    statement: statement.body.kind,
    primary: service.primary?.entry.server ?? null,
    tookMilliseconds: Math.round(elapsed),
  }
  if (answer.kind === 'refused') {
    const { refusal, detail } = answer
    const cause = { refusal, reason: reason ?? refusal, detail }
    const { customer } = request
    const scheduled = service.schedulesSlots ? { priority: route.priority, customer } : {}
    log.write('statement_refused', { ...description, ...scheduled, write: isWrite, ...cause })
  } else if (elapsed > route.latencyTargetMilliseconds) {
    // For a relayed statement the waiting times and attempts of the other host are not included.
    log.write('statement_late', {
      ...description,
      newsMilliseconds: Math.round(timing.newsMilliseconds),
      connectionMilliseconds: Math.round(timing.connectionMilliseconds),
      tries: timing.tries,
    })
  }
}
