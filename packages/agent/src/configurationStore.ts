/** The operators' documents in the platform's store. Values are validated, as a key may hold anything. */
import {
  DRAINS_KEY,
  TARGETS_KEY,
  type DrainList,
  type StoredValue,
  type VersionedTargets,
} from '@nutmegcourse/protocol'
import { checkTargets } from '@nutmegcourse/settings'
import { backendServerId } from '@nutmegcourse/shared'
import type { StoreClient } from '@nutmegcourse/transport'
import { z } from 'zod'

const envelopeSchema = z.object({
  version: z.int().min(1),
  changeId: z.string(),
  changedBy: z.string(),
  recentChangeIds: z.array(z.string()).default([]),
  targets: z.unknown(),
})

const drainsSchema = z.object({
  version: z.int().min(1),
  backendServers: z.array(z.string().transform(backendServerId)),
})

/** Null when the value is not a valid targets document. */
export function readTargetsDocument(stored: StoredValue): VersionedTargets | null {
  if (stored.key !== TARGETS_KEY) return null
  const envelope = envelopeSchema.safeParse(stored.value)
  if (!envelope.success) return null
  const targets = checkTargets(envelope.data.targets)
  return targets.isErr() ? null : { ...envelope.data, targets: targets.value }
}

/** Null when the value is not a valid list of drains. */
export function readDrains(stored: StoredValue): DrainList | null {
  if (stored.key !== DRAINS_KEY) return null
  const drains = drainsSchema.safeParse(stored.value)
  return drains.success ? drains.data : null
}

/** Writes back a document that the store lost. The next read shows whether it took effect. */
export async function restoreTargets(
  store: StoreClient,
  document: VersionedTargets,
  expectedRevision: number,
): Promise<void> {
  await store.compareAndSwap({ key: TARGETS_KEY, expectedRevision, value: document })
}
