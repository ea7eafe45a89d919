/** What the routes of a run promise their callers. */
export const BOUNDED_AGE_MILLISECONDS = 1500
/** Of the routes, over all versions of the configuration. */
export const SHORTEST_TIMEOUT_MILLISECONDS = 700
export const LATENCY_TARGET_MILLISECONDS = 600
/** A transaction may be ended when it has been idle for this long. */
export const IDLE_TRANSACTION_MILLISECONDS = 2000

export type Guarantee = 'latest' | 'bounded' | 'own'
export const GUARANTEES: readonly Guarantee[] = ['latest', 'bounded', 'own']

export const databaseName = (service: string, guarantee: Guarantee): string =>
  `${service}-${guarantee}`
