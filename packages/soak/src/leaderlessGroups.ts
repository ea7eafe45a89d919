/**
 * Groups that lost their primary to faults. Such a group may stay without one for longer than the faults last: hosts
 * wait for servers that may return. Until one leads, the change of primary is a consequence of the faults.
 */

/** A failed statement within this time after an unplanned fault may be caused by the fault. */
export const FAULT_AFTERMATH_MILLISECONDS = 3000

export class LeaderlessGroups {
  /** The services without a primary, and whether faults were the cause. */
  readonly #leaderless = new Map<string, boolean>()
  /** By service: when its group was last seen without the primary that it had lost to faults. */
  readonly #lastSeenAt = new Map<string, number>()

  /** Called regularly. `isAmidFaults`: whether a fault may have caused what happens now. */
  observe(service: string, hasPrimary: boolean, isAmidFaults: boolean, now: number): void {
    if (hasPrimary) {
      this.#leaderless.delete(service)
      return
    }
    const isByFaults = this.#leaderless.get(service) ?? isAmidFaults
    this.#leaderless.set(service, isByFaults)
    if (isByFaults) this.#lastSeenAt.set(service, now)
  }

  /** Whether the group was without a primary that it had lost to faults at or after `time`. */
  wasLeaderlessSince(service: string, time: number): boolean {
    return (this.#lastSeenAt.get(service) ?? Number.NEGATIVE_INFINITY) >= time
  }
}
