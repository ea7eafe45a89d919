/**
 * Runs an action after a time limit, but not before the sockets were read. After a stall of this process its expired
 * timers may run first, although an answer has arrived. Returns a function that stops the limit.
 */
export function startReadTimeout(action: () => void, timeoutMilliseconds: number): () => void {
  // Immediates run after the sockets are read.
  const timer = setTimeout(() => setImmediate(action), timeoutMilliseconds)
  return () => {
    clearTimeout(timer)
  }
}
