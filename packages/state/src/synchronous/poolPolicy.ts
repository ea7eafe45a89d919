/**
 * Decides how many connections this host keeps to one backend server. All hosts share the server's connection limit.
 */

export interface PoolState {
  /** Open or opening. */
  readonly size: number
  readonly opening: number
  readonly idle: number
  readonly waiting: number
}

export interface PoolLimits {
  /** Connections that this host may keep permanently. The shares of all hosts together stay below the limit. */
  readonly share: number
  /** Connections that it may hold while work waits, as long as the server accepts them. */
  readonly burst: number
}

/**
 * The fraction of a limit that hosts keep permanently. The rest is for bursts, and for hosts that restart
 * after a power loss: the server still counts the connections of their previous incarnations for some seconds,
 * and if all hosts lose power at once, only this rest is available to them.
 */
const KEPT_FRACTION = 0.45

/**
 * The most that one host may hold, as a fraction of the limit. Callers are spread unevenly and open transactions hold
 * connections between their statements, so a host may need more than its share while others need less. It returns
 * connections beyond its share as soon as they are idle; a host whose share is in use meanwhile is refused and retries.
 */
const BURST_FRACTION = 0.4

/**
 * The fraction of the limit that all hosts together may hold while work waits. Without this bound, nine hosts that
 * each borrowed up to 0.4 of one limit caused 2,000 connection resets a day; hosts near the server took the
 * connections that became free and left one each to the hosts of a distant zone. The rest is for control statements
 * to the server, and for hosts that do not know of each other yet.
 */
const COMBINED_BURST_FRACTION = 0.9

/**
 * If a host's share would be smaller, fewer hosts hold more connections each: transactions keep connections between
 * their statements, so with a single one all other work of that host waits for each transaction to end.
 */
const MIN_SHARE = 2

/** What a host needs per server to serve other hosts too: transactions hold connections between statements. */
const CONNECTIONS_PER_HOLDER = 3

/** The same if a connection runs one customer's statements only: each holder serves many customers. */
const CONNECTIONS_PER_HOLDER_BY_CUSTOMER = 5

/** Returns how many of the hosts may hold connections to one service's servers. */
export function connectionHolders(
  connectionLimit: number,
  hosts: number,
  isDividedByCustomer = false,
): number {
  const kept = connectionLimit * KEPT_FRACTION
  const perHolder = isDividedByCustomer
    ? CONNECTIONS_PER_HOLDER_BY_CUSTOMER
    : CONNECTIONS_PER_HOLDER
  const minimum = isDividedByCustomer ? perHolder : MIN_SHARE
  if (kept >= hosts * minimum) return Math.max(hosts, 1)
  return Math.max(1, Math.floor(kept / perHolder))
}

/**
 * Connections that a holder may have to a replica of another region, per connection of a near holder. It reads
 * there only while the replicas near it cannot serve.
 */
const FAR_HOLDER_WEIGHT = 0.2

/** The holders of a server's connections, and whether this host is near the server. */
export interface ServerHolders {
  readonly nearServer: number
  readonly farFromServer: number
  readonly isNear: boolean
  readonly isPrimary: boolean
}

/**
 * The number by which the connections are divided to get this host's part, with near and far holders of a replica
 * weighted differently. The connections of a primary are divided evenly, because all holders use it alike.
 */
export function connectionDivisor(holders: ServerHolders): number {
  const { nearServer, farFromServer, isNear, isPrimary } = holders
  if (isPrimary || nearServer === 0) return nearServer + farFromServer
  const weightedHolders = nearServer + farFromServer * FAR_HOLDER_WEIGHT
  return isNear ? weightedHolders : weightedHolders / FAR_HOLDER_WEIGHT
}

/**
 * The permanently kept fraction if each connection runs one customer's statements only. It is higher because
 * closing a connection takes it away from its customer.
 */
const KEPT_FRACTION_BY_CUSTOMER = 0.55

export function poolLimits(
  connectionLimit: number,
  hosts: number,
  isDividedByCustomer = false,
): PoolLimits {
  if (!Number.isFinite(connectionLimit)) return { share: 8, burst: 32 }
  const kept = isDividedByCustomer ? KEPT_FRACTION_BY_CUSTOMER : KEPT_FRACTION
  const share = Math.max(1, Math.floor((connectionLimit * kept) / Math.max(hosts, 1)))
  const burstFraction = Math.min(BURST_FRACTION, COMBINED_BURST_FRACTION / Math.max(hosts, 1))
  return { share, burst: Math.max(share, Math.floor(connectionLimit * burstFraction)) }
}

/** The part of a server's connections that falls to this host. */
export type ConnectionPart =
  /** As many hosts, including this one, use the server alike. */
  | { readonly kind: 'holder'; readonly hosts: number }
  /** This host dispatches all statements of the server. */
  | { readonly kind: 'dispatcher' }
  /** Another host does; this one stands by for it, or dispatches for another region. */
  | { readonly kind: 'standby' }

const DISPATCHER_KEPT_FRACTION = 0.55
const DISPATCHER_BURST_FRACTION = 0.7
const STANDBY_KEPT_FRACTION = 0.1
/** One standby that bursts beside the dispatcher stays under the server's limit; more are refused by the server. */
const STANDBY_BURST_FRACTION = 0.2

/** The limits of a host that takes part in dispatching a server's statements. */
export function limitsOfPart(
  connectionLimit: number,
  part: ConnectionPart,
  isDividedByCustomer: boolean,
): PoolLimits {
  if (part.kind === 'holder') return poolLimits(connectionLimit, part.hosts, isDividedByCustomer)
  if (!Number.isFinite(connectionLimit)) return poolLimits(connectionLimit, 1, isDividedByCustomer)
  const isDispatcher = part.kind === 'dispatcher'
  const kept = isDispatcher ? DISPATCHER_KEPT_FRACTION : STANDBY_KEPT_FRACTION
  const burst = isDispatcher ? DISPATCHER_BURST_FRACTION : STANDBY_BURST_FRACTION
  const share = Math.max(1, Math.floor(connectionLimit * kept))
  return { share, burst: Math.max(share, Math.floor(connectionLimit * burst)) }
}

/** Returns how many connections to open now. `warmConnections`: the number to keep open without demand. */
export function connectionsToOpen(
  state: PoolState,
  limits: PoolLimits,
  warmConnections: number,
): number {
  const room = limits.burst - state.size
  const forWaiters = state.waiting - state.opening - state.idle
  const forWarmMinimum = Math.min(warmConnections, limits.share) - state.size
  return Math.max(0, Math.min(room, Math.max(forWaiters, forWarmMinimum)))
}
