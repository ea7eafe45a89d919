/** Waits for hosts to claim changes of primary, as the store shows it. */
import { setTimeout as delay } from 'node:timers/promises'
import { changeKey, readChangeRecord } from '@nutmegcourse/coordination'
import type { MemoryStore } from '@nutmegcourse/stand-ins'

const POLL_MILLISECONDS = 5
const AWAIT_CLAIM_MILLISECONDS = 8000

/** The host that holds the claim to change the primary of a service; null if none. */
export function claimHolder(store: MemoryStore, service: string): string | null {
  const stored = store.record(changeKey(service))
  const record = stored === null ? null : readChangeRecord(stored.value)
  return record?.phase === 'claimed' ? record.holder : null
}

/** Null if no host holds a claim within the time. */
export async function awaitClaimHolder(
  store: MemoryStore,
  service: string,
): Promise<string | null> {
  const until = performance.now() + AWAIT_CLAIM_MILLISECONDS
  while (performance.now() < until) {
    const holder = claimHolder(store, service)
    if (holder !== null) return holder
    await delay(POLL_MILLISECONDS)
  }
  return null
}
