/** The primary's side of replication: streams its log to one follower as one JSON value per line. */
import type { Socket } from 'node:net'
import { z } from 'zod'
import { term } from '@nutmegcourse/shared'
import type { DatabaseInstance } from './databaseInstance.js'
import type { LogRecord } from './logRecord.js'

export type ReplicationMessage =
  | { readonly kind: 'refused'; readonly reason: string }
  /** The follower's log equals the primary's up to `offset`; the records after it are sent next. */
  | { readonly kind: 'accepted'; readonly offset: number }
  | {
      readonly kind: 'records'
      readonly from: number
      readonly records: readonly LogRecord[]
    }

const RECORDS_PER_MESSAGE = 256

const requestSchema = z.object({
  replication: z.literal('nutmeg'),
  term: z.coerce.number().int().min(0),
  log: z
    .string()
    .transform((text): unknown => JSON.parse(text))
    .pipe(z.array(z.object({ term: z.number(), lastOffset: z.number() }))),
})

export class ReplicationSource {
  readonly #socket: Socket
  readonly #instance: DatabaseInstance
  #next: number | null = null

  constructor(socket: Socket, instance: DatabaseInstance, parameters: ReadonlyMap<string, string>) {
    this.#socket = socket
    this.#instance = instance
    socket.on('drain', () => {
      this.pump()
    })
    const request = requestSchema.safeParse(Object.fromEntries(parameters))
    if (!request.success) this.#refuse('unreadable request')
    else if (instance.ledTerm !== term(request.data.term))
      this.#refuse('not the primary of that term')
    else {
      this.#next = instance.commonOffsetWith(request.data.log)
      this.#send({ kind: 'accepted', offset: this.#next })
      this.pump()
    }
  }

  /** Sends the records that the follower lacks until the socket needs to drain. */
  pump(): void {
    while (this.#next !== null && this.#next < this.#instance.logLength) {
      if (this.#socket.destroyed || this.#socket.writableNeedDrain) return
      const from = this.#next
      const records = this.#instance.records(from, RECORDS_PER_MESSAGE)
      this.#next += records.length
      this.#send({ kind: 'records', from, records })
    }
  }

  close(): void {
    this.#socket.destroy()
  }

  #refuse(reason: string): void {
    this.#send({ kind: 'refused', reason })
    this.#socket.end()
  }

  #send(message: ReplicationMessage): void {
    this.#socket.write(`${JSON.stringify(message)}\n`)
  }
}
