/** Generates random histories of a fleet. */
import fc from 'fast-check'
import { CLASSES, SERVERS } from '../coreFixture.js'
import { PROXIES, type FleetAction, type TimedAction } from './fleet.js'
import { COORDINATOR } from './fakeGroup.js'

const PARTICIPANTS = [...SERVERS, ...PROXIES, COORDINATOR]
const MAX_ACTIONS = 40

const proxy = fc.constantFrom(...PROXIES)
const server = fc.constantFrom(...SERVERS)

const action: fc.Arbitrary<FleetAction> = fc.oneof(
  {
    weight: 16,
    arbitrary: fc.record({
      kind: fc.constant('request' as const),
      proxy,
      session: fc.constantFrom('roaming-1', 'roaming-2', 'bound'),
      class: fc.constantFrom(...CLASSES.map(each => String(each.name))),
      transaction: fc.boolean(),
    }),
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('abandon' as const), proxy }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('crash' as const), proxy }) },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant('stop' as const), proxy: fc.constant('p2' as const) }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        'kill' as const,
        'restart' as const,
        'lag' as const,
        'catchUp' as const,
      ),
      server,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('partition' as const),
      cutOff: fc.subarray(PARTICIPANTS, { minLength: 1 }),
    }),
  },
  { weight: 1, arbitrary: fc.constant<FleetAction>({ kind: 'heal' }) },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant('move' as const), completes: fc.boolean() }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('list' as const),
      server,
      state: fc.constantFrom('live' as const, 'leaving' as const),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('failOver' as const),
      steps: fc.constantFrom(1, 2, 3, 4, 4, 4, 4),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('loseAnswers' as const),
      proxy,
      count: fc.integer({ min: 1, max: 3 }),
    }),
  },
)

const delay = fc.oneof(
  { weight: 4, arbitrary: fc.integer({ min: 0, max: 8 }) },
  { weight: 1, arbitrary: fc.integer({ min: 8, max: 400 }) },
)

export interface FleetHistory {
  readonly seed: number
  readonly actions: readonly TimedAction[]
}

export const fleetHistory: fc.Arbitrary<FleetHistory> = fc.record({
  seed: fc.integer({ min: 0, max: 1_000_000 }),
  actions: fc.array(fc.record({ action, delay }), { minLength: 5, maxLength: MAX_ACTIONS }),
})
