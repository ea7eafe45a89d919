/** Stand-in for the platform's key-value service: JSON-RPC over TCP, with injectable faults. */
import type { Server, Socket } from 'node:net'
import { z } from 'zod'
import type { StoreWatchResult } from '@nutmegcourse/protocol'
import { SystemClock, type Clock } from '@nutmegcourse/shared'
import { JsonRpcConnection, listen, type RpcHandler } from '@nutmegcourse/transport'
import { RateLimit } from './rateLimit.js'
import { StoreContents } from './storeContents.js'

const MAXIMUM_VALUE_BYTES = 1024 * 1024
const LEASE_CHECK_MILLISECONDS = 20

export const storeSettingsSchema = z.strictObject({
  address: z.string().default('127.0.0.1'),
  port: z.int().default(0),
  /** Delay of each answer. */
  answerMilliseconds: z.number().min(0).default(2),
  writesPerSecond: z.number().positive().default(500),
  readsPerSecond: z.number().positive().default(2000),
})
export type StoreSettings = z.infer<typeof storeSettingsSchema>

const faultsSchema = z.strictObject({
  /** No call is answered or has an effect. */
  outage: z.boolean().optional(),
  /** Added to the delay of each answer. */
  delayMilliseconds: z.number().min(0).optional(),
  /** Number of the next swaps that are carried out and never answered. */
  loseNextAnswers: z.int().min(0).optional(),
})
/** Parameters of `fault.set`; absent ones keep their values. */
export type StoreFaults = z.infer<typeof faultsSchema>

const keySchema = z.object({ key: z.string() })
const listSchema = z.object({ prefix: z.string() })
const swapSchema = z.object({
  key: z.string(),
  expectedRevision: z.int().min(0),
  value: z.unknown(),
  leaseId: z.string().exactOptional(),
})
const watchSchema = z.object({
  prefix: z.string(),
  afterRevision: z.int().min(0),
  waitMilliseconds: z.number().min(0),
})
const grantSchema = z.object({ timeToLiveMilliseconds: z.number().positive() })
const leaseSchema = z.object({ leaseId: z.string() })

type CallKind = 'read' | 'write'

export class StoreServer {
  readonly #settings: StoreSettings
  readonly #contents: StoreContents
  readonly #limits: Readonly<Record<CallKind, RateLimit>>
  readonly #calls = new Map<string, number>()
  readonly #sockets = new Set<Socket>()
  readonly #leaseTimer: NodeJS.Timeout
  #server: Server | null = null
  #outage = false
  #delayMilliseconds = 0
  #answersToLose = 0

  constructor(settings: StoreSettings, clock: Clock = new SystemClock()) {
    this.#settings = settings
    this.#contents = new StoreContents(clock)
    this.#limits = {
      read: new RateLimit(clock, settings.readsPerSecond),
      write: new RateLimit(clock, settings.writesPerSecond),
    }
    this.#leaseTimer = setInterval(() => {
      this.#contents.expire()
    }, LEASE_CHECK_MILLISECONDS)
  }

  async start(): Promise<number> {
    const accept = (socket: Socket): void => {
      this.#sockets.add(socket)
      socket.once('close', () => this.#sockets.delete(socket))
      new JsonRpcConnection(socket, this.#handlers())
    }
    const { server, port } = await listen(this.#settings.address, this.#settings.port, accept)
    this.#server = server
    return port
  }

  stop(): void {
    clearInterval(this.#leaseTimer)
    this.#server?.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  #handlers(): Record<string, RpcHandler> {
    const contents = this.#contents
    return {
      'store.get': this.#call('get', 'read', keySchema, params => contents.get(params.key)),
      'store.list': this.#call('list', 'read', listSchema, params => contents.list(params.prefix)),
      'store.compareAndSwap': this.#call('compareAndSwap', 'write', swapSchema, params => {
        if (Buffer.byteLength(JSON.stringify(params.value)) > MAXIMUM_VALUE_BYTES) {
          throw new Error('value too large: at most 1 MB')
        }
        return contents.compareAndSwap(params)
      }),
      'store.watch': this.#call('watch', 'read', watchSchema, params => this.#watch(params)),
      'store.grantLease': this.#call('grantLease', 'write', grantSchema, params => ({
        leaseId: contents.grantLease(params.timeToLiveMilliseconds),
      })),
      'store.keepAlive': this.#call('keepAlive', 'write', leaseSchema, params => ({
        alive: contents.keepAlive(params.leaseId),
      })),
      'fault.set': params => {
        this.#setFaults(faultsSchema.parse(params))
        return {}
      },
      /** Number of calls by method since the start, including unanswered calls and open watches. */
      'calls.count': () => Object.fromEntries(this.#calls),
    }
  }

  #call<Params>(
    name: string,
    kind: CallKind,
    schema: z.ZodType<Params>,
    run: (params: Params) => unknown,
  ): RpcHandler {
    return async params => {
      this.#calls.set(name, (this.#calls.get(name) ?? 0) + 1)
      if (this.#isInOutage()) return neverAnswered()
      await sleep(this.#limits[kind].reserve())
      const answer = await run(schema.parse(params))
      if (name === 'compareAndSwap' && this.#answersToLose > 0) {
        this.#answersToLose -= 1
        return neverAnswered()
      }
      await sleep(this.#settings.answerMilliseconds + this.#delayMilliseconds)
      return this.#isInOutage() ? neverAnswered() : answer
    }
  }

  async #watch(params: z.infer<typeof watchSchema>): Promise<StoreWatchResult> {
    const { prefix, afterRevision, waitMilliseconds } = params
    const find = (): StoreWatchResult | null => this.#contents.changesAfter(prefix, afterRevision)
    const immediate = find()
    if (immediate !== null) return immediate
    return new Promise(resolve => {
      const finish = (result: StoreWatchResult): void => {
        clearTimeout(timer)
        stopListening()
        resolve(result)
      }
      const timer = setTimeout(() => {
        finish({ revision: this.#contents.revision, changed: [], removedKeys: [] })
      }, waitMilliseconds)
      const stopListening = this.#contents.onChange(() => {
        const found = find()
        if (found !== null) finish(found)
      })
    })
  }

  /** Checked again after each wait, because an outage may have started in the meantime. */
  #isInOutage(): boolean {
    return this.#outage
  }

  #setFaults(faults: StoreFaults): void {
    this.#outage = faults.outage ?? this.#outage
    this.#delayMilliseconds = faults.delayMilliseconds ?? this.#delayMilliseconds
    this.#answersToLose = faults.loseNextAnswers ?? this.#answersToLose
  }
}

const neverAnswered = (): Promise<never> => new Promise(() => undefined)

function sleep(milliseconds: number): Promise<void> | undefined {
  return milliseconds <= 0 ? undefined : new Promise(resolve => setTimeout(resolve, milliseconds))
}
