/**
 * Decides in which region a read is served.
 *
 * @internal
 */
import type { HostSettings } from '@nutmegcourse/protocol'
import type { Milliseconds } from '@nutmegcourse/shared'
import { canServeNear, primaryRegion } from './serviceRegions.js'
import { needsPrimary, type StatementRequest } from './statements.js'

/**
 * Whether a dispatcher should leave a read, or the begin of a read-only transaction, to the dispatcher of the primary's
 * region because no server of its own region is expected to serve it now. The dispatcher of that region never does, so
 * that no request is passed on twice.
 */
export function isBetterAtPrimary(
  request: StatementRequest,
  readOnly: boolean,
  settings: Pick<HostSettings, 'region' | 'regions'>,
  now: Milliseconds,
): boolean {
  const { service, route, session, customer } = request
  if (service.dispatchedPart === null || !service.isOwned) return false
  const region = primaryRegion(service, settings)
  if (region === null || region === settings.region) return false
  if (needsPrimary(request, readOnly)) return false
  const need = service.need(route.guarantee, session.ownPosition, now)
  switch (need.kind) {
    case 'primary':
    case 'unknown':
      return true
    case 'position':
      return !canServeNear(service, settings, need.position, customer, now)
  }
}
