// The store turns one machine away while the workers of a service are replaced
// by ones of a newer version. Another machine is killed. Clients whose streams
// began at the newer version take them up at the first machine, which goes on
// with them at the older version.
import {ClientConnection, Outcome} from '../harness/client.mjs';
import {buildConfiguration, HOST, Route} from '../harness/configuration.mjs';
import {NodeCluster} from '../harness/node_process.mjs';
import {PlatformStore} from '../harness/platform_store.mjs';
import {runCase, Verdict} from '../harness/record.mjs';
import {pause, RunLog, Worker} from '../harness/worker.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const MODEL = 'm0';
const DEADLINE_MILLISECONDS = 12_000;
const CLIENTS = 24;
const EVENTS = 100;
const EVENT_MILLISECONDS = 40;
/** The machines have been up for longer than any stream lasts. */
const UPTIME_MILLISECONDS = 32_000;
/** From the time at which the store turns the machine away. */
const RELEASE_MILLISECONDS = 300;
const STREAMS_MILLISECONDS = 1_000;
const KILL_MILLISECONDS = 2_000;
/** The rule allows two streams that hold events of two versions. */
const MAXIMUM_JOINED = 2;
/** The pages have 9 s. */
const TURNED_AWAY_MILLISECONDS = 3_500;

await runCase('record.txt', async (record, cleanUp) => {
  const store = new PlatformStore();
  await store.listen();
  cleanUp(() => store.close());
  const runLog = new RunLog();
  const createWorker = (name, zone, version) =>
    new Worker(
      name,
      {
        service: 'certwriter',
        zone,
        version,
        slots: 64,
        models: [MODEL],
        events: () => EVENTS,
        eventMilliseconds: EVENT_MILLISECONDS,
      },
      store,
      runLog,
    );
  const olds = ['a', 'b', 'c', 'd'].map(zone => createWorker(`certwriter-${zone}`, `addis-${zone}`, 'v1'));
  const news = ['a', 'b'].map(zone => createWorker(`certwriter-new-${zone}`, `addis-${zone}`, 'v2'));
  cleanUp(() => [...olds, ...news].forEach(worker => worker.server && worker.close()));
  for (const worker of olds) await worker.start();
  store.put('config', 'main', buildConfiguration(3, [Route.CERT_DRAFT], [MODEL]));
  const cluster = new NodeCluster(store.address, ['addis-a', 'addis-a', 'addis-b', 'addis-b', 'addis-c', 'addis-d']);
  cleanUp(() => cluster.close());
  const [blind, , killed] = cluster.nodes;
  blind.storeAddress = await store.listen();
  await cluster.start();
  await pause(UPTIME_MILLISECONDS);

  const beganAt = performance.now();
  const until = milliseconds => pause(Math.max(0, beganAt + milliseconds - performance.now()));
  if (HAS_TROUBLE) {
    store.setClosed(blind.storeAddress, true);
    record.add(`the store turns ${blind.name} away`);
  }
  const reopened = until(TURNED_AWAY_MILLISECONDS).then(() => {
    store.setClosed(blind.storeAddress, false);
    if (HAS_TROUBLE) record.add(`the store serves ${blind.name} again`);
  });
  await until(RELEASE_MILLISECONDS);
  for (const worker of news) await worker.start();
  record.add('two workers of version v2 are ready; two of v1 drain');
  for (const worker of olds.slice(0, 2)) worker.drain(6_000);
  await until(STREAMS_MILLISECONDS);
  const results = [];
  const clients = Array.from({length: CLIENTS}, async (_, client) => {
    const prompt = `a1:198,${(4096 + client).toString(16)}:628`;
    const headers = {Model: MODEL, 'Token-Counts': '826,954', 'Prompt-Prefix': prompt};
    const request = {path: `/draft/${client}`, host: HOST, headers, body: 'draft', deadlineMilliseconds: DEADLINE_MILLISECONDS};
    const first = await send(killed, cluster, request);
    results.push({client, node: killed.name, ...first});
    const after = lastEventId(first);
    if (first.outcome !== Outcome.CUT || after === undefined) return;
    // "Retries reach other nodes."
    const second = await send(blind, cluster, {...request, headers: {...headers, 'Last-Event-Id': after, Resumes: first.requestId}});
    results.push({client, node: blind.name, after, before: first.body, ...second});
  });
  await until(KILL_MILLISECONDS);
  if (HAS_TROUBLE) {
    killed.child.kill('SIGKILL');
    record.add(`${killed.name} is killed`);
  }
  await Promise.all([...clients, reopened]);

  const broken = [];
  for (const result of results) {
    const {client, node, requestId, outcome, status, after, sentAtMilliseconds} = result;
    const versions = versionsOf(`${result.before ?? ''}${result.body ?? ''}`);
    const runs = runLog.arrivals.filter(run => run.requestId === requestId);
    const isJoined = versions.length > 1;
    if (isJoined) broken.push(requestId);
    record.add(
      `client ${client} to ${node}, ${requestId}${after === undefined ? '' : `, resumes after event ${after}`}: ${outcome} ${status ?? '-'}; ran at ${runs.map(({worker}) => worker).join(', ') || 'no worker'}; text of the client from ${versions.join(' and ') || 'no version'}${isJoined ? '; JOINED' : ''}`,
      sentAtMilliseconds,
    );
  }
  const resumed = results.filter(({after}) => after !== undefined);
  const refused = resumed.filter(({status}) => status === 503).length;
  record.say(`${CLIENTS} streams; ${resumed.length} were taken up again, ${refused} of these refused; ${broken.length} texts were joined from two versions`);
  if (!HAS_TROUBLE) {
    const areWhole = results.every(({outcome}) => outcome === Outcome.ANSWERED);
    return areWhole && broken.length === 0 ? Verdict.HELD : Verdict.BROKEN;
  }
  if (resumed.length === 0) return Verdict.COULD_NOT_RUN;
  return broken.length > MAXIMUM_JOINED ? Verdict.BROKEN : Verdict.HELD;
});

async function send(node, cluster, request) {
  const connection = new ClientConnection(node.ip, cluster.ports.front);
  await connection.open();
  const result = await connection.send(request);
  connection.close();
  return result;
}

/** Id of the last complete event that a client has. */
function lastEventId({body = ''}) {
  return [...body.matchAll(/id: (\d+)\ndata: .*\n\n/g)].at(-1)?.[1];
}

/** Versions that wrote the complete events of a text. */
function versionsOf(text) {
  const versions = [...text.matchAll(/id: \d+\ndata: (\S+) .*\n\n/g)];
  return [...new Set(versions.map(([, version]) => version))];
}
