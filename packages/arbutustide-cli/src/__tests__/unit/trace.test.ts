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
  if (!line) throw new Error(`not a log line: ${text}`);
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

describe('parseLogLine', () => {
  it('ignores the prefix that a log collector adds', () => {
    const json = '{"name":"n","msg":"started","time":"2026-01-01T00:00:01Z"}';
    expect(parseLogLine(`  12.5 n ${json}`)).to.deep.include({
      node: 'n',
      message: 'started',
      atMilliseconds: START + 1_000,
    });
  });

  it('ignores truncated lines and lines of other programs', () => {
    for (const text of ['', 'hello', '{"name":"n","msg":"sta', '{"a":1}']) {
      expect(parseLogLine(text)).to.equal(undefined);
    }
  });
});

// A wrong cause would send an operator after the wrong fault.
describe('trace of a request', () => {
  it('shows when a model that no engine had loaded was ordered', () => {
    const order = {kind: 'load', model: 'alpha'};
    const cause = traceCause(
      logLineAt(3, 'planner', {step: 'ordered', order, answer: 'accepted'}),
      requestLineAt(2, 'refused', {kind: 'no_replica', ran: 'no'}),
    );
    expect(cause).to.include('no engine had alpha loaded');
    expect(cause).to.include('node ordered a load 1.0 s later (accepted)');
  });

  it('shows a planner change that was not followed by a load', () => {
    const cause = traceCause(
      logLineAt(1, 'planner', {step: 'lease_gained', epoch: 2}),
      logLineAt(1, 'planner', {
        step: 'ordered',
        order: {kind: 'load', model: 'other'},
      }),
      requestLineAt(2, 'refused', {kind: 'no_replica', ran: 'no'}),
    );
    expect(cause).to.include(
      'node had become the planner, no load of the model',
    );
  });

  it('shows the attempt whose upstream failed', () => {
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

  it('shows the load of the upstream if the deadline passed', () => {
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

  it('names the configuration that has no route for the request', () => {
    const cause = traceCause(
      requestLineAt(1, 'refused', {
        kind: 'unknown_route',
        configurationVersion: 7,
      }),
    );
    expect(cause).to.include('configuration version 7 of the node');
  });

  it('reports a missing outcome, and no trace for an unknown request', () => {
    expect(traceCause(requestLineAt(0, 'placed'))).to.include(
      'no log line shows',
    );
    expect(traceCause(logLineAt(0, 'started', {}))).to.equal(undefined);
  });

  it('prints the lines in order of time, and the cause last', () => {
    const trace = traceRequest(
      [requestLineAt(2, 'ended', {end: 'whole'}), requestLineAt(0, 'placed')],
      'one',
    );
    if (!trace) throw new Error('no trace');
    const text = formatTrace(trace);
    expect(text.indexOf('placed')).to.be.lessThan(text.indexOf('"ended"'));
    expect(text.trimEnd().split('\n').at(-1)).to.match(/^cause: /);
  });
});
