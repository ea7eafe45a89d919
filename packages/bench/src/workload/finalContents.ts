/** Reads the contents of a deployment's databases after all callers have stopped. */
import { sessionId } from '@nutmegcourse/shared'
import type { Deployment } from '../deployment/deployment.js'
import type { FinalContents } from './history.js'

export async function readFinalContents(
  deployment: Deployment,
): Promise<ReadonlyMap<string, FinalContents>> {
  const finals = new Map<string, FinalContents>()
  for (const database of deployment.plan.databases) {
    const { events, entries } = await deployment.contents(database)
    finals.set(database.id, {
      events: events.map(([id]) => id),
      counters: new Map([...entries].map(([key, value]) => [sessionId(key), Number(value)])),
    })
  }
  return finals
}
