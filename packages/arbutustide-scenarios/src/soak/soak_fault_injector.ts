import type {ProcessCluster} from '../processes/process_cluster.js';
import type {SoakLoadGenerator} from './soak_load_generator.js';
import type {SoakReport} from './soak_report.js';

import {delay} from '@arbutustide/errors';

import {DEMO_CATALOGUE} from '../demo_catalogue.js';

/** Faults and planned changes of a soak test. */
enum SoakFault {
  KILL_NODE = 'kill a node',
  FREEZE_NODE = 'freeze a node',
  STOP_NODE = 'stop a node as planned',
  KILL_ENGINE = 'kill an engine',
  FREEZE_ENGINE = 'freeze an engine',
  CUT_SOCKETS = 'cut the sockets of an engine',
  FREEZE_STORE = 'freeze the object API',
  LOSE_CLAIM_REPLIES = 'lose replies of claims',
  CHANGE_VERSION = 'change a version',
}

const FREEZE_DURATION_MILLISECONDS = 4_000;
/** Pause between faults, and before a killed process is restarted. */
const PAUSE_MILLISECONDS = 1_500;
/** Engine ids have the form `engine-<failure domain>`. */
const FAILURE_DOMAIN_IN_ENGINE_ID = /^[a-z]+-(.*)$/;

/** The part of a stand-in engine's records that the soak test reads. */
interface EngineRecords {
  readonly overcommits: readonly object[];
}

/** Injects random faults one at a time, and recovers from each. */
export class SoakFaultInjector {
  private modelVersion = 1;

  constructor(
    private readonly cluster: ProcessCluster,
    private readonly load: SoakLoadGenerator,
    private readonly report: SoakReport,
    private readonly random: () => number,
  ) {}

  private readonly handlers: Readonly<
    Record<SoakFault, () => Promise<unknown>>
  > = {
    [SoakFault.KILL_NODE]: async () => {
      const node = this.pickRandom([...this.cluster.nodes.values()]);
      node.process.sendSignal('SIGKILL');
      await delay(PAUSE_MILLISECONDS);
      await this.cluster.startNode(node.name, node.failureDomain);
    },
    [SoakFault.FREEZE_NODE]: async () => {
      const node = this.pickRandom([...this.cluster.nodes.values()]);
      node.process.sendSignal('SIGSTOP');
      await delay(FREEZE_DURATION_MILLISECONDS);
      node.process.sendSignal('SIGCONT');
    },
    [SoakFault.STOP_NODE]: async () => {
      const node = this.pickRandom([...this.cluster.nodes.values()]);
      for (const request of this.load.requestsInFlight) {
        if (request.nodeName === node.name) request.wasNodeAskedToStop = true;
      }
      node.process.sendSignal('SIGTERM');
      await node.process.waitForExit();
      await this.cluster.startNode(node.name, node.failureDomain);
    },
    [SoakFault.KILL_ENGINE]: async () => {
      const [id, engine] = this.pickRandom([...this.cluster.engines]);
      await this.countOvercommits();
      engine.process.sendSignal('SIGKILL');
      await delay(PAUSE_MILLISECONDS);
      const domain = FAILURE_DOMAIN_IN_ENGINE_ID.exec(id)?.[1] ?? '';
      await this.cluster.startEngine(id, domain);
    },
    [SoakFault.FREEZE_ENGINE]: async () => {
      const [, engine] = this.pickRandom([...this.cluster.engines]);
      engine.process.sendSignal('SIGSTOP');
      await delay(FREEZE_DURATION_MILLISECONDS);
      engine.process.sendSignal('SIGCONT');
    },
    [SoakFault.CUT_SOCKETS]: async () => {
      const [, engine] = this.pickRandom([...this.cluster.engines]);
      await this.cluster.closeConnections(engine);
    },
    [SoakFault.FREEZE_STORE]: async () => {
      this.cluster.objectApiProcess.sendSignal('SIGSTOP');
      await delay(FREEZE_DURATION_MILLISECONDS);
      this.cluster.objectApiProcess.sendSignal('SIGCONT');
    },
    [SoakFault.LOSE_CLAIM_REPLIES]: () =>
      this.cluster.injectFault(this.cluster.objectApiUrl, {
        kind: 'lose_reply',
        operation: 'PUT /objects/claims',
        calls: 3,
      }),
    [SoakFault.CHANGE_VERSION]: async () => {
      this.modelVersion += 1;
      const toml = DEMO_CATALOGUE.replace(
        'class = "batch"\nmemory_bytes',
        `class = "batch"\nversion = "${this.modelVersion}"\nmemory_bytes`,
      );
      const file = this.cluster.writeFile('soak.toml', toml);
      const baseRevision = String(await this.readAcceptedRevision());
      await this.cluster.runCommand(
        'catalogue',
        'apply',
        file,
        '--base',
        baseRevision,
      );
    },
  };

  /** Injects faults until the signal is aborted. */
  async injectFaults(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await delay(PAUSE_MILLISECONDS);
      const fault = this.pickRandom(Object.values(SoakFault));
      process.stdout.write(`fault: ${fault}\n`);
      this.report.faults += 1;
      await this.handlers[fault]();
    }
  }

  /**
   * Adds the recorded over-commits of all engines to the report. An engine
   * loses its records when it is killed, so this also runs before each kill. The
   * sum may count an over-commit repeatedly; it only matters whether it is zero.
   */
  async countOvercommits(): Promise<void> {
    for (const engine of this.cluster.engines.values()) {
      const records = (await this.cluster.fetchRecords(
        engine,
      )) as EngineRecords;
      this.report.overcommits += records.overcommits.length;
    }
  }

  private async readAcceptedRevision(): Promise<number> {
    const result = await this.cluster.runCommand('catalogue', 'get');
    return Number(/base_revision = (\d+)/.exec(result.output)?.[1] ?? 0);
  }

  private pickRandom<T>(items: readonly T[]): T {
    return items[Math.floor(this.random() * items.length)];
  }
}
