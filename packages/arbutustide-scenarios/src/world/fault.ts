/** A fault that the simulation injects into one call over the network. */
export enum Fault {
  /** The calling process dies before the call takes effect. */
  KILL = 'kill',
  /** The calling process dies after the call took effect, before the reply. */
  KILL_AFTER = 'kill_after',
  /** The calling process freezes before it sends the call, and resumes later. */
  FREEZE = 'freeze',
  /** The calling process freezes once the call is sent, and resumes later. */
  FREEZE_AFTER = 'freeze_after',
  /**
   * The link is cut in both directions for a while: the call has no effect and
   * gets no reply.
   */
  CUT = 'cut',
  /** The call takes effect; replies over the link are lost for a while. */
  ONE_WAY_CUT = 'one_way_cut',
  /** The call takes effect, but its reply is lost. */
  LOST_REPLY = 'lost_reply',
  /**
   * The call, and all calls of the same step in the next seconds, arrive long
   * after their timeouts.
   */
  LATE = 'late',
  /** The call takes effect twice, the second time seconds later. */
  DUPLICATE = 'duplicate',
  /** The called endpoint crashes, which ends all its requests in flight. */
  CRASH = 'crash',
  /** The object API is down for a while. */
  STORE_DOWN = 'store_down',
  /** The object API is slow for a while. */
  STORE_SLOW = 'store_slow',
  /** The node that holds the planner lease freezes past the lease's expiry. */
  LEASE_LAPSE = 'lease_lapse',
  /** The object API answers a read with the value before the last write. */
  STALE_READ = 'stale_read',
}

/** A kind of call between a simulated process and the outside. */
export enum Step {
  /** Creating the claim of an idempotency key. */
  CLAIM = 'claim',
  /** Sending an attempt to an upstream. */
  SEND = 'send',
  /** Reading the first chunk of a streamed answer. */
  FIRST_BYTE = 'first_byte',
  /** Reading the fourth chunk of a streamed answer. */
  MIDDLE = 'middle',
  /** Reading the seventh chunk of a streamed answer. */
  END = 'end',
  /** Updating or deleting a claim. */
  OUTCOME = 'outcome',
  /** Writing the content of a catalogue revision. */
  WRITE_CONTENT = 'write_content',
  /** Writing the catalogue head, which names the accepted revision. */
  WRITE_HEAD = 'write_head',
  /** Reading the catalogue head. */
  READ_HEAD = 'read_head',
  /** Watching the catalogue head for changes. */
  WATCH = 'watch',
  /** Fetching the content of a catalogue revision from a peer. */
  SPREAD = 'spread',
  /** Writing the planner lease. */
  LEASE = 'lease',
  /** Writing a worker record with a new intent. */
  INTENT = 'intent',
  /** Sending an order to an engine. */
  ORDER = 'order',
  /** Writing a worker record without an intent that is resolved. */
  SETTLE = 'settle',
  /** Fetching the report of an upstream. */
  REPORT = 'report',
  /** A gossip exchange with a peer. */
  GOSSIP = 'gossip',
  /** Fetching the platform's host list. */
  HOST_LIST = 'host_list',
}
