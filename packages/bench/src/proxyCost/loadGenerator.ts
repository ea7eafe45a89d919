/** Closed-loop callers over raw sockets, cheap enough not to limit the measurement. */
import { setTimeout as pause } from 'node:timers/promises'
import { connect, type Socket } from 'node:net'
import { once } from 'node:events'
import { build, type Histogram } from 'hdr-histogram-js'
import { ServerMessage, queryMessage, startupMessage } from '@nutmegcourse/protocol'
import { processorMicroseconds } from './processorTime.js'

const LOOPBACK = '127.0.0.1'
const QUERY = queryMessage('SELECT value FROM assignments WHERE key = 7')
const READY_BYTES = 6
const MICROSECONDS = 1000
const WARMUP_MILLISECONDS = 500

export interface LoadResult {
  readonly perSecond: number
  readonly p50Microseconds: number
  readonly p99Microseconds: number
  readonly errors: number
  /**
   * Processor time of the measured process per request; unaffected by contention for the processor.
   */
  readonly processorMicroseconds: number
}

export interface LoadPlan {
  /** The measured process. */
  readonly processId: number
  readonly port: number
  readonly callers: number
  readonly milliseconds: number
  readonly className: string
}

/** Opens connections and completes their startup. */
export async function openCallers(
  port: number,
  count: number,
  className: string,
): Promise<readonly Socket[]> {
  const options = `-c nutmegcourse.class=${className}`
  const startup = startupMessage({ user: 'bench', database: 'bench', options })
  const sockets: Socket[] = []
  for (let index = 0; index < count; index += 1) {
    const socket = connect({ host: LOOPBACK, port, noDelay: true })
    socket.on('error', () => undefined)
    socket.write(startup)
    sockets.push(socket)
    const chunk = ((await once(socket, 'data')) as [Buffer])[0]
    if (!endsWithReady(chunk)) throw new Error(`startup failed: ${chunk.toString('latin1')}`)
  }
  return sockets
}

const endsWithReady = (chunk: Buffer): boolean =>
  chunk.length >= READY_BYTES && chunk[chunk.length - READY_BYTES] === ServerMessage.readyForQuery

/**
 * Keeps every caller busy. Requests while connections open and code warms up are not measured, but
 * their errors are counted.
 */
export async function runLoad(plan: LoadPlan): Promise<LoadResult> {
  const sockets = await openCallers(plan.port, plan.callers, plan.className)
  const load = new RunningLoad(sockets)
  await pause(WARMUP_MILLISECONDS)
  const processorBefore = processorMicroseconds(plan.processId)
  load.startCounting()
  const start = performance.now()
  await pause(plan.milliseconds)
  const seconds = (performance.now() - start) / 1000
  const processor = processorMicroseconds(plan.processId) - processorBefore
  const { histogram, errors } = load.stop()
  for (const socket of sockets) socket.destroy()
  return {
    perSecond: histogram.totalCount / seconds,
    p50Microseconds: histogram.getValueAtPercentile(50),
    p99Microseconds: histogram.getValueAtPercentile(99),
    errors,
    processorMicroseconds: processor / histogram.totalCount,
  }
}

/** Each caller sends its next request as soon as the previous one is answered. */
class RunningLoad {
  readonly #histogram = build({
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 3,
  })
  #counting = false
  #errors = 0

  constructor(sockets: readonly Socket[]) {
    for (const socket of sockets) this.#runCaller(socket)
  }

  startCounting(): void {
    this.#counting = true
  }

  stop(): { readonly histogram: Histogram; readonly errors: number } {
    this.#counting = false
    return { histogram: this.#histogram, errors: this.#errors }
  }

  #runCaller(socket: Socket): void {
    let start = performance.now()
    socket.on('data', (chunk: Buffer) => {
      if (chunk[0] === ServerMessage.errorResponse) this.#errors += 1
      if (!endsWithReady(chunk)) return
      const now = performance.now()
      const microseconds = Math.max(1, Math.round((now - start) * MICROSECONDS))
      if (this.#counting) this.#histogram.recordValue(microseconds)
      start = now
      socket.write(QUERY)
    })
    socket.write(QUERY)
  }
}
