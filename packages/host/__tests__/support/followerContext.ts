import { SeededRandom, type VirtualClock } from '@nutmegcourse/shared'
import type { HostContext } from '../../src/hostContext.js'
import { NewsDesk } from '../../src/newsDesk.js'
import type { NewsExchange } from '../../src/storeFollower.js'
import { ZoneNews, type NewsPeer } from '../../src/zoneNews.js'

/** All of a host that following the store needs. */
export const followerContext = (clock: VirtualClock): HostContext =>
  ({
    clock,
    random: new SeededRandom(1),
    settings: {
      configurationMilliseconds: 4000,
      revocation: { isStrict: false, withinMilliseconds: 5000 },
    },
    log: { write: () => undefined },
  }) as unknown as HostContext

/** What a follower needs of the other hosts: those that it may ask. */
export const exchangeWith = (
  context: HostContext,
  newsPeers: () => readonly NewsPeer[] = () => [],
): NewsExchange => ({
  zone: new ZoneNews(context, { newsPeers }),
  desk: new NewsDesk(context),
})
