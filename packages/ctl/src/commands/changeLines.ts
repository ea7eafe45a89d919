/**
 * Finds the lines of changes of primary in the logs of entry hosts: all of one service, or those around one change,
 * which is named by its fencing token.
 */
import type { LogLine } from './logLine.js'

/** Events of a change of primary that name the service but not always a fencing token. */
const SERVICE_EVENTS: ReadonlySet<string> = new Set([
  'primary_suspected',
  'primary_believed',
  'claim_failed',
  'change_waits',
  'replica_resumed',
  'order_unanswered',
  'promoted_log_behind',
  'server_appeared',
  'server_changed',
  'server_unlisted',
  'server_removed',
])

/** Events of a whole host that may explain what it did in a change. */
const HOST_EVENTS: ReadonlySet<string> = new Set([
  'stood_still',
  'store_lost',
  'store_back',
  'store_restored',
  'vote_failed',
  'lines_left_out',
])

/** Lines of the service around a change: what led to it, and what became of late orders. */
const BEFORE_MILLISECONDS = 10_000
const AFTER_MILLISECONDS = 15_000

export const changeLinesOf = (lines: readonly LogLine[], service: string): LogLine[] =>
  lines.filter(line => isChangeLine(line) && line.fields.service === service)

/** Includes other changes of the same service at that time, and what kept the hosts that took part from their work. */
export function linesAroundChange(lines: readonly LogLine[], token: number): LogLine[] {
  const own = lines.filter(line => tokenOf(line) === token)
  const services = new Set(own.map(({ fields }) => fields.service))
  const times = own.map(({ at }) => Date.parse(at)).filter(time => !Number.isNaN(time))
  const since = Math.min(...times) - BEFORE_MILLISECONDS
  const until = Math.max(...times) + AFTER_MILLISECONDS
  const isNear = ({ at }: LogLine): boolean => Date.parse(at) >= since && Date.parse(at) <= until
  const near = lines.filter(isNear)
  const ofService = near.filter(line => isChangeLine(line) && services.has(line.fields.service))
  const hosts = new Set(ofService.filter(line => tokenOf(line) !== null).map(({ host }) => host))
  const ofHosts = near.filter(({ event, host }) => HOST_EVENTS.has(event) && hosts.has(host))
  return [...ofService, ...ofHosts]
}

const isChangeLine = (line: LogLine): boolean =>
  SERVICE_EVENTS.has(line.event) || tokenOf(line) !== null

function tokenOf({ fields }: LogLine): number | null {
  const token = fields.token ?? fields.fencingToken
  return typeof token === 'number' ? token : null
}
