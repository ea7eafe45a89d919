import { describe, it } from 'node:test'
import { expect, mockFn } from 'earl'
import { withHostFixture } from './support/hostFixture.js'

describe('a failed scenario', () => {
  // "the primary crashes" failed once, and nothing that its hosts logged was kept.
  it('prints what its hosts logged', async t => {
    const print = mockFn<[string], undefined>(() => undefined)
    t.mock.method(console, 'error', print)
    const scenario = withHostFixture(2, () => Promise.reject(new Error('of the scenario')))
    await expect(scenario).toBeRejectedWith('of the scenario')
    const [text = ''] = print.calls[0]?.args ?? []
    for (const part of ['host-1 server_appeared', 'host-2 server_appeared', '"server":"i-p"']) {
      expect(text.includes(part)).toEqual(true)
    }
  })
})
