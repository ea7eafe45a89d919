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

/** Connections that no host's share covers: for hosts that start, and for changes of primary. */
const RESERVED_SHARE = 0.15

/**
 * Callers are spread unevenly and open transactions hold connections through their pauses, so a host
 * may need more than its share while others need less. What it borrows beyond the share goes back
 * as soon as it rests; a host whose share is not free meanwhile is refused and tries again.
 */
const BURST_SHARE = 0.4

export function poolLimits(connectionLimit: number, hosts: number): PoolLimits {
  if (!Number.isFinite(connectionLimit)) return { share: 8, burst: 32 }
  const usable = connectionLimit * (1 - RESERVED_SHARE)
  const share = Math.max(1, Math.floor(usable / Math.max(hosts, 1)))
  return { share, burst: Math.max(share, Math.floor(connectionLimit * BURST_SHARE)) }
}

/** How many connections to open now. */
export function connectionsToOpen(state: PoolState, limits: PoolLimits, warm: number): number {
  const room = limits.burst - state.size
  const forWaiters = state.waiting - state.opening - state.idle
  const forWarmth = Math.min(warm, limits.share) - state.size
  return Math.max(0, Math.min(room, Math.max(forWaiters, forWarmth)))
}
