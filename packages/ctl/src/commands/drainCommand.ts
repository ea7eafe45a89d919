/** `drain`: marks a backend server as leaving, independently of the platform's host list. */
import { DRAINS_KEY, type DrainList } from '@nutmegcourse/protocol'
import type { BackendServerId } from '@nutmegcourse/shared'
import { changeDocument, readDocument, type ChangeError } from '../changeDocument.js'
import { EXIT_CODES, fail, succeed, type CommandResult } from '../exitCode.js'
import type { StorePort } from '../storePort.js'

export interface DrainRequest {
  readonly backendServer: BackendServerId
  /** Removes the mark. */
  readonly undo: boolean
  readonly json: boolean
}

const MAX_ATTEMPTS = 5

export async function drainBackendServer(
  store: StorePort,
  request: DrainRequest,
): Promise<CommandResult> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const result = await drainOnce(store, request)
    if (result !== 'lostRace') return result
  }
  return fail(EXIT_CODES.conflict, 'other operators keep changing the drains; nothing was changed')
}

/** The mark is a member of a set, so after a conflict the change can be retried on the newer set. */
async function drainOnce(
  store: StorePort,
  request: DrainRequest,
): Promise<CommandResult | 'lostRace'> {
  const current = await readDocument(store, DRAINS_KEY)
  if (current.isErr()) return describeFailure(current.error)
  const drains = (current.value?.value ?? { version: 0, backendServers: [] }) as DrainList
  if (isInForce(drains, request)) return describeDrains(drains, request.json)
  const others = drains.backendServers.filter(server => server !== request.backendServer)
  const next: DrainList = {
    version: drains.version + 1,
    backendServers: request.undo ? others : [...others, request.backendServer].sort(),
  }
  const changed = await changeDocument(store, {
    key: DRAINS_KEY,
    expectedRevision: current.value?.revision ?? 0,
    value: next,
    isContainedIn: stored => stored !== undefined && isInForce(stored as DrainList, request),
  })
  if (changed.isOk()) return describeDrains(next, request.json)
  return changed.error.kind === 'conflict' ? 'lostRace' : describeFailure(changed.error)
}

const isInForce = (drains: DrainList, request: DrainRequest): boolean =>
  drains.backendServers.includes(request.backendServer) !== request.undo

function describeDrains(drains: DrainList, json: boolean): CommandResult {
  if (json) return succeed(`${JSON.stringify(drains)}\n`)
  const names = drains.backendServers.length === 0 ? 'none' : drains.backendServers.join(', ')
  return succeed(`draining: ${names}\n`)
}

function describeFailure(error: ChangeError): CommandResult {
  if (error.kind === 'outcomeUnknown') {
    return fail(EXIT_CODES.outcomeUnknown, `the store's answer is lost: ${error.detail}`)
  }
  const detail = error.kind === 'unreachable' ? error.detail : 'conflict'
  return fail(EXIT_CODES.unreachable, `store unreachable, nothing was changed: ${detail}`)
}
