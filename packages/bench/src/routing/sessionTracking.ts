/**
 * Compares the methods of tracking what a session wrote through other proxies, under the same load.
 */
import { benchClass, type BenchPlace } from './benchCore.js'
import { VirtualLoad, type LoadOutcome, type SessionTracking } from './virtualLoad.js'

export interface SessionTrackingRow extends LoadOutcome {
  readonly sessions: SessionTracking
  readonly place: BenchPlace
  readonly readsPerSecond: number
}

const METHODS: readonly SessionTracking[] = ['token', 'holder', 'boundPerArrival']
const PLACES: readonly BenchPlace[] = ['near', 'far']
const RATES = [2, 200]
/** Lag of replicas that keep up, in the primary's region and in the other region. */
const NEAR_LAG_MILLISECONDS = 2
const FAR_LAG_MILLISECONDS = 25

export function measureSessionTracking(): readonly SessionTrackingRow[] {
  return PLACES.flatMap(place =>
    RATES.flatMap(readsPerSecond =>
      METHODS.map(sessions => {
        const outcome = new VirtualLoad({
          place,
          classTargets: benchClass('browse', { replicaReadShare: 0.9 }),
          sessions,
          nearLagMilliseconds: NEAR_LAG_MILLISECONDS,
          farLagMilliseconds: FAR_LAG_MILLISECONDS,
          readsPerSecond,
          writesPerSecond: readsPerSecond / 10,
          seconds: readsPerSecond < 10 ? 200 : 20,
        }).run()
        return { sessions, place, readsPerSecond, ...outcome }
      }),
    ),
  )
}
