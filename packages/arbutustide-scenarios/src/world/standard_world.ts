import {RequestEnd} from './simulated_caller.js';
import {PROBE_REQUEST_ID_PREFIX} from './invariants.js';
import {SimulatedWorld} from './simulated_world.js';

const GIGABYTE = 1_000_000_000;
const FAILURE_DOMAINS = ['north', 'harbour', 'hill'] as const;
const LOAD_WAIT_MILLISECONDS = 20_000;
const PROBE_WAIT_MILLISECONDS = 20_000;
/** Time within which every live node has installed an accepted revision. */
const REVISION_INSTALL_LIMIT_MILLISECONDS = 16_000;

/** Variable parts of the standard world's catalogue. */
export interface StandardCatalogueOptions {
  /** Version of the certificate writer's weights. */
  readonly version: string;
  /** Whether the adapter `certificate-powder` has an entry. */
  readonly hasPowderAdapter: boolean;
}

/** Catalogue as TOML whose items nearly fill the standard world's engines. */
export function standardCatalogueToml(
  options: StandardCatalogueOptions,
): string {
  const powderEntry = `
[[entries]]
name = "certificate-powder"
kind = "adapter"
base = "certificate-writer"
owner = "quality"
class = "interactive"
memory_bytes = ${GIGABYTE}
`;
  return `
[[classes]]
name = "interactive"
deadline_milliseconds = 15000
first_token_milliseconds = 810
progress_milliseconds = 3000
priority = 1

[[entries]]
name = "certificate-writer"
kind = "model"
owner = "quality"
class = "interactive"
version = "${options.version}"
memory_bytes = ${30 * GIGABYTE}
minimum_replicas = 2

[[entries]]
name = "findings-summary"
kind = "model"
owner = "laboratory"
class = "interactive"
memory_bytes = ${25 * GIGABYTE}

[[entries]]
name = "certificate-marine"
kind = "adapter"
base = "certificate-writer"
owner = "quality"
class = "interactive"
memory_bytes = ${GIGABYTE}
${options.hasPowderAdapter ? powderEntry : ''}
[[entries]]
name = "release"
kind = "service"
owner = "dispatch"
class = "interactive"
host_group = "release"
`;
}

/**
 * Creates a world of three failure domains with an engine each, two nodes in
 * the first domain and one in each of the others, and a service on two hosts.
 * The third engine does not check fencing tokens.
 */
export function createStandardWorld(seed: number): SimulatedWorld {
  const world = new SimulatedWorld(seed);
  for (const [index, domain] of FAILURE_DOMAINS.entries()) {
    world.addEngine(`engine-${index + 1}`, domain, {
      memoryBytes: 64 * GIGABYTE,
      checksFencing: index !== 2,
      tokenMilliseconds: 60,
    });
    world.startNode(`node-${index + 1}`, domain);
  }
  world.startNode('node-4', FAILURE_DOMAINS[0]);
  world.addService('release-1', 'release', 'north');
  world.addService('release-2', 'release', 'hill');
  return world;
}

/** Applies the first catalogue and waits until every model is loaded. */
export async function warmUpWorld(world: SimulatedWorld): Promise<void> {
  const first = standardCatalogueToml({version: '1', hasPowderAdapter: false});
  void world.applyCatalogue(first);
  await world.advanceUntil('every node has installed the first catalogue', () =>
    world.liveNodes().every(({core}) => core.isReady),
  );
  await world.advance(LOAD_WAIT_MILLISECONDS);
}

/**
 * Ends all faults and waits until an accepted revision must be installed. Then
 * sends one probe request for every entry to every live node.
 */
export async function healAndProbe(world: SimulatedWorld): Promise<void> {
  world.heal();
  await world.advance(
    REVISION_INSTALL_LIMIT_MILLISECONDS + LOAD_WAIT_MILLISECONDS,
  );
  const live = world.liveNodes().filter(({isListening}) => isListening);
  for (const {name, core} of live) {
    for (const entry of core.catalogueHolder.current?.document.entries ?? []) {
      const isService = entry.hostGroup !== undefined;
      const requestId = `${PROBE_REQUEST_ID_PREFIX}${name}-${entry.name}`;
      world.sendRequest(name, {
        requestId,
        entry: entry.name,
        content: requestId,
        tokenCount: 4,
        isStream: entry.kind === 'adapter',
        idempotencyKey: isService ? requestId : undefined,
      });
    }
  }
  await world.advance(PROBE_WAIT_MILLISECONDS);
  // No answer can come for a request whose node died and was replaced.
  for (const outcome of world.outcomes) {
    const wasNodeReplaced = world.replacedNodes.some(
      ({name}) => name === outcome.nodeName,
    );
    if (!outcome.end && wasNodeReplaced)
      outcome.end = RequestEnd.CONNECTION_LOST;
  }
}
