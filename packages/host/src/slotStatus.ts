/**
 * Puts together what operators see of slots: servers with their queues, and customers with their shares and refusals.
 *
 * @internal
 */
import {
  OTHER_CUSTOMERS,
  type CustomerSlotStatus,
  type OperationLimit,
  type Route,
  type ServerSlotStatus,
  type SlotStatus,
} from '@nutmegcourse/protocol'
import type { CustomerName, Milliseconds } from '@nutmegcourse/shared'
import type { BackendServerState } from './backendServerState.js'
import type { CustomerLimits } from './customerLimits.js'
import type { ServiceState } from './serviceState.js'
import type { SlotGate } from './slotGate.js'

/** Customers that have metrics of their own; the others are counted together. */
const NAMED_CUSTOMERS = 10

export interface SlotStatusSources {
  readonly entryHost: string
  readonly services: readonly ServiceState[]
  routesOf(service: ServiceState): readonly Route[]
  dispatcherOf(service: ServiceState, server: BackendServerState): string | null
  readonly limits: CustomerLimits
  limitOf(customer: CustomerName): OperationLimit | null
}

export function slotStatusOf(sources: SlotStatusSources, now: Milliseconds): SlotStatus {
  const servers = sources.services.flatMap(service =>
    service.servers.flatMap(server => serverStatus(sources, service, server) ?? []),
  )
  const { entryHost } = sources
  return { entryHost, servers, customers: customerStatuses(sources, now) }
}

function serverStatus(
  sources: SlotStatusSources,
  service: ServiceState,
  server: BackendServerState,
): ServerSlotStatus | null {
  const { gate, pool, entry } = server
  if (gate === null) return null
  return {
    service: service.name,
    server: entry.server,
    isPrimary: server === service.primary,
    dispatcher: sources.dispatcherOf(service, server),
    slots: entry.slots,
    limit: gate.limit,
    inFlight: gate.inFlight,
    openConnections: pool.held,
    classes: classStatuses(gate, sources.routesOf(service)),
  }
}

function classStatuses(gate: SlotGate, routes: readonly Route[]): ServerSlotStatus['classes'] {
  const priorities = [...new Set(routes.map(({ priority }) => priority))]
  return priorities
    .sort((left, right) => left - right)
    .map(priority => ({
      priority,
      waiting: gate.waitingByClass.get(priority) ?? 0,
      forecastMilliseconds: Math.max(
        ...routes
          .filter(route => route.priority === priority)
          .map(route => Math.round(gate.forecastMilliseconds(route))),
      ),
    }))
}

interface CustomerUsage {
  readonly customer: CustomerName
  readonly status: CustomerSlotStatus
}

function customerStatuses(sources: SlotStatusSources, now: Milliseconds): CustomerSlotStatus[] {
  const usages = customerUsages(sources, now).sort(byShare)
  const isNamed = ({ customer }: CustomerUsage): boolean => customer !== OTHER_CUSTOMERS
  const named = usages.filter(isNamed).slice(0, NAMED_CUSTOMERS)
  const others = usages.filter(usage => !named.includes(usage))
  const statuses = named.map(({ status }) => status)
  if (others.length === 0) return statuses
  return [...statuses, others.map(({ status }) => status).reduce(sumOf)]
}

/** The largest shares first; customers that only wait or are refused come next. */
const byShare = ({ status: left }: CustomerUsage, { status: right }: CustomerUsage): number =>
  right.slotShare - left.slotShare ||
  right.waiting - left.waiting ||
  refusalsOf(right) - refusalsOf(left) ||
  left.customer.localeCompare(right.customer)

const refusalsOf = ({ refusedPerSecond }: CustomerSlotStatus): number =>
  refusedPerSecond.slots +
  refusedPerSecond.overdue +
  refusedPerSecond.limit +
  refusedPerSecond.limitUnknown

type ByCustomer = ReadonlyMap<CustomerName | null, number>

function customerUsages(sources: SlotStatusSources, now: Milliseconds): CustomerUsage[] {
  const { limits } = sources
  const gates = sources.services.flatMap(({ servers }) => servers.flatMap(({ gate }) => gate ?? []))
  const used = summed(gates.map(gate => gate.usedMilliseconds))
  const waiting = summed(gates.map(gate => gate.waitingByCustomer))
  const refused = summed(gates.map(gate => gate.refused.perSecond(now)))
  const overdue = summed(gates.map(gate => gate.overdue.perSecond(now)))
  const reached = limits.reached.perSecond(now)
  const unknown = limits.unknown.perSecond(now)
  const admitted = limits.admitted.perSecond(now)
  const total = [...used.values()].reduce((sum, milliseconds) => sum + milliseconds, 0)
  const known = [used, waiting, refused, overdue, reached, unknown, admitted]
  const customers = new Set(known.flatMap(each => [...each.keys()]))
  return [...customers].flatMap(customer => {
    if (customer === null) return []
    const of = (each: ByCustomer): number => each.get(customer) ?? 0
    const limit = sources.limitOf(customer)
    const status: CustomerSlotStatus = {
      customer,
      slotShare: total > 0 ? of(used) / total : 0,
      waiting: of(waiting),
      refusedPerSecond: {
        slots: of(refused),
        overdue: of(overdue),
        limit: of(reached),
        limitUnknown: of(unknown),
      },
      limitUse:
        limit === null
          ? null
          : { operationsPerSecond: limit.operationsPerSecond, admittedPerSecond: of(admitted) },
    }
    return { customer, status }
  })
}

function summed(parts: readonly ByCustomer[]): ByCustomer {
  const sums = new Map<CustomerName | null, number>()
  for (const part of parts) {
    for (const [customer, amount] of part) sums.set(customer, (sums.get(customer) ?? 0) + amount)
  }
  return sums
}

function sumOf(left: CustomerSlotStatus, right: CustomerSlotStatus): CustomerSlotStatus {
  const [first, second] = [left.refusedPerSecond, right.refusedPerSecond]
  return {
    customer: OTHER_CUSTOMERS,
    slotShare: left.slotShare + right.slotShare,
    waiting: left.waiting + right.waiting,
    refusedPerSecond: {
      slots: first.slots + second.slots,
      overdue: first.overdue + second.overdue,
      limit: first.limit + second.limit,
      limitUnknown: first.limitUnknown + second.limitUnknown,
    },
    // Limits of different customers have no common use.
    limitUse: null,
  }
}
