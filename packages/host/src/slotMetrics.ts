/**
 * The status of slots as lines of metrics. Labels are servers, priorities of routes, and a bounded number of customers.
 *
 * @internal
 */
import type { CustomerSlotStatus, ServerSlotStatus, SlotStatus } from '@nutmegcourse/protocol'

type Labels = Readonly<Record<string, string>>

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

function line(name: string, labels: Labels, value: number): string {
  const described = Object.entries(labels).map(([label, text]) => `${label}="${escaped(text)}"`)
  return `nutmegcourse_${name}{${described.join(',')}} ${String(value)}`
}

const escaped = (text: string): string =>
  text.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n')
