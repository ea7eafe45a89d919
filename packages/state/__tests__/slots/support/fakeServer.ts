/** A server with k slots that runs statements first come, first served, on a virtual clock. */
import TinyQueue from 'tinyqueue'
import { milliseconds, type Milliseconds } from '@nutmegcourse/shared'
import type { ServerSlots, SlotRequest } from '../../../src/index.js'

export type Outcome =
  | { readonly kind: 'answered'; readonly startedAt: number; readonly answeredAt: number }
  | { readonly kind: 'refused' | 'expired'; readonly at: number }

interface FakeLoad<Request extends SlotRequest> {
  readonly slots: ServerSlots<Request>
  readonly serverSlots: number
  readonly requests: readonly Request[]
}

/** Submits each request when it arrives, and returns how each ended. */
export function serveLoad<Request extends SlotRequest>(load: FakeLoad<Request>) {
  const { slots, serverSlots, requests } = load
  const outcomes = new Map<Request, Outcome>()
  const freeAt = Array.from({ length: serverSlots }, () => 0)
  const events = new TinyQueue<{ at: number; run: (now: Milliseconds) => void }>(
    requests.map(request => ({
      at: request.arrivedAt,
      run: now => {
        submit(request, now)
      },
    })),
    (left, right) => left.at - right.at,
  )
  const submit = (request: Request, now: Milliseconds) => {
    const { kind } = slots.submit(request, now)
    if (kind === 'started') start(request, now)
    if (kind === 'queued') events.push({ at: request.latestStart + 1, run: takeNext })
    if (kind === 'refused') outcomes.set(request, { kind, at: now })
  }
  const start = (request: Request, now: Milliseconds) => {
    const slot = freeAt.indexOf(Math.min(...freeAt))
    const slotMilliseconds = request.expectedMilliseconds
    const answeredAt = Math.max(now, freeAt[slot] ?? 0) + slotMilliseconds
    freeAt[slot] = answeredAt
    outcomes.set(request, { kind: 'answered', startedAt: now, answeredAt })
    const run = (then: Milliseconds) => {
      slots.finish(request, { kind: 'answered', slotMilliseconds: then - now }, then)
      takeNext(then)
    }
    events.push({ at: answeredAt, run })
  }
  const takeNext = (now: Milliseconds) => {
    for (const request of slots.takeExpired(now))
      outcomes.set(request, { kind: 'expired', at: now })
    for (const request of slots.takeStartable(now)) start(request, now)
  }
  for (let event = events.pop(); event !== undefined; event = events.pop()) {
    event.run(milliseconds(event.at))
  }
  return outcomes
}
