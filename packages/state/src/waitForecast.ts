/** Predicts how long a request that arrives now waits for a connection. */

export interface QueueState {
  /** Requests that get a connection before it. */
  readonly ahead: number
  /** Connections that serve the queue as they become free. */
  readonly connections: number
  /** How long one request holds a connection, in milliseconds; 0 while unknown. */
  readonly holdMilliseconds: number
}

/**
 * Predicted wait in milliseconds by Little's law: the queue advances by one place each time a
 * connection becomes free. With none ahead the prediction is 0 whatever the estimate: some request
 * must run, or a wrong estimate would never be corrected.
 */
export function forecastWait({ ahead, connections, holdMilliseconds }: QueueState): number {
  if (ahead === 0) return 0
  return ((ahead + 1) / Math.max(connections, 1)) * holdMilliseconds
}
