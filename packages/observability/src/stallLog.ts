/**
 * Logs every stall of this process. During one it reads no answers, so requests and servers
 * look silent to it, and it looks silent to others.
 */
import type { Log } from './log.js'

const CHECK_INTERVAL_MILLISECONDS = 50
const STALL_MILLISECONDS = 100

/** Logs a stall once it has ended. Returns a function that stops this. */
export function logStalls(log: Pick<Log, 'warn'>): () => void {
  let lastCheckedAt = performance.now()
  const check = (): void => {
    const now = performance.now()
    const milliseconds = Math.round(now - lastCheckedAt - CHECK_INTERVAL_MILLISECONDS)
    lastCheckedAt = now
    if (milliseconds >= STALL_MILLISECONDS) log.warn('stalled', { milliseconds })
  }
  const timer = setInterval(check, CHECK_INTERVAL_MILLISECONDS).unref()
  return () => {
    clearInterval(timer)
  }
}
