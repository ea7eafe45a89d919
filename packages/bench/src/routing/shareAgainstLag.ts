/** Measures the share of reads served by replicas depending on their lag. */
import { benchClass } from './benchCore.js'
import { VirtualLoad, type LoadOutcome } from './virtualLoad.js'

export interface ShareRow extends LoadOutcome {
  readonly way: string
  readonly lags: string
  readonly shareOfPermitted: number
}

const LAGS_MILLISECONDS = [2, 10, 50, 200, 800, 1200, 5000]
const USUAL_FAR_LAG_MILLISECONDS = 25
const PERMITTED = 0.9
const SECONDS = 10

const WAYS = [
  { way: 'bound to a connection, 1 s old', sessions: 'token', freshnessMilliseconds: 1000 },
  { way: 'roaming, 1 s old', sessions: 'boundPerArrival', freshnessMilliseconds: 1000 },
  { way: 'everything acknowledged', sessions: 'token', freshnessMilliseconds: 0 },
] as const

/** First only the near replica lags, then both replicas do. */
const LAGS = [
  ...LAGS_MILLISECONDS.map(near => ({ near, far: USUAL_FAR_LAG_MILLISECONDS })),
  ...LAGS_MILLISECONDS.filter(lag => lag > USUAL_FAR_LAG_MILLISECONDS).map(lag => ({
    near: lag,
    far: lag,
  })),
]

export function measureShareAgainstLag(): readonly ShareRow[] {
  return WAYS.flatMap(({ way, sessions, freshnessMilliseconds }) =>
    LAGS.map(({ near, far }) => {
      const outcome = new VirtualLoad({
        place: 'near',
        classTargets: benchClass('browse', { freshnessMilliseconds, replicaReadShare: PERMITTED }),
        sessions,
        nearLagMilliseconds: near,
        farLagMilliseconds: far,
        readsPerSecond: 200,
        writesPerSecond: 20,
        seconds: SECONDS,
      }).run()
      const shareOfPermitted = Math.round((outcome.replicaShare / PERMITTED) * 1000) / 1000
      return { way, lags: `${near} / ${far}`, ...outcome, shareOfPermitted }
    }),
  )
}
