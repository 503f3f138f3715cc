import type {TcpNetConnectOpts} from 'node:net';

import type {CrowdOptions} from './crowd.js';
import type {MeasuredProcess} from './measured_process.js';

import {delay} from '@arbutustide/errors';

import {Crowd} from './crowd.js';

/** What a process did and used while a crowd was there, and afterwards. */
export interface CrowdReport {
  /** Exit code or signal; undefined if the process still runs. */
  readonly processEnd: number | string | undefined;
  /** What the process wrote as it was aborted. */
  readonly fatalLine: string | undefined;
  readonly peakMemoryMebibytes: number;
  readonly peakFileDescriptors: number;
  /** Status of each ordinary request after the crowd, by its name. */
  readonly statuses: Readonly<Record<string, number | undefined>>;
}

/** Asks as an ordinary client; undefined if there is no whole answer. */
export type OrdinaryRequest = () => Promise<number | undefined>;

/** A crowd that a process meets, and what is asked when it has left. */
export interface CrowdMeeting {
  readonly process: MeasuredProcess;
  readonly target: TcpNetConnectOpts;
  readonly crowd: CrowdOptions;
  readonly milliseconds: number;
  readonly ordinaryRequests: Readonly<Record<string, OrdinaryRequest>>;
}

const OK_STATUS = 200;
const POLL_MILLISECONDS = 50;
const AFTERWARDS_MILLISECONDS = 10_000;

/** Lets a crowd come and go, and then asks as an ordinary client. */
export async function meetCrowd(meeting: CrowdMeeting): Promise<CrowdReport> {
  const {process} = meeting;
  const crowd = new Crowd(meeting.target, meeting.crowd);
  const endAt = performance.now() + meeting.milliseconds;
  crowd.start();
  while (performance.now() < endAt && process.end === undefined) {
    await process.measure();
    await delay(POLL_MILLISECONDS);
  }
  crowd.leave();
  const statuses: Record<string, number | undefined> = {};
  for (const [name, ask] of Object.entries(meeting.ordinaryRequests))
    statuses[name] = await askUntilOk(process, ask, AFTERWARDS_MILLISECONDS);
  await process.measure();
  return {
    processEnd: process.end,
    fatalLine: process.fatalLine,
    peakMemoryMebibytes: process.peakMemoryMebibytes,
    peakFileDescriptors: process.peakFileDescriptors,
    statuses,
  };
}

/** Asks until the status is 200; the last status if it does not become so. */
export async function askUntilOk(
  process: MeasuredProcess,
  ask: OrdinaryRequest,
  limitMilliseconds: number,
): Promise<number | undefined> {
  const endAt = performance.now() + limitMilliseconds;
  for (;;) {
    const status = await ask();
    const isLast = performance.now() > endAt || process.end !== undefined;
    if (status === OK_STATUS || isLast) return status;
    await delay(POLL_MILLISECONDS);
  }
}

/** Resources of a process, as in the settings file. */
export interface CrowdResources {
  readonly memory_mb: number;
  readonly file_descriptors: number;
}

/** What a process failed to keep; nothing if it kept within its resources. */
export function* findCrowdFaults(
  report: CrowdReport,
  resources: CrowdResources,
): Generator<string> {
  const {processEnd, peakMemoryMebibytes, peakFileDescriptors} = report;
  if (processEnd !== undefined)
    yield `process ended: ${processEnd}, ${report.fatalLine}`;
  if (peakMemoryMebibytes >= resources.memory_mb)
    yield `memory: ${peakMemoryMebibytes} of ${resources.memory_mb} MiB`;
  if (peakFileDescriptors >= resources.file_descriptors)
    yield `descriptors: ${peakFileDescriptors} of ${resources.file_descriptors}`;
  for (const [name, status] of Object.entries(report.statuses)) {
    if (status !== OK_STATUS) yield `${name}: ${status ?? 'no answer'}`;
  }
}
