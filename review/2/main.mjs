// A planned stop (SIGTERM) while clients stream: a request that a client sends
// late in the grace period, on the connection that its last answer came on, is
// taken, passed on to a worker and cut.
import {ClientConnection, Outcome} from '../harness/client.mjs';
import {buildConfiguration, HOST, Route} from '../harness/configuration.mjs';
import {BOUNDS, NodeCluster} from '../harness/node_process.mjs';
import {PlatformStore} from '../harness/platform_store.mjs';
import {runCase, Verdict} from '../harness/record.mjs';
import {pause, RunLog, Worker} from '../harness/worker.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const MODEL = 'm0';
const DEADLINE_MILLISECONDS = 12_000;
const CLIENTS = 12;
/** An event of 6 tokens under load; the sheet has up to 159 events. */
const EVENT_MILLISECONDS = 40;
const EVENTS_BY_PATH = {'/draft/first': 105, '/draft/second': 100};
/** From the first streams' start to the SIGTERM. */
const LEAD_MILLISECONDS = 300;
const GRACE_MILLISECONDS = BOUNDS.grace_s * 1_000;

await runCase('record.txt', async (record, cleanUp) => {
  const store = new PlatformStore();
  await store.listen();
  cleanUp(() => store.close());
  const runLog = new RunLog();
  const workers = ['a', 'b', 'c'].map(
    zone =>
      new Worker(
        `certwriter-${zone}`,
        {
          service: 'certwriter',
          zone: `addis-${zone}`,
          slots: 64,
          models: [MODEL],
          events: ({url}) => EVENTS_BY_PATH[url] ?? 10,
          eventMilliseconds: EVENT_MILLISECONDS,
        },
        store,
        runLog,
      ),
  );
  for (const worker of workers) await worker.start();
  cleanUp(() => workers.forEach(worker => worker.close()));
  store.put('config', 'main', buildConfiguration(3, [Route.CERT_DRAFT], [MODEL]));
  const cluster = new NodeCluster(store.address, ['addis-a', 'addis-b', 'addis-c']);
  cleanUp(() => cluster.close());
  await cluster.start();
  // The time between the start of the machines and of traffic.
  await pause(6_000);
  const [node] = cluster.nodes;

  const send = (connection, path) =>
    connection.send({
      path,
      host: HOST,
      headers: {Model: MODEL, 'Token-Counts': '826,954', 'Prompt-Prefix': `a1:198,${Math.random().toString(16).slice(2, 10)}:628`},
      body: 'draft',
      deadlineMilliseconds: DEADLINE_MILLISECONDS,
    });
  const connections = await Promise.all(
    Array.from({length: CLIENTS}, async () => {
      const connection = new ClientConnection(node.ip, cluster.ports.front);
      await connection.open();
      return connection;
    }),
  );
  const results = [];
  const clients = connections.map(async (connection, index) => {
    // Clients end their first streams at different moments.
    await pause(index * 15);
    const first = await send(connection, '/draft/first');
    results.push({client: index, ...first});
    if (!connection.isOpen) return;
    results.push({client: index, ...(await send(connection, '/draft/second'))});
  });
  await pause(LEAD_MILLISECONDS);
  const stoppedAt = performance.now();
  if (HAS_TROUBLE) {
    node.child.kill('SIGTERM');
    record.add(`SIGTERM to ${node.name}`, stoppedAt);
  }
  const killer = setTimeout(() => {
    if (HAS_TROUBLE && node.child.exitCode === null) {
      record.add(`SIGKILL to ${node.name}`);
      node.child.kill('SIGKILL');
    }
  }, GRACE_MILLISECONDS);
  await Promise.all(clients);
  clearTimeout(killer);
  for (const connection of connections) connection.close();

  const broken = [];
  for (const result of results) {
    const {client, path, requestId, outcome, status, events = 0} = result;
    const runs = runLog.arrivals.filter(run => run.requestId === requestId);
    const sentAfter = result.sentAtMilliseconds - stoppedAt;
    const endedAfter = result.endedAtMilliseconds - stoppedAt;
    record.add(
      `client ${client} ${path} ${requestId}: ${outcome} ${status ?? '-'} ${events} events; sent ${sentAfter.toFixed(0)} ms and ended ${endedAfter.toFixed(0)} ms after the SIGTERM; ran ${runs.length} times; connection: ${result.headers?.connection ?? 'not named'}`,
      result.sentAtMilliseconds,
    );
    const usedMilliseconds = result.endedAtMilliseconds - result.sentAtMilliseconds;
    const isLost =
      outcome === Outcome.CUT &&
      runs.length > 0 &&
      endedAfter <= GRACE_MILLISECONDS + 1_000 &&
      // Not excused: sent later than 3 s after the SIGTERM, deadline not near.
      sentAfter > 3_000 &&
      usedMilliseconds < DEADLINE_MILLISECONDS - 500;
    if (isLost) broken.push(requestId);
  }
  for (const run of runLog.arrivals)
    record.add(`${run.worker} runs ${run.requestId} ${run.url}; last event ${run.events}; ${run.answered ? 'answered whole' : 'dropped as its connection closed'}`, run.atMilliseconds);
  const whole = results.filter(({outcome}) => outcome === Outcome.ANSWERED).length;
  record.say(`${results.length} requests, ${whole} answered whole, ${broken.length} lost around the planned stop`);
  if (!HAS_TROUBLE && whole !== results.length) return Verdict.BROKEN;
  if (whole === 0) return Verdict.COULD_NOT_RUN;
  return broken.length > 0 ? Verdict.BROKEN : Verdict.HELD;
});
