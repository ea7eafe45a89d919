/** One direction of a relayed connection: forwards bytes after a delay, at a shared rate, unless cut. */
import type { Socket } from 'node:net'
import { assertNever } from '@nutmegcourse/shared'
import type { SharedRate } from './sharedRate.js'

/** Bytes in flight before the source is paused; above the bandwidth-delay product of a link. */
const MAXIMUM_IN_FLIGHT_BYTES = 1024 * 1024

export interface PipeOptions {
  readonly delayMilliseconds: number
  readonly rate: SharedRate | null
  readonly count: (bytes: number) => void
}

interface QueuedPayload {
  readonly dueAt: number
  readonly payload: Payload
}

type Payload =
  | { readonly kind: 'bytes'; readonly bytes: Buffer }
  /** The sender has half-closed the connection and may still read. */
  | { readonly kind: 'end' }
  | { readonly kind: 'close' }

export class RelayPipe {
  readonly #from: Socket
  readonly #to: Socket
  readonly #options: PipeOptions
  readonly #queue: QueuedPayload[] = []
  #inFlightBytes = 0
  #timer: NodeJS.Timeout | null = null
  #cut = false

  constructor(from: Socket, to: Socket, options: PipeOptions) {
    this.#from = from
    this.#to = to
    this.#options = options
    from.on('data', bytes => {
      this.#send({ kind: 'bytes', bytes })
    })
    from.once('end', () => {
      this.#send({ kind: 'end' })
    })
    from.once('close', () => {
      this.#send({ kind: 'close' })
    })
    to.on('drain', () => {
      this.#deliver()
    })
  }

  /**
   * During a cut, nothing arrives and nothing is reset, as behind a firewall that drops packets. Bytes
   * already sent are kept, as TCP would retransmit them, and arrive after the cut is healed.
   */
  setCut(cut: boolean): void {
    this.#cut = cut
    if (!cut) this.#deliver()
  }

  close(): void {
    if (this.#timer !== null) clearTimeout(this.#timer)
    this.#queue.length = 0
  }

  /** Queues bytes, an end or a close in order, so that the end of the stream follows its last bytes. */
  #send(payload: Payload): void {
    const length = payload.kind === 'bytes' ? payload.bytes.length : 0
    const queued = this.#options.rate?.reserve(length) ?? 0
    this.#queue.push({
      dueAt: performance.now() + this.#options.delayMilliseconds + queued,
      payload,
    })
    this.#inFlightBytes += length
    if (this.#inFlightBytes > MAXIMUM_IN_FLIGHT_BYTES) this.#from.pause()
    if (this.#timer === null) this.#deliver()
  }

  #deliver(): void {
    if (this.#timer !== null) clearTimeout(this.#timer)
    this.#timer = null
    for (let first = this.#queue[0]; first !== undefined; first = this.#queue[0]) {
      if (this.#cut || this.#to.writableNeedDrain) return
      const wait = first.dueAt - performance.now()
      if (wait > 0) {
        this.#timer = setTimeout(() => {
          this.#deliver()
        }, wait)
        return
      }
      this.#queue.shift()
      this.#deliverPayload(first.payload)
    }
  }

  #deliverPayload(payload: Payload): void {
    switch (payload.kind) {
      case 'bytes':
        this.#deliverBytes(payload.bytes)
        return
      case 'end':
        this.#to.end()
        return
      case 'close':
        this.#to.destroySoon()
        return
      default:
        assertNever(payload)
    }
  }

  #deliverBytes(bytes: Buffer): void {
    this.#inFlightBytes -= bytes.length
    this.#options.count(bytes.length)
    if (!this.#to.destroyed) this.#to.write(bytes)
    if (this.#inFlightBytes <= MAXIMUM_IN_FLIGHT_BYTES) this.#from.resume()
  }
}
