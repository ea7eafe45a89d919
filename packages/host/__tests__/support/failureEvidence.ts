/** Prints what hosts logged before a scenario failed, so that a failure that does not come again names its cause. */
import type { FixtureHost } from './hostFixture.js'

/** Events such as refused connections come many times a second; a failure is explained by their begin and end. */
const EDGE_LINES = 12
const MAXIMUM_LINE_LENGTH = 300

type LoggedLine = FixtureHost['lines'][number]

export function printEvidence(hosts: readonly FixtureHost[], startedAt: number): void {
  const lines = hosts
    .flatMap(({ host, lines: logged }) => edgesByEvent(logged).map(line => ({ host, line })))
    .sort((left, right) => left.line.at - right.line.at)
    .map(({ host, line }) => textOf(host.name, line, startedAt))
  const elapsed = Math.round(performance.now() - startedAt)
  console.error([`The scenario failed after ${String(elapsed)} ms.`, ...lines].join('\n'))
}

/** The first and the last lines of each event of one host. */
function edgesByEvent(lines: readonly LoggedLine[]): LoggedLine[] {
  const byEvent = new Map<string, LoggedLine[]>()
  for (const line of lines) {
    const known = byEvent.get(line.event)
    if (known === undefined) byEvent.set(line.event, [line])
    else known.push(line)
  }
  return [...byEvent.values()].flatMap(each =>
    each.filter((_, index) => index < EDGE_LINES || index >= each.length - EDGE_LINES),
  )
}

function textOf(host: string, { event, fields, at }: LoggedLine, startedAt: number): string {
  const text = `${String(Math.round(at - startedAt))} ${host} ${event} ${JSON.stringify(fields)}`
  return text.slice(0, MAXIMUM_LINE_LENGTH)
}
