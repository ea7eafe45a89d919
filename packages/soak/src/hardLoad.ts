/**
 * The deployment of a hard load run: customers with keys, limits and priorities, classes of statements, and backend
 * servers with few slots; and the habits of its callers.
 */
import { customerName, digestOfKey, type CustomerName } from '@nutmegcourse/shared'
import type { Customer } from '@nutmegcourse/protocol'
import { Slots, type MemoryDialer, type MemoryGroup } from '@nutmegcourse/stand-ins'
import { GUARANTEES, type Guarantee } from './guarantees.js'

/** The parts of the platform's contract that are in force. */
export const HARD_LOAD_CONTRACTS = ['tenants', 'quota', 'pressure'] as const

/** Together a primary runs 125 statements a second, less than its callers ask for. */
export const HARD_LOAD_SLOTS = 2
const HARD_LOAD_WORK_MILLISECONDS = 16
/** Statements that wait at a backend server; it refuses further ones as busy. */
const HARD_LOAD_QUEUE_LIMIT = 4

/** Gives each backend server its slots and its queue. */
export function limitSlots(dialer: MemoryDialer, groups: readonly MemoryGroup[]): void {
  const servers = groups.flatMap(group => [...group.servers.keys()])
  const slots = new Map(
    servers.map(id => [id, new Slots(HARD_LOAD_SLOTS, HARD_LOAD_QUEUE_LIMIT)] as const),
  )
  dialer.hooks.slotsOf = server => slots.get(server)
  dialer.hooks.workMilliseconds = HARD_LOAD_WORK_MILLISECONDS
}

/** The class of a statement follows from the guarantee of its route; 0 is the highest. */
export const CLASS_PRIORITIES: Readonly<Record<Guarantee, number>> = {
  latest: 0,
  own: 1,
  bounded: 2,
}

const customer = (name: string, priority: number, operationsPerSecond: number): Customer => ({
  name: customerName(name),
  keys: [digestOfKey(keyOf(customerName(name)))],
  priority,
  limit: { operationsPerSecond, burst: operationsPerSecond },
})

/** Their usual callers stay far below the limit. */
const STEADY_CUSTOMERS = ['steady-1', 'steady-2', 'steady-3', 'steady-4'].map(name =>
  customer(name, 0, 50),
)
/** Their limit is above what a server can run, so that only slots hold them back. */
const LARGE_CUSTOMERS = ['large-1', 'large-2', 'large-3', 'large-4'].map((name, index) =>
  customer(name, index % 2, 1000),
)
export const CUSTOMERS: readonly Customer[] = [...STEADY_CUSTOMERS, ...LARGE_CUSTOMERS]
export const LARGE_CUSTOMER_NAMES: readonly CustomerName[] = LARGE_CUSTOMERS.map(({ name }) => name)

export function keyOf(name: CustomerName): string {
  return `key-of-${name}`
}

/** What a caller sends, and how fast. */
export interface CallerHabits {
  /** Null where customers are not distinguished. */
  readonly customer: CustomerName | null
  readonly guarantees: readonly Guarantee[]
  /** Mean pause between two statements. */
  readonly thinkMilliseconds: number
  readonly writeShare: number
  readonly transactionShare: number
  /** Pauses inside a transaction are drawn from these; if empty, they are shorter than the mean pause. */
  readonly restMilliseconds: readonly number[]
  /** Whether a refused caller stays away for as long as it is told. */
  readonly heedsRetryAdvice: boolean
}

export const USUAL_HABITS: CallerHabits = {
  customer: null,
  guarantees: GUARANTEES,
  thinkMilliseconds: 20,
  writeShare: 0.3,
  transactionShare: 0.2,
  restMilliseconds: [],
  heedsRetryAdvice: false,
}

/** The usual callers of a hard load run: what they ask for fits into the slots. */
export function steadyHabits(index: number): CallerHabits {
  const { name } = CUSTOMERS[index % CUSTOMERS.length] ?? { name: null }
  return { ...USUAL_HABITS, customer: name, thinkMilliseconds: 100, heedsRetryAdvice: true }
}
