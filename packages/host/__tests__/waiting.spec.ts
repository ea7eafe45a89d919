import { once } from 'node:events'
import { connect } from 'node:net'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { addMilliseconds, SystemClock } from '@nutmegcourse/shared'
import { listen } from '@nutmegcourse/transport'
import { OVERDUE, withDeadline } from '../src/waiting.js'

const DEADLINE_MILLISECONDS = 50

function blockEventLoop(): void {
  const end = performance.now() + 2 * DEADLINE_MILLISECONDS
  while (performance.now() < end);
}

describe('a deadline', () => {
  const clock = new SystemClock()
  const cases = [
    // Guards against a finished write that is reported as overdue, since its answer lies unread after a stall.
    {
      name: 'counts what arrived during a stall of this process',
      answers: true,
      expected: 'answer',
    },
    { name: 'is over when nothing has arrived', answers: false, expected: 'overdue' },
  ]
  for (const { name, answers, expected } of cases) {
    it(name, async () => {
      const { server, port } = await listen('127.0.0.1', 0, socket => {
        socket.once('data', () => {
          if (answers) socket.write('answer')
          setImmediate(blockEventLoop)
        })
      })
      const socket = connect(port, '127.0.0.1')
      await once(socket, 'connect')
      socket.write('question')
      const answer = once(socket, 'data').then(([bytes]) => String(bytes))
      const deadline = addMilliseconds(clock.now(), DEADLINE_MILLISECONDS)
      const result = await withDeadline(answer, deadline, clock)
      socket.destroy()
      server.close()
      expect(result === OVERDUE ? 'overdue' : result).toEqual(expected)
    })
  }
})
