/**
 * What is logged of a statement that its caller may complain of: it was refused, or answered late.
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
  const { route, statement, desk, isWrite, timing } = request
  const took = clock.now() - request.arrivedAt
  const described = {
    request: statement.id,
    database,
    route: route.name,
    statement: statement.body.kind,
    primary: desk.primary?.entry.server ?? null,
    tookMilliseconds: Math.round(took),
  }
  if (answer.kind === 'refused') {
    const { refusal, detail } = answer
    const why = { refusal, reason: reason ?? refusal, detail }
    log.write('statement_refused', { ...described, write: isWrite, ...why })
  } else if (took > route.latencyTargetMilliseconds) {
    // Where the statement ran at another host, that one knows more.
    log.write('statement_late', {
      ...described,
      newsMilliseconds: Math.round(timing.newsMilliseconds),
      connectionMilliseconds: Math.round(timing.connectionMilliseconds),
      tries: timing.tries,
    })
  }
}
