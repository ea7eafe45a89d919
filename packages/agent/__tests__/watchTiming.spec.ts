import { describe, it } from 'node:test'
import { expect } from 'earl'
import { watchTiming } from '../src/watchTiming.js'

const SETTINGS = { watchIntervalMilliseconds: 100, detectionMilliseconds: 400 }

describe('watchTiming', () => {
  const cases = [
    { servers: 0, hosts: 6, interval: 100, detection: 400 },
    { servers: 3, hosts: 6, interval: 100, detection: 400 },
    { servers: 6, hosts: 6, interval: 100, detection: 400 },
    { servers: 9, hosts: 6, interval: 200, detection: 500 },
    { servers: 3, hosts: 1500, interval: 100, detection: 400 },
    { servers: 12, hosts: 1500, interval: 400, detection: 1000 },
    { servers: 18, hosts: 1500, interval: 800, detection: 2000 },
  ]
  for (const { servers, hosts, interval, detection } of cases) {
    it(`queries ${servers} servers every ${interval} ms in a fleet of ${hosts} hosts`, () => {
      expect(watchTiming(SETTINGS, servers, hosts)).toEqual({
        watchIntervalMilliseconds: interval,
        detectionMilliseconds: detection,
      })
    })
  }
})
