/** The failover machine's time limits and thresholds. */
export interface FailoverOptions {
  /** Between two position requests to one backend server. */
  readonly watchIntervalMilliseconds: number
  /** A server that answers no position request for this long is suspected. */
  readonly detectionMilliseconds: number
  /** Number of consecutive refused connections after which a server's process counts as gone. */
  readonly refusalsToSuspect: number
  /** Between a refused connection and the next position request. */
  readonly refusalRetryMilliseconds: number
  /** A primary that reports to be fenced or a replica is suspected if no newer record arrives for this long. */
  readonly deposedMilliseconds: number
  /** Duration of suspicion after which a watcher acts alone if no other contradicts it. */
  readonly soleWatcherMilliseconds: number
  /** Between two transmissions of an unchanged opinion. */
  readonly opinionIntervalMilliseconds: number
  /** An opinion that was not sent again for this long no longer counts. */
  readonly opinionLifetimeMilliseconds: number
  /**
   * Another's suspicion that arrives at most this long after this watcher's own counts at once. One that
   * arrives later may have been held up by the same pause of a link that made this watcher suspect.
   */
  readonly promptOpinionMilliseconds: number
  /** Until a suspicion that arrived late counts. The primary's answers, held up as well, arrive before. */
  readonly lateOpinionMilliseconds: number
  /** Added to a watcher's delay before it starts a change, for each watcher that ranks before it. */
  readonly rankDelayMilliseconds: number
  /** Timeout of one fence, promotion or follow. */
  readonly callTimeoutMilliseconds: number
  /** Between a failed call and its retry. */
  readonly callRetryMilliseconds: number
  /** Timeout of one store call. */
  readonly storeTimeoutMilliseconds: number
  /** Between a failed store call and its retry; doubles up to eight times this. */
  readonly storeRetryMilliseconds: number
  /** A change of primary that has not finished after this long is abandoned by its coordinator. */
  readonly attemptMilliseconds: number
  /** A change without progress for this long is taken over by another watcher. */
  readonly stuckChangeMilliseconds: number
  /** Between an abandoned change and the next attempt; doubles up to sixteen times this. */
  readonly attemptRetryMilliseconds: number
  /** A leader whose term is newer than the recorded one is adopted after this long. */
  readonly adoptionMilliseconds: number
  /** Until a record that the store is not known to hold is compared with the stored one. */
  readonly storeCheckMilliseconds: number
  /** A replica without progress for this long is sent `follow` again; doubles up to 16 times this. */
  readonly stalledReplicaMilliseconds: number
  /** A planned move starts only if its target holds all that the primary held at most this long ago. */
  readonly moveLagMilliseconds: number
  /**
   * From the announcement of a planned move until every proxy has received it and holds its writes,
   * and writes sent just before have reached the primary: two one-way latencies between regions plus
   * the time in which an agent forwards a snapshot. Fencing earlier would interrupt a write in
   * flight.
   */
  readonly moveQuietMilliseconds: number
  /** A planned move whose target has not caught up after this long is abandoned. */
  readonly moveCatchUpMilliseconds: number
  /** Between an abandoned planned move and the next attempt; doubles up to sixteen times this. */
  readonly moveRetryMilliseconds: number
}

export const DEFAULT_FAILOVER_OPTIONS: FailoverOptions = {
  watchIntervalMilliseconds: 100,
  detectionMilliseconds: 400,
  refusalsToSuspect: 2,
  refusalRetryMilliseconds: 25,
  deposedMilliseconds: 200,
  soleWatcherMilliseconds: 2_000,
  opinionIntervalMilliseconds: 1_000,
  opinionLifetimeMilliseconds: 2_500,
  promptOpinionMilliseconds: 25,
  lateOpinionMilliseconds: 150,
  rankDelayMilliseconds: 50,
  callTimeoutMilliseconds: 300,
  callRetryMilliseconds: 50,
  storeTimeoutMilliseconds: 1_000,
  storeRetryMilliseconds: 250,
  attemptMilliseconds: 1_000,
  stuckChangeMilliseconds: 500,
  attemptRetryMilliseconds: 250,
  adoptionMilliseconds: 3_000,
  storeCheckMilliseconds: 2_000,
  stalledReplicaMilliseconds: 3_000,
  moveLagMilliseconds: 500,
  moveQuietMilliseconds: 100,
  moveCatchUpMilliseconds: 1_000,
  moveRetryMilliseconds: 5_000,
}

/** The delay before the next attempt after `failures` failures: doubles up to `maxFactor` times. */
export function backOffMilliseconds(
  firstMilliseconds: number,
  failures: number,
  maxFactor: number,
): number {
  return firstMilliseconds * Math.min(2 ** Math.max(0, failures - 1), maxFactor)
}
