import { SeededRandom, type VirtualClock } from '@nutmegcourse/shared'
import type { HostContext } from '../../src/hostContext.js'
import { OwnStall } from '../../src/ownStall.js'
import { StoreKnowledge } from '../../src/storeKnowledge.js'
import { ChangeFeedServer } from '../../src/changeFeedServer.js'
import type { ChangeFeed } from '../../src/storeFollower.js'
import { ChangeFeedReader, type ChangeFeedSource } from '../../src/changeFeedReader.js'

/** The part of a host's context that `StoreFollower` and the change feed need. */
export const followerContext = (clock: VirtualClock): HostContext =>
  ({
    clock,
    random: new SeededRandom(1),
    settings: {
      configurationMilliseconds: 4000,
      revocation: { isStrict: false, withinMilliseconds: 5000 },
    },
    log: { write: () => undefined },
    ownStall: new OwnStall(clock),
    knowledge: new StoreKnowledge(clock, 4000),
  }) as unknown as HostContext

/** A change feed whose reader may ask the given hosts. */
export const changeFeedWith = (
  context: HostContext,
  sources: () => readonly ChangeFeedSource[] = () => [],
  others: () => readonly ChangeFeedSource[] = () => [],
): ChangeFeed => ({
  reader: new ChangeFeedReader(context, { changeFeedSources: sources, otherSources: others }),
  server: new ChangeFeedServer(context),
})
