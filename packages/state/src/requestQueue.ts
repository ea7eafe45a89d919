/**
 * Priority queue of requests that wait for a connection, earliest deadline first.
 *
 * @internal
 */
import TinyQueue from 'tinyqueue'
import type { Milliseconds } from '@nutmegcourse/shared'
import type { ProxyRequest } from './proxyRequest.js'

interface QueuedRequest {
  readonly request: ProxyRequest
  readonly deadline: Milliseconds
  /** Keeps requests with equal deadlines in order of insertion. */
  readonly order: number
}

const byDeadline = (left: QueuedRequest, right: QueuedRequest): number =>
  left.deadline - right.deadline || left.order - right.order

export class RequestQueue {
  #entries = new TinyQueue<QueuedRequest>([], byDeadline)
  readonly #members = new Set<ProxyRequest>()
  #order = 0

  get size(): number {
    return this.#members.size
  }

  push(request: ProxyRequest): void {
    this.#order += 1
    this.#members.add(request)
    this.#entries.push({ request, deadline: request.deadline, order: this.#order })
  }

  peek(): ProxyRequest | null {
    if (this.#members.size === 0) return null
    this.#dropRemoved()
    return this.#entries.peek()?.request ?? null
  }

  pop(): ProxyRequest | null {
    const request = this.peek()
    if (request === null) return null
    this.#entries.pop()
    this.#members.delete(request)
    return request
  }

  /** Removes lazily: the entry stays in the heap until it reaches the top. */
  remove(request: ProxyRequest): void {
    this.#members.delete(request)
    if (this.#members.size === 0) this.#entries = new TinyQueue<QueuedRequest>([], byDeadline)
  }

  drain(): ProxyRequest[] {
    const requests = [...this.#members]
    this.#members.clear()
    this.#entries = new TinyQueue<QueuedRequest>([], byDeadline)
    return requests
  }

  #dropRemoved(): void {
    for (;;) {
      const head = this.#entries.peek()
      if (head === undefined) return
      const current = this.#members.has(head.request) && head.request.deadline === head.deadline
      if (current) return
      this.#entries.pop()
    }
  }
}
