import { SeededRandom, type VirtualClock } from '@nutmegcourse/shared'
import type { HostContext } from '../../src/hostContext.js'

/** All of a host that following the store needs. */
export const followerContext = (clock: VirtualClock): HostContext =>
  ({
    clock,
    random: new SeededRandom(1),
    settings: { configurationMilliseconds: 4000 },
    log: { write: () => undefined },
  }) as unknown as HostContext
