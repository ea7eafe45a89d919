/** Reads the status of slots from the metrics address of an entry host. */
import { get } from 'node:http'
import { text } from 'node:stream/consumers'
import { ResultAsync, err, ok, type Result } from 'neverthrow'
import { readSlotStatus, type SlotStatus } from '@nutmegcourse/protocol'
import type { RpcEndpoint } from './callOnce.js'

const SLOTS_PATH = '/slots'
const TIMEOUT_MILLISECONDS = 5000

export type SlotsError =
  | { readonly kind: 'unreachable'; readonly detail: string }
  /** Something answers, but not with a status of slots. */
  | { readonly kind: 'noStatus' }

export function readSlots(
  endpoint: RpcEndpoint,
  timeoutMilliseconds = TIMEOUT_MILLISECONDS,
): ResultAsync<SlotStatus, SlotsError> {
  return ResultAsync.fromPromise(request(endpoint, timeoutMilliseconds), describeFailure).andThen(
    parseStatus,
  )
}

function request({ address, port }: RpcEndpoint, timeoutMilliseconds: number): Promise<string> {
  const signal = AbortSignal.timeout(timeoutMilliseconds)
  return new Promise((resolve, reject) => {
    const options = { host: address, port, path: SLOTS_PATH, signal, agent: false }
    get(options, response => {
      text(response).then(resolve, reject)
    }).on('error', reject)
  })
}

function describeFailure(error: unknown): SlotsError {
  const isTimeout = error instanceof Error && error.name === 'AbortError'
  if (isTimeout) return { kind: 'unreachable', detail: 'no answer in time' }
  return { kind: 'unreachable', detail: error instanceof Error ? error.message : String(error) }
}

function parseStatus(body: string): Result<SlotStatus, SlotsError> {
  const status = readSlotStatus(parseJson(body))
  return status === null ? err({ kind: 'noStatus' }) : ok(status)
}

/** Undefined for what is no JSON: the metrics of a host that does not schedule slots are text. */
function parseJson(body: string): unknown {
  try {
    return JSON.parse(body)
  } catch {
    return undefined
  }
}
