/** What goes wrong, at a step of one call. */
export enum Fault {
  /** The acting process dies before the call has its effect. */
  KILL = 'kill',
  /** The acting process dies after the effect, before the reply. */
  KILL_AFTER = 'kill_after',
  /** The acting process is frozen before the call leaves, and goes on later. */
  FREEZE = 'freeze',
  /** The acting process is frozen after the effect, and goes on later. */
  FREEZE_AFTER = 'freeze_after',
  /** The link is cut: no effect, no reply, and nothing for a while. */
  CUT = 'cut',
  /** The call has its effect; replies over the link are lost for a while. */
  ONE_WAY_CUT = 'one_way_cut',
  /** The call has its effect, but its reply is lost. */
  LOST_REPLY = 'lost_reply',
  /**
   * The call, and those of its kind in the next seconds, arrive long after
   * their sender gave up.
   */
  LATE = 'late',
  /** The call has its effect twice. */
  DUPLICATE = 'duplicate',
  /** The other end goes down with all that is in flight, and starts again. */
  CRASH = 'crash',
  /** The object API is down for a while. */
  STORE_DOWN = 'store_down',
  /** The object API is slow for a while. */
  STORE_SLOW = 'store_slow',
  /** The planner is frozen until its lease has lapsed. */
  LEASE_LAPSE = 'lease_lapse',
  /** The object API answers with what it held before. */
  STALE_READ = 'stale_read',
}

/** A step of a path through the system, seen at its border. */
export enum Step {
  CLAIM = 'claim',
  SEND = 'send',
  FIRST_BYTE = 'first_byte',
  MIDDLE = 'middle',
  END = 'end',
  OUTCOME = 'outcome',
  WRITE_CONTENT = 'write_content',
  WRITE_HEAD = 'write_head',
  READ_HEAD = 'read_head',
  WATCH = 'watch',
  SPREAD = 'spread',
  LEASE = 'lease',
  INTENT = 'intent',
  ORDER = 'order',
  SETTLE = 'settle',
  REPORT = 'report',
  GOSSIP = 'gossip',
  HOST_LIST = 'host_list',
}
