/** Messages of a backend server at startup, including malformed ones. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { BackendStartup } from '../src/backendStartup.js'
import { frameOf } from './support/rawCaller.js'

describe('the startup of a backend connection', () => {
  const cases = [
    { what: 'trust authentication', frame: frameOf('R', '\0\0\0\0'), expected: 'pending' },
    { what: 'a password request', frame: frameOf('R', '\0\0\0\x03'), expected: 'failed refused' },
    {
      what: 'a truncated authentication message',
      frame: frameOf('R', '\0'),
      expected: 'failed refused',
    },
    { what: 'a truncated key', frame: frameOf('K', '\0\0\0\x01'), expected: 'failed refused' },
    { what: 'a notice', frame: frameOf('N', 'Mhello\0\0'), expected: 'pending' },
    { what: 'readiness', frame: frameOf('Z', 'I'), expected: 'ready' },
    {
      what: 'the error for too many connections',
      frame: frameOf('E', 'SFATAL\0C53300\0Mfull\0\0'),
      expected: 'failed tooManyConnections',
    },
    {
      what: 'the error for an unknown database',
      frame: frameOf('E', 'C3D000\0\0'),
      expected: 'failed refused',
    },
  ]
  for (const { what, frame, expected } of cases) {
    it(`reads ${what} as ${expected}`, () => {
      const step = new BackendStartup().read(frame[0] ?? 0, frame, 0, frame.length)
      const result = step.kind === 'failed' ? `failed ${step.failure}` : step.kind
      expect(result).toEqual(expected)
    })
  }

  it('stores the key and the parameters', () => {
    const startup = new BackendStartup()
    for (const frame of [frameOf('K', '\0\0\0\x01\0\0\0\x02'), frameOf('S', 'TimeZone\0UTC\0')]) {
      startup.read(frame[0] ?? 0, frame, 0, frame.length)
    }
    expect(startup.key).toEqual({ processId: 1, secret: 2 })
    expect([...startup.parameters]).toEqual([['TimeZone', 'UTC']])
  })
})
