/**
 * The status of slots as lines of metrics. Labels are servers, priorities of routes, and a bounded number of customers.
 *
 * @internal
 */
import {
  OTHER_CUSTOMERS,
  type CustomerSlotStatus,
  type ServerSlotStatus,
  type SlotStatus,
} from '@nutmegcourse/protocol'
import { metricLabels, type MetricLabels } from './metricLabels.js'

/** Every metric, and what it means. docs/METRICS.md is generated from this table. */
const SLOT_METRICS = {
  slots: 'Statements that a server processes concurrently, by its entry. Labels: service, server.',
  slot_limit: 'Statements that it may have in flight. Labels: service, server.',
  slots_in_flight: 'Statements that it has in flight through this host. Labels: service, server.',
  server_connections: 'Connections of this host to it. Labels: service, server.',
  slot_waiting: 'Statements that wait for a slot. Labels: service, server, priority.',
  slot_forecast_milliseconds:
    'Expected wait of the next statement, of a customer that has nothing waiting. Labels: service, server, priority.',
  customer_slot_share:
    'Part of the slot time used through this host, 0 to 1. Labels: customer, as for the others below.',
  customer_waiting: 'Statements that wait for a slot. Labels: customer.',
  customer_refused_per_second:
    'Refusals. Labels: customer, cause (slots: at once by a server’s queue, though another server may have run it; overdue: after waiting in vain; limit; limitUnknown).',
  customer_limit_per_second: 'The limit. Labels: customer.',
  customer_admitted_per_second:
    'Operations of this host’s callers that were admitted under the limit. Labels: customer.',
} as const satisfies Readonly<Record<string, string>>

export const slotMetricLines = ({ servers, customers }: SlotStatus): string[] => [
  ...servers.flatMap(serverLines),
  ...customers.flatMap(customerLines),
]

function serverLines(status: ServerSlotStatus): string[] {
  const labels = { service: status.service, server: status.server }
  return [
    line('slots', labels, status.slots),
    line('slot_limit', labels, status.limit),
    line('slots_in_flight', labels, status.inFlight),
    line('server_connections', labels, status.openConnections),
    ...status.classes.flatMap(({ priority, waiting, forecastMilliseconds }) => {
      const ofClass = { ...labels, priority: String(priority) }
      return [
        line('slot_waiting', ofClass, waiting),
        line('slot_forecast_milliseconds', ofClass, forecastMilliseconds),
      ]
    }),
  ]
}

function customerLines(status: CustomerSlotStatus): string[] {
  const { customer, slotShare, waiting, limitUse } = status
  const { slots, overdue, limit, limitUnknown } = status.refusedPerSecond
  const causes = { slots, overdue, limit, limitUnknown }
  return [
    line('customer_slot_share', { customer }, slotShare),
    line('customer_waiting', { customer }, waiting),
    ...Object.entries(causes).map(([cause, rate]) =>
      line('customer_refused_per_second', { customer, cause }, rate),
    ),
    ...(limitUse === null
      ? []
      : [
          line('customer_limit_per_second', { customer }, limitUse.operationsPerSecond),
          line('customer_admitted_per_second', { customer }, limitUse.admittedPerSecond),
        ]),
  ]
}

function line(name: keyof typeof SLOT_METRICS, labels: MetricLabels, value: number): string {
  return `nutmegcourse_${name}{${metricLabels(labels)}} ${String(value)}`
}

/** The part of docs/METRICS.md on slots. */
export function describeSlotMetrics(): string {
  const lines = [
    '',
    '## Slots',
    '',
    'At the metrics address of an entry host of the platform, where slots are scheduled; all with the prefix',
    '`nutmegcourse_`. A server’s queue stands at its dispatcher. Of customers the ten with the most slot time are told',
    `apart; the rest is \`customer="${OTHER_CUSTOMERS}"\`. Rates and shares are those of about the last ten seconds.`,
    '',
    '| metric | meaning |',
    '|---|---|',
    ...Object.entries(SLOT_METRICS).map(([name, meaning]) => `| \`${name}\` | ${meaning} |`),
  ]
  return `${lines.join('\n')}\n`
}
