/** The ways to know what a session wrote elsewhere, compared under one load. */
import { benchClass, type BenchPlace } from './benchCore.js'
import { VirtualLoad, type LoadOutcome, type SessionTracking } from './virtualLoad.js'

export interface SessionTrackingRow extends LoadOutcome {
  readonly sessions: SessionTracking
  readonly place: BenchPlace
  readonly readsPerSecond: number
}

const WAYS: readonly SessionTracking[] = ['token', 'holder', 'boundPerArrival']
const PLACES: readonly BenchPlace[] = ['near', 'far']
const RATES = [2, 200]
/** Replicas that keep up: in the primary's region, and past the link. */
const NEAR_LAG_MILLISECONDS = 2
const FAR_LAG_MILLISECONDS = 25

export function measureSessionTracking(): readonly SessionTrackingRow[] {
  return PLACES.flatMap(place =>
    RATES.flatMap(readsPerSecond =>
      WAYS.map(sessions => {
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
