/** A listed and live member of a group, for plans of a change. */
import type { BackendServerId } from '@nutmegcourse/shared'
import type { GroupMember } from '../../src/index.js'

export const member = (server: BackendServerId, given: Partial<GroupMember> = {}): GroupMember => ({
  server,
  isLeaving: false,
  isListed: true,
  startedAtUnixMilliseconds: null,
  hasJoined: false,
  mayHoldWrites: true,
  holdsUpTo: null,
  mayReturn: true,
  mayBringLog: true,
  hasRestarted: false,
  isAwaited: true,
  distance: 0,
  ...given,
})
