// The store cuts off a waiting watch of one machine. At that moment a worker
// leaves without reporting that it drains. The machine, which is in touch, sends
// requests to it for longer than `drain_ms`.
import {sendOnce} from '../harness/client.mjs';
import {buildConfiguration, HOST, Route} from '../harness/configuration.mjs';
import {BOUNDS, NodeCluster} from '../harness/node_process.mjs';
import {PlatformStore} from '../harness/platform_store.mjs';
import {runCase, Verdict} from '../harness/record.mjs';
import {pause, RunLog, Worker} from '../harness/worker.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const DEADLINE_MILLISECONDS = 1_000;
/** From the cut-off to the removal of the worker's entry. */
const REMOVAL_MILLISECONDS = 20;
/** `drain_ms` "and a little longer"; then the worker exits. */
const SERVES_MILLISECONDS = BOUNDS.drain_ms + 150;
const REQUEST_PAUSE_MILLISECONDS = 6;
/** The sheet's requests take 21 ms on average and 110 ms at most. */
const WORK_MILLISECONDS = 60;
/** For the scheduling of this machine; the bound itself stays. */
const MARGIN_MILLISECONDS = 20;

await runCase('record.txt', async (record, cleanUp) => {
  const store = new PlatformStore();
  await store.listen();
  cleanUp(() => store.close());
  const runLog = new RunLog();
  const workers = ['a', 'b', 'c'].map(
    zone =>
      new Worker(`release-desk-${zone}`, {service: 'release-desk', zone: `addis-${zone}`, slots: 6, workMilliseconds: WORK_MILLISECONDS}, store, runLog),
  );
  for (const worker of workers) await worker.start();
  cleanUp(() => workers.forEach(worker => worker.close()));
  store.put('config', 'main', buildConfiguration(3, [Route.BATCH_RELEASE], []));
  const cluster = new NodeCluster(store.address, ['addis-a', 'addis-b', 'addis-c']);
  cleanUp(() => cluster.close());
  const [node] = cluster.nodes;
  // The store has a second address, so that its calls can be told from others.
  node.storeAddress = await store.listen();
  await cluster.start();
  // The time between the start of the machines and of traffic.
  await pause(6_000);

  const results = [];
  let isOver = false;
  const traffic = (async () => {
    const pending = [];
    for (let index = 0; !isOver; index += 1) {
      const request = {path: `/release/${index}`, body: `release ${index}`};
      pending.push(
        sendOnce(node.ip, cluster.ports.front, {host: HOST, deadlineMilliseconds: DEADLINE_MILLISECONDS, ...request}).then(result => results.push(result)),
      );
      await pause(REQUEST_PAUSE_MILLISECONDS);
    }
    await Promise.all(pending);
  })();
  await pause(3_000);
  if (HAS_TROUBLE) {
    let count = 0;
    while (count === 0) {
      await pause(5);
      count = store.cutOffWatches(node.storeAddress, 'servers');
    }
    record.add(`the store cuts off a waiting watch of ${node.name}`);
  }
  await pause(REMOVAL_MILLISECONDS);
  const [leaving] = workers;
  leaving.leave(SERVES_MILLISECONDS);
  const acknowledgedAt = performance.now();
  record.add(`the entry of ${leaving.name} is removed; it serves for ${SERVES_MILLISECONDS} ms`, acknowledgedAt);
  await pause(SERVES_MILLISECONDS + 500);
  isOver = true;
  await traffic;

  const boundAt = acknowledgedAt + BOUNDS.drain_ms + MARGIN_MILLISECONDS;
  const resultsById = new Map(results.map(result => [result.requestId, result]));
  const arrivals = runLog.arrivals.filter(({worker}) => worker === leaving.name);
  const late = arrivals.filter(({atMilliseconds}) => atMilliseconds > boundAt);
  for (const run of arrivals) {
    if (run.atMilliseconds < acknowledgedAt) continue;
    const {outcome, status} = resultsById.get(run.requestId);
    const after = (run.atMilliseconds - acknowledgedAt).toFixed(0);
    record.add(`${leaving.name} runs ${run.method} ${run.requestId}, ${after} ms after its removal; ${outcome} ${status ?? '-'}${late.includes(run) ? '; LATE' : ''}`, run.atMilliseconds);
  }
  const last = arrivals.at(-1);
  record.say(`${results.length} requests, ${results.filter(({status}) => status === 200).length} answered 200; the last reached ${leaving.name} ${(last.atMilliseconds - acknowledgedAt).toFixed(0)} ms after its removal`);
  const lost = late.filter(({requestId}) => resultsById.get(requestId).status !== 200);
  record.say(`${late.length} requests reached it later than drain_ms after its removal; ${lost.length} of them, which must run once at most, were lost as it exited`);
  if (arrivals.length === 0) return Verdict.COULD_NOT_RUN;
  return late.length > 0 ? Verdict.BROKEN : Verdict.HELD;
});
