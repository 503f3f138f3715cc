import type {
  ProcessCluster,
  RunningNodeProcess,
} from '../../processes/process_cluster.js';

import {delay} from '@arbutustide/errors';
import {expectedCompletionText} from '@arbutustide/stand-ins';
import {HostKind, HostState} from '@arbutustide/upstream';
import {expect} from 'chai';

import {extractCompletionText} from '../../completion_text.js';
import {DEMO_CATALOGUE} from '../../demo_catalogue.js';
import {
  sendCompletion,
  recordRelease,
  startCompletionStream,
} from '../../processes/caller_client.js';
import {
  everyNodeAnswers,
  nodeInDomain,
  startDemoCluster,
} from '../../processes/demo_cluster.js';

const LEASE_MILLISECONDS = 2_000;
const EXPIRY_MILLISECONDS = 4_000;
const MODEL_NAME = 'certificate-writer';

interface ServiceRecords {
  readonly calls: readonly {readonly body: string}[];
}

interface EngineRecords {
  readonly overcommits: readonly object[];
  readonly runs: readonly {readonly end: string; readonly prompt: string}[];
}

/*
 * Guards against failures that only real processes, sockets and signals show:
 * a release that runs twice, an incomplete stream that looks complete, and
 * memory of an engine that two planners over-commit. Every test starts from a
 * cluster that answers everywhere and puts back what it broke.
 */
describe('separate processes under failure', function () {
  this.timeout(90_000);
  let cluster: ProcessCluster;

  before(async () => {
    cluster = await startDemoCluster({
      overrides: {
        gossip: {
          heartbeatMilliseconds: 500,
          expiryMilliseconds: EXPIRY_MILLISECONDS,
        },
        planner: {
          leaseMilliseconds: LEASE_MILLISECONDS,
          intervalMilliseconds: 300,
          longestOrderDelayMilliseconds: 8_000,
        },
        platform: {callTimeoutMilliseconds: 800},
      },
      engineParameters: ['--token-milliseconds', '20'],
      serviceParameters: ['--call-milliseconds', '700'],
    });
  });

  after(() => cluster.stop());

  afterEach(async () => {
    for (const {url} of cluster.services.values())
      await cluster.clearFaults(url);
    await cluster.clearFaults(cluster.objectApiUrl);
    await cluster.waitUntil('every node answers for every model again', () =>
      everyNodeAnswers(cluster),
    );
  });

  function engineIn(domain: string) {
    const engine = cluster.engines.get(`engine-${domain}`);
    if (!engine) throw new Error(`no engine runs in failure domain ${domain}`);
    return engine;
  }

  /** Starts a stream, waits for its first bytes and finds its engine. */
  async function startRunningStream(node: RunningNodeProcess, prompt: string) {
    const body = {model: MODEL_NAME, prompt, max_tokens: 100};
    const {firstBytesReceived, answer} = startCompletionStream(node, body);
    await firstBytesReceived;
    for (const [engineId, engine] of cluster.engines) {
      const {runs} = (await cluster.fetchRecords(engine)) as EngineRecords;
      const isRunningHere = runs.some(
        run => run.prompt === prompt && run.end === 'running',
      );
      if (isRunningHere) return {answer, engineId};
    }
    throw new Error(`no engine is generating for "${prompt}"`);
  }

  async function countRunsOfKey(key: string): Promise<number> {
    let count = 0;
    for (const service of cluster.services.values()) {
      const {calls} = (await cluster.fetchRecords(service)) as ServiceRecords;
      count += calls.filter(({body}) => body.includes(`"${key}"`)).length;
    }
    return count;
  }

  it('SIGKILL of a node while a release runs: it runs once and a resend is refused', async () => {
    const node = nodeInDomain(cluster, 'hill');
    const first = recordRelease(node, 'killed-node');
    await cluster.waitUntil('the release runs', async () => {
      return (await countRunsOfKey('killed-node')) === 1;
    });
    node.process.sendSignal('SIGKILL');
    expect((await first).status).to.equal(0);
    const other = nodeInDomain(cluster, 'north');
    await cluster.waitUntil('the claimant is known to be dead', async () => {
      const resend = await recordRelease(other, 'killed-node');
      expect(resend.executionStatus).to.equal('maybe');
      return resend.body.includes('request_may_have_run');
    });
    expect(await countRunsOfKey('killed-node')).to.equal(1);
    await cluster.startNode('node-hill', 'hill');
  });

  it('SIGSTOP and SIGCONT of a node: it resumes with the accepted catalogue', async () => {
    const node = nodeInDomain(cluster, 'hill');
    node.process.sendSignal('SIGSTOP');
    await delay(EXPIRY_MILLISECONDS + 1_000);
    node.process.sendSignal('SIGCONT');
    await cluster.waitUntil('the node answers', async () => {
      const answer = await sendCompletion(node, {
        model: MODEL_NAME,
        prompt: 'x',
      });
      return answer.status === 200;
    });
    const status = await cluster.runCommand('status', '--output', 'json');
    expect(status.output).to.contain('node-hill');
  });

  it('SIGKILL of an engine during a stream: the stream ends with an error event', async () => {
    const node = nodeInDomain(cluster, 'north');
    const {answer, engineId} = await startRunningStream(node, 'killed engine');
    cluster.engines.get(engineId)?.process.sendSignal('SIGKILL');
    const {isComplete: isWhole, body} = await answer;
    expect(isWhole).to.equal(false);
    expect(body).to.contain('event: error').and.to.not.contain('[DONE]');
    const again = await sendCompletion(node, {
      model: MODEL_NAME,
      prompt: 'again',
    });
    expect(again.status).to.equal(200);
    await cluster.startEngine(engineId, engineId.replace('engine-', ''));
  });

  it('closed sockets during a stream: it is resumed to its complete answer', async () => {
    const node = nodeInDomain(cluster, 'north');
    const {answer, engineId} = await startRunningStream(node, 'cut sockets');
    const engine = cluster.engines.get(engineId);
    if (engine) await cluster.closeConnections(engine);
    const {body, isComplete: isWhole} = await answer;
    expect(isWhole).to.equal(true);
    expect(extractCompletionText(body)).to.equal(
      expectedCompletionText('cut sockets', 100),
    );
  });

  it('SIGSTOP of an engine: another engine answers', async () => {
    const engine = engineIn('north');
    engine.process.sendSignal('SIGSTOP');
    const answers = await Promise.all(
      ['1', '2', '3', '4'].map(prompt =>
        sendCompletion(nodeInDomain(cluster, 'north'), {
          model: MODEL_NAME,
          prompt,
        }),
      ),
    );
    engine.process.sendSignal('SIGCONT');
    expect(answers.map(({status}) => status)).to.deep.equal([
      200, 200, 200, 200,
    ]);
  });

  it('SIGTERM of a node under load: its streams complete and it exits with 0', async () => {
    const node = nodeInDomain(cluster, 'hill');
    const {answer} = await startRunningStream(node, 'planned stop');
    const release = recordRelease(node, 'planned-stop');
    await cluster.waitUntil('the release runs', async () => {
      return (await countRunsOfKey('planned-stop')) === 1;
    });
    node.process.sendSignal('SIGTERM');
    await delay(300);
    const late = await sendCompletion(node, {
      model: MODEL_NAME,
      prompt: 'late',
    });
    expect(late.status).to.equal(200);
    expect((await release).status).to.equal(200);
    const {body, isComplete: isWhole} = await answer;
    expect(isWhole).to.equal(true);
    expect(extractCompletionText(body)).to.equal(
      expectedCompletionText('planned stop', 100),
    );
    expect(await node.process.waitForExit()).to.equal(0);
    await cluster.startNode('node-hill', 'hill');
  });

  it('SIGSTOP of the object API: releases are refused as not run, models answer', async () => {
    cluster.objectApiProcess.sendSignal('SIGSTOP');
    const node = nodeInDomain(cluster, 'north');
    const refused = await recordRelease(node, 'frozen-store');
    const answered = await sendCompletion(node, {
      model: MODEL_NAME,
      prompt: 'x',
    });
    cluster.objectApiProcess.sendSignal('SIGCONT');
    expect(refused.status).to.equal(503);
    expect(refused.executionStatus).to.equal('no');
    expect(answered.status).to.equal(200);
    expect(await countRunsOfKey('frozen-store')).to.equal(0);
    await cluster.waitUntil(
      'a resend with the same key is answered',
      async () => {
        return (await recordRelease(node, 'frozen-store')).status === 200;
      },
    );
    expect(await countRunsOfKey('frozen-store')).to.equal(1);
  });

  it('lost reply to the write of a claim: the release runs once', async () => {
    await cluster.injectFault(cluster.objectApiUrl, {
      kind: 'lose_reply',
      operation: 'PUT /objects/claims',
      calls: 1,
    });
    const node = nodeInDomain(cluster, 'north');
    const answer = await recordRelease(node, 'lost-reply');
    expect(answer.status).to.equal(200);
    expect(await countRunsOfKey('lost-reply')).to.equal(1);
  });

  it('SIGKILL of a service during a release: refused as may have run, never run again', async () => {
    const node = nodeInDomain(cluster, 'harbour');
    const first = recordRelease(node, 'killed-service');
    let serviceId = '';
    await cluster.waitUntil('the release runs', async () => {
      for (const [id, service] of cluster.services) {
        const {calls} = (await cluster.fetchRecords(service)) as ServiceRecords;
        if (calls.some(({body}) => body.includes('killed-service')))
          serviceId = id;
      }
      return serviceId !== '';
    });
    cluster.services.get(serviceId)?.process.sendSignal('SIGKILL');
    const refused = await first;
    expect(refused.status).to.equal(502);
    expect(refused.executionStatus).to.equal('maybe');
    const domain = serviceId === 'release-1' ? 'north' : 'hill';
    await cluster.startService(serviceId, 'release', domain, [
      '--call-milliseconds',
      '700',
    ]);
    const resend = await recordRelease(
      nodeInDomain(cluster, 'north'),
      'killed-service',
    );
    expect(resend.executionStatus).to.equal('maybe');
    expect(await countRunsOfKey('killed-service')).to.equal(0);
  });

  it('SIGSTOP of the planner past its lease: another plans without over-committing', async () => {
    const status = await cluster.runCommand('status', '--output', 'json');
    const rows = JSON.parse(status.output) as {what: string; state: string}[];
    const holder = rows.find(({what}) => what === 'planner')?.state ?? '';
    const planner = [...cluster.nodes.values()].find(({peerUrl}) =>
      holder.startsWith(peerUrl.replace('http://', '')),
    );
    if (!planner)
      throw new Error(`no node has the address of the planner, ${holder}`);
    planner.process.sendSignal('SIGSTOP');
    const changed = DEMO_CATALOGUE.replace(
      'class = "batch"\nmemory_bytes = 16000000000',
      'class = "batch"\nversion = "2"\nmemory_bytes = 16000000000',
    );
    const file = cluster.writeFile('v2.toml', changed);
    const applied = await cluster.runCommand(
      ...['catalogue', 'apply', file, '--base', '1'],
    );
    expect(applied.exitCode, applied.output).to.equal(0);
    await cluster.waitUntil(
      'another planner loads the new version',
      async () => {
        const moves = await cluster.runCommand('explain', 'findings-summary');
        return moves.output.includes('findings-summary@2');
      },
    );
    planner.process.sendSignal('SIGCONT');
    await delay(LEASE_MILLISECONDS);
    for (const engine of cluster.engines.values()) {
      const {overcommits} = (await cluster.fetchRecords(
        engine,
      )) as EngineRecords;
      expect(overcommits).to.deep.equal([]);
    }
  });

  it('concurrent edits of two operators: one is accepted, the other gets the conflict', async () => {
    const got = await cluster.runCommand('catalogue', 'get');
    const files = ['one', 'two'].map(owner =>
      cluster.writeFile(
        `${owner}.toml`,
        got.output.replaceAll('"laboratory"', `"${owner}"`),
      ),
    );
    const results = await Promise.all(
      files.map(file => cluster.runCommand('catalogue', 'apply', file)),
    );
    const codes = results.map(({exitCode}) => exitCode).sort();
    expect(codes).to.deep.equal([0, 4]);
    const loser = results.find(({exitCode}) => exitCode === 4);
    expect(loser?.output).to.contain('owner: "laboratory" ->');
  });

  it('a node started while the object API is frozen fetches the catalogue from a peer', async () => {
    cluster.objectApiProcess.sendSignal('SIGSTOP');
    const node = await cluster.startNode('node-late', 'harbour');
    await cluster.waitUntil('the node answers', async () => {
      const answer = await sendCompletion(node, {
        model: MODEL_NAME,
        prompt: 'x',
      });
      return answer.status === 200;
    });
    cluster.objectApiProcess.sendSignal('SIGCONT');
    node.process.sendSignal('SIGTERM');
    await node.process.waitForExit();
    await cluster.unregisterHost('node-late');
  });

  it('a service host that the host list shows as leaving gets no new requests', async () => {
    const service = cluster.services.get('release-1');
    if (!service) throw new Error('service host release-1 was not started');
    await cluster.registerHost({
      id: 'release-1',
      kind: HostKind.SERVICE,
      url: service.url,
      region: 'island',
      failureDomain: 'north',
      state: HostState.LEAVING,
      group: 'release',
      checksFencing: false,
    });
    await delay(2_000);
    for (const node of cluster.nodes.values()) {
      if (!node.process.isRunning) continue;
      const answer = await recordRelease(node, `leaving-${node.name}`);
      expect(answer.upstream).to.equal('release-2');
    }
  });
});
