/**
 * How many connections this host keeps to one backend server. All hosts draw on one limit.
 */

export interface PoolState {
  /** Open or opening. */
  readonly size: number
  readonly opening: number
  readonly idle: number
  readonly waiting: number
}

export interface PoolLimits {
  /** What this host may keep for good. The shares of all hosts together stay below the limit. */
  readonly share: number
  /** What it may hold while work waits, as long as the server takes it. */
  readonly burst: number
}

/**
 * The part of a limit that hosts keep for good. The rest is for bursts, and for hosts that start
 * again after a loss of power: the server counts the connections of their earlier lives for seconds
 * more, and when all hosts lose power at once it has only this rest to serve them with.
 */
const KEPT_PART = 0.45

/**
 * Callers are spread unevenly and open transactions hold connections through their pauses, so a host
 * may need more than its share while others need less. What it borrows beyond the share goes back
 * as soon as it rests; a host whose share is not free meanwhile is refused and tries again.
 */
const BURST_PART = 0.4

/**
 * What hosts may hold together while work waits. Without this bound nine hosts that each borrowed
 * up to 0.4 of one limit had 2,000 connections a day reset; the near ones won those that came free,
 * and a far zone was left with one each. The rest is for orders to the server, and for hosts that
 * do not know of each other yet.
 */
const USED_PART = 0.9

/**
 * Where a host's share would be less, fewer hosts hold more each: transactions keep connections through their
 * pauses, so with a single one everything else of that host waits for each transaction to end.
 */
const LEAST_SHARE = 2

/** What a host needs to each server to serve others as well: transactions hold them through pauses. */
const CONNECTIONS_PER_HOLDER = 3

/** The same where a connection runs one customer's statements only: each holder serves many customers. */
const CONNECTIONS_PER_HOLDER_OF_CUSTOMERS = 5

/** How many of the hosts may hold connections to one service's servers. */
export function connectionHolders(
  connectionLimit: number,
  hosts: number,
  areCustomersApart = false,
): number {
  const kept = connectionLimit * KEPT_PART
  const each = areCustomersApart ? CONNECTIONS_PER_HOLDER_OF_CUSTOMERS : CONNECTIONS_PER_HOLDER
  const least = areCustomersApart ? each : LEAST_SHARE
  if (kept >= hosts * least) return Math.max(hosts, 1)
  return Math.max(1, Math.floor(kept / each))
}

/**
 * What a holder may have at a replica of another region, for each connection that a near holder may. It reads there
 * only while the replicas near it cannot serve.
 */
const FAR_WEIGHT = 0.2

/** The holders of a server's connections, and how this host stands to the server. */
export interface ServerHolders {
  readonly nearServer: number
  readonly farFromServer: number
  readonly isNear: boolean
  readonly isPrimary: boolean
}

/** Among how many holders of this host's kind the connections are divided. All work with the primary alike. */
export function holdersOfServer(holders: ServerHolders): number {
  const { nearServer, farFromServer, isNear, isPrimary } = holders
  if (isPrimary || nearServer === 0) return nearServer + farFromServer
  const whole = nearServer + farFromServer * FAR_WEIGHT
  return isNear ? whole : whole / FAR_WEIGHT
}

/** The kept part where connections are divided by customer: each one closed is missed by its customer. */
const KEPT_PART_OF_CUSTOMERS = 0.55

export function poolLimits(
  connectionLimit: number,
  hosts: number,
  areCustomersApart = false,
): PoolLimits {
  if (!Number.isFinite(connectionLimit)) return { share: 8, burst: 32 }
  const kept = areCustomersApart ? KEPT_PART_OF_CUSTOMERS : KEPT_PART
  const share = Math.max(1, Math.floor((connectionLimit * kept) / Math.max(hosts, 1)))
  const part = Math.min(BURST_PART, USED_PART / Math.max(hosts, 1))
  return { share, burst: Math.max(share, Math.floor(connectionLimit * part)) }
}

/** How many connections to open now. */
export function connectionsToOpen(state: PoolState, limits: PoolLimits, warm: number): number {
  const room = limits.burst - state.size
  const forWaiters = state.waiting - state.opening - state.idle
  const forWarmth = Math.min(warm, limits.share) - state.size
  return Math.max(0, Math.min(room, Math.max(forWaiters, forWarmth)))
}
