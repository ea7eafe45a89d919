/**
 * Keeps the record of a service's members in the store up to date. The hosts that watch the primary take turns by rank,
 * so that one of them writes a change, and the next one only if it does not.
 *
 * @internal
 */
import {
  RANK_DELAY_MILLISECONDS,
  compareMembers,
  membersKey,
  readMemberRecord,
  writeMemberRecord,
  type MemberChange,
  type MemberRecord,
  type RecordedMember,
} from '@nutmegcourse/coordination'
import { eraOf, type StoreLink } from '@nutmegcourse/protocol'
import type { ServerDirectory } from '@nutmegcourse/state'
import { addMilliseconds, milliseconds, type Milliseconds } from '@nutmegcourse/shared'
import type { HostContext } from './hostContext.js'
import { CALL_LIMIT_MILLISECONDS } from './primaryClaim.js'

/** What a record says too much does no harm soon, and several such changes go into one call. */
const OUTDATED_MILLISECONDS = 2000

/** Pause after a call that failed. */
const RETRY_MILLISECONDS = 1000

export interface MemberRecorderParts {
  readonly context: HostContext
  readonly service: string
  readonly directory: ServerDirectory
  readonly store: StoreLink
  /** This host's rank among those that watch the primary. */
  readonly rank: () => number
}

export class MemberRecorder {
  readonly #parts: MemberRecorderParts
  #record: MemberRecord | null = null
  #revision = 0
  #pending: { readonly change: MemberChange; readonly since: Milliseconds } | null = null
  #isWriting = false
  #retryAt = milliseconds(0)

  constructor(parts: MemberRecorderParts) {
    this.#parts = parts
  }

  /** `revision` is 0 if there is no record. */
  receive(value: string | null, revision: number): void {
    const { context, service, directory } = this.#parts
    this.#revision = revision
    this.#record = value === null ? null : readMemberRecord(service, value)
    if (this.#record?.era !== eraOf(revision)) return
    const now = context.clock.now()
    for (const member of this.#record.members) {
      if (!directory.noteRecorded(member, now)) continue
      const { server, host, port } = member.entry
      const address = `${host}:${String(port)}`
      context.log.write('member_recorded', { service, server, address, hasEnded: member.hasEnded })
    }
  }

  /** `era`: that of the store as this host knows it. */
  tick(now: Milliseconds, era: number): void {
    if (this.#isWriting || now < this.#retryAt) return
    const { service, directory, rank } = this.#parts
    const members = directory.membersOf(service, now)
    const change = compareMembers(this.#record, members, era)
    if (change === 'none') {
      this.#pending = null
      return
    }
    if (this.#pending?.change !== change) this.#pending = { change, since: now }
    const delay = change === 'isOutdated' ? OUTDATED_MILLISECONDS : 0
    const turn = addMilliseconds(this.#pending.since, delay + rank() * RANK_DELAY_MILLISECONDS)
    if (now >= turn) void this.#write({ era, members })
  }

  async #write(record: MemberRecord): Promise<void> {
    const { context, service, store } = this.#parts
    const key = membersKey(service)
    const value = writeMemberRecord(record)
    this.#isWriting = true
    const made = await store.change(
      {
        expected: [{ key, revision: this.#revision }],
        puts: [{ key, value, lease: 0 }],
        removes: [],
      },
      CALL_LIMIT_MILLISECONDS,
    )
    this.#isWriting = false
    if (made.isOk() && made.value.kind === 'made') {
      this.receive(value, made.value.revision)
      context.log.write('members_written', { service, members: namesOf(record.members) })
      return
    }
    if (made.isOk() && made.value.kind === 'conflict') {
      const [found] = made.value.records
      this.receive(found?.value ?? null, found?.revision ?? 0)
      return
    }
    this.#retryAt = addMilliseconds(context.clock.now(), RETRY_MILLISECONDS)
    const why = made.isErr() ? made.error.kind : made.value.kind
    context.log.write('members_not_written', { service, why })
  }
}

const namesOf = (members: readonly RecordedMember[]) => members.map(({ entry }) => entry.server)
