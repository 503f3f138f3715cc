import type {LogLine} from '../../trace/log_line.js';

import {expect} from 'chai';

import {parseLogLine} from '../../trace/log_line.js';
import {traceRequest} from '../../trace/request_trace.js';
import {formatTrace} from '../../trace/trace_command.js';

const START = Date.parse('2026-01-01T00:00:00Z');

function logLineAt(
  seconds: number,
  msg: string,
  fields: Readonly<Record<string, unknown>>,
): LogLine {
  const time = new Date(START + seconds * 1_000).toISOString();
  const text = JSON.stringify({name: 'node', msg, time, v: 0, ...fields});
  const line = parseLogLine(text);
  if (!line) throw new Error(`not a line: ${text}`);
  return line;
}

function requestLineAt(
  seconds: number,
  step: string,
  fields: Readonly<Record<string, unknown>> = {},
) {
  const id = {requestId: 'one', model: 'alpha'};
  return logLineAt(seconds, 'request', {...id, step, ...fields});
}

function traceCause(...lines: LogLine[]): string | undefined {
  return traceRequest(lines, 'one')?.cause;
}

describe('lines of a log', () => {
  it('are read behind what a collector puts before them', () => {
    const json = '{"name":"n","msg":"started","time":"2026-01-01T00:00:01Z"}';
    expect(parseLogLine(`  12.5 n ${json}`)).to.deep.include({
      node: 'n',
      message: 'started',
      atMilliseconds: START + 1_000,
    });
  });

  it('are passed over where they are cut or of another program', () => {
    for (const text of ['', 'hello', '{"name":"n","msg":"sta', '{"a":1}']) {
      expect(parseLogLine(text)).to.equal(undefined);
    }
  });
});

describe('story of a request', () => {
  it('names the order that was given for a model nobody held', () => {
    const order = {kind: 'load', model: 'alpha'};
    const cause = traceCause(
      logLineAt(3, 'planner', {step: 'ordered', order, answer: 'accepted'}),
      requestLineAt(2, 'refused', {kind: 'no_replica', ran: 'no'}),
    );
    expect(cause).to.include('no engine held alpha');
    expect(cause).to.include('node ordered a load 1.0 s later (accepted)');
  });

  it('names a change of the planner that gave no order', () => {
    const cause = traceCause(
      logLineAt(1, 'planner', {step: 'lease_gained', epoch: 2}),
      logLineAt(1, 'planner', {
        step: 'ordered',
        order: {kind: 'load', model: 'other'},
      }),
      requestLineAt(2, 'refused', {kind: 'no_replica', ran: 'no'}),
    );
    expect(cause).to.include('node had become the planner, no load of it');
  });

  it('names the attempt whose upstream broke off', () => {
    const cause = traceCause(
      requestLineAt(2, 'refused', {kind: 'upstream_broken', ran: 'maybe'}),
      requestLineAt(1, 'attempt_ended', {
        upstream: 'engine-1',
        outcome: 'unknown',
        reason: 'read ECONNRESET',
      }),
      requestLineAt(0, 'placed', {upstream: 'engine-1', load: 3}),
    );
    expect(cause).to.include('engine-1: unknown, read ECONNRESET');
  });

  it('names the load of the upstream where the time was over', () => {
    const cause = traceCause(
      requestLineAt(0, 'placed', {
        upstream: 'engine-1',
        load: 48,
        waitedMilliseconds: 3,
      }),
      requestLineAt(9, 'refused', {kind: 'upstream_timed_out', ran: 'maybe'}),
    );
    expect(cause).to.include('engine-1 with 48 requests, which is busy');
  });

  it('says that the end is missing rather than guess', () => {
    expect(traceCause(requestLineAt(0, 'placed'))).to.include('no line tells');
    expect(traceCause(logLineAt(0, 'started', {}))).to.equal(undefined);
  });

  it('prints the lines of all nodes in order, and the cause last', () => {
    const story = traceRequest(
      [requestLineAt(2, 'ended', {end: 'whole'}), requestLineAt(0, 'placed')],
      'one',
    );
    if (!story) throw new Error('no story');
    const text = formatTrace(story);
    expect(text.indexOf('placed')).to.be.lessThan(text.indexOf('"ended"'));
    expect(text.trimEnd().split('\n').at(-1)).to.match(/^cause: /);
  });
});
