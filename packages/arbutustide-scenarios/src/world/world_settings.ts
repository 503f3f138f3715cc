import type {Settings} from '@arbutustide/settings';

import {invariant} from '@arbutustide/errors';
import {parseSettings} from '@arbutustide/settings';

/** The region of all hosts of a world. */
export const REGION = 'island';

/** Short intervals and timeouts, to match the duration of simulated faults. */
const NODE_SETTINGS = `
[planner]
lease_milliseconds = 3000
interval_milliseconds = 500
order_timeout_milliseconds = 4000
longest_order_delay_milliseconds = 10000
[gossip]
interval_milliseconds = 500
heartbeat_milliseconds = 1000
expiry_milliseconds = 5000
watchers_per_failure_domain = 1
[platform]
host_list_interval_milliseconds = 1000
object_store_url = "http://store"
host_list_url = "http://hosts"
`;

/** Returns the settings of a node of a world. */
export function nodeSettings(name: string, failureDomain: string): Settings {
  const toml = `${NODE_SETTINGS}
[node]
name = "${name}"
region = "${REGION}"
failure_domain = "${failureDomain}"
address = "127.0.0.1"
caller_port = 0
peer_port = 0
control_port = 0
`;
  const settings = parseSettings(toml, name);
  invariant(settings.ok, String(settings.val));
  return settings.val;
}
