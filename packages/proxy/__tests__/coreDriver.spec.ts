import { once } from 'node:events'
import { connect } from 'node:net'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { SystemClock, addMilliseconds, requestId } from '@nutmegcourse/shared'
import type { ProxyMessage } from '@nutmegcourse/state'
import { listen } from '@nutmegcourse/transport'
import { CoreDriver } from '../src/coreDriver.js'
import type { DecisionCore } from '../src/decisionCore.js'

const WAKE_AFTER_MILLISECONDS = 50
const ANSWERED: ProxyMessage = { kind: 'requestAbandoned', request: requestId('of-the-test') }

/** Schedules one tick, and records the messages that it receives. */
class RecordingCore implements DecisionCore {
  readonly told: string[] = []
  readonly #wakeAt = addMilliseconds(new SystemClock().now(), WAKE_AFTER_MILLISECONDS)

  handle(message: ProxyMessage): readonly [] {
    this.told.push(message.kind)
    return []
  }

  mayStillRun(): boolean {
    return true
  }

  nextWake(): ReturnType<DecisionCore['nextWake']> {
    return this.told.includes('tick') ? null : this.#wakeAt
  }
}

function blockEventLoop(): void {
  const end = performance.now() + 2 * WAKE_AFTER_MILLISECONDS
  while (performance.now() < end);
}

describe('CoreDriver', () => {
  // Guards against a request that is ended at its time limit although its answer lies unread after a stall.
  it('passes on what arrived during a stall before the tick that was due in it', async () => {
    const { server, port } = await listen('127.0.0.1', 0, socket => {
      socket.once('data', () => {
        socket.write('answer')
        setImmediate(blockEventLoop)
      })
    })
    const core = new RecordingCore()
    const driver = new CoreDriver(core, new SystemClock(), () => undefined)
    const socket = connect(port, '127.0.0.1')
    await once(socket, 'connect')
    socket.on('data', () => {
      driver.send(ANSWERED)
    })
    driver.send({ kind: 'stop' })
    socket.write('question')
    while (!core.told.includes('tick')) await new Promise(resolve => setTimeout(resolve, 1))
    driver.stop()
    socket.destroy()
    server.close()
    expect(core.told).toEqual(['stop', 'requestAbandoned', 'tick'])
  })
})
