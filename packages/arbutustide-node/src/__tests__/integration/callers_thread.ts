import {once} from 'node:events';
import {Worker} from 'node:worker_threads';

/** What callers in a closed loop saw. */
export interface LoopResult {
  readonly answers: number;
  /** Requests whose connection ended before their whole answer had come. */
  readonly unanswered: number;
}

/**
 * Each caller sends its next request as soon as it has the last answer, on the
 * same connection unless that answer announced its end. Answers have 6 bytes.
 */
const CALLERS_THREAD = `
  const {parentPort, workerData} = require('node:worker_threads');
  const {connect} = require('node:net');
  let isStopped = false;
  let answers = 0;
  let unanswered = 0;
  let open = 0;
  function begin() {
    if (isStopped) return;
    const socket = connect(workerData.port, '127.0.0.1');
    open += 1;
    let text = '';
    let isWaiting = false;
    let isLast = false;
    const send = () => {
      if (isStopped || isLast) return void socket.end();
      text = '';
      isWaiting = true;
      socket.write(workerData.request);
    };
    socket.on('error', () => {});
    socket.on('connect', send);
    socket.on('data', chunk => {
      text += chunk;
      const headEnd = text.indexOf('\\r\\n\\r\\n');
      if (headEnd < 0 || text.length < headEnd + 10) return;
      isWaiting = false;
      answers += 1;
      isLast = /^connection: close/im.test(text);
      send();
    });
    socket.on('close', () => {
      open -= 1;
      if (isWaiting) unanswered += 1;
      if (isStopped && open === 0) report();
      else if (isLast) begin();
    });
  }
  function report() {
    parentPort.postMessage({answers, unanswered});
    parentPort.close();
  }
  for (let index = 0; index < workerData.count; index += 1) begin();
  parentPort.on('message', () => {
    isStopped = true;
    if (open === 0) report();
  });
`;

/** Callers in a thread of their own that send requests in a closed loop. */
export class LoopingCallers {
  private readonly worker: Worker;

  constructor(port: number, count: number, request: string) {
    const workerData = {port, count, request};
    this.worker = new Worker(CALLERS_THREAD, {eval: true, workerData});
  }

  /** Lets the callers end after the answers for which they wait. */
  async stop(): Promise<LoopResult> {
    this.worker.postMessage('stop');
    const [result] = (await once(this.worker, 'message')) as [LoopResult];
    return result;
  }

  async terminate(): Promise<void> {
    await this.worker.terminate();
  }
}
