/** `slots`: the queues of backend servers and the shares of customers, as one entry host sees them. */
import type { ResultAsync } from 'neverthrow'
import type { CustomerSlotStatus, ServerSlotStatus, SlotStatus } from '@nutmegcourse/protocol'
import type { RpcEndpoint } from '../callOnce.js'
import { EXIT_CODES, fail, succeed, type CommandResult } from '../exitCode.js'
import type { SlotsError } from '../slotsOverHttp.js'

export type SlotsReader = (endpoint: RpcEndpoint) => ResultAsync<SlotStatus, SlotsError>

const NONE = '-'
const COLUMN_GAP = '  '

type Row = readonly string[]

const SERVER_HEADINGS: Row = [
  'server',
  'service',
  'role',
  'dispatcher',
  'limit',
  'in flight',
  'connections',
  'waiting by class',
  'forecast by class (ms)',
]

const CUSTOMER_HEADINGS: Row = [
  'customer',
  'slot time',
  'waiting',
  'refused/s: slots',
  'overdue',
  'limit',
  'limit unknown',
  'admitted/s of limit',
]

export async function showSlots(
  read: SlotsReader,
  endpoint: RpcEndpoint,
  json: boolean,
): Promise<CommandResult> {
  const status = await read(endpoint)
  if (status.isErr()) {
    return fail(EXIT_CODES.unreachable, describeError(endpoint, status.error))
  }
  return succeed(json ? `${JSON.stringify(status.value)}\n` : formatStatus(status.value))
}

function describeError({ address, port }: RpcEndpoint, error: SlotsError): string {
  const host = `${address}:${port}`
  switch (error.kind) {
    case 'unreachable':
      return `entry host unreachable at ${host}: ${error.detail}`
    case 'noStatus':
      return `no status of slots at ${host}: it is not the metrics address of an entry host, or the host schedules no slots`
  }
}

const formatStatus = ({ entryHost, servers, customers }: SlotStatus): string =>
  [
    `as seen by ${entryHost}; a server's queue stands at its dispatcher`,
    '',
    ...table(SERVER_HEADINGS, servers.map(serverRow)),
    '',
    ...table(CUSTOMER_HEADINGS, customers.map(customerRow)),
  ]
    .map(line => `${line}\n`)
    .join('')

function serverRow(status: ServerSlotStatus): Row {
  const { classes } = status
  return [
    status.server,
    status.service,
    status.isPrimary ? 'primary' : 'replica',
    status.dispatcher ?? NONE,
    String(status.limit),
    String(status.inFlight),
    String(status.openConnections),
    joined(classes.map(({ priority, waiting }) => `${priority}:${waiting}`)),
    joined(classes.map(each => `${each.priority}:${Math.round(each.forecastMilliseconds)}`)),
  ]
}

function customerRow(status: CustomerSlotStatus): Row {
  const { slots, overdue, limit, limitUnknown } = status.refusedPerSecond
  const { limitUse } = status
  return [
    status.customer,
    `${(status.slotShare * 100).toFixed(1)}%`,
    String(status.waiting),
    ...[slots, overdue, limit, limitUnknown].map(rate => rate.toFixed(1)),
    limitUse === null
      ? NONE
      : `${limitUse.admittedPerSecond.toFixed(1)} of ${limitUse.operationsPerSecond}`,
  ]
}

const joined = (parts: readonly string[]): string => (parts.length === 0 ? NONE : parts.join(' '))

function table(headings: Row, rows: readonly Row[]): string[] {
  const all = [headings, ...rows]
  const widths = headings.map((_, column) => Math.max(...all.map(row => row[column]?.length ?? 0)))
  return all.map(row =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join(COLUMN_GAP)
      .trimEnd(),
  )
}
