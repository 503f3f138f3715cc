import type {LogLine} from './log_line.js';
import type {RequestTrace} from './request_trace.js';

import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';

import {CommandError} from '../command_error.js';
import {ExitCode} from '../exit_code.js';
import {parseLogLine} from './log_line.js';
import {traceRequest} from './request_trace.js';

/** `trace REQUEST_ID FILE...`: explains the outcome of a request from logs. */
export async function traceCommand(
  requestId: string,
  files: readonly string[],
): Promise<void> {
  const lines: LogLine[] = [];
  for (const file of files) {
    for await (const line of readLogLines(file)) lines.push(line);
  }
  const trace = traceRequest(lines, requestId);
  if (!trace) {
    throw new CommandError(
      ExitCode.NOT_FOUND,
      `no log line in ${files.join(', ')} belongs to request ${requestId}`,
    );
  }
  process.stdout.write(formatTrace(trace));
}

async function* readLogLines(file: string): AsyncGenerator<LogLine> {
  const input = createReadStream(file);
  try {
    for await (const text of createInterface({input})) {
      const line = parseLogLine(text);
      if (line) yield line;
    }
  } catch (error) {
    throw new CommandError(ExitCode.USAGE, `${file}: ${String(error)}`);
  }
}

/** Formats a trace as text, with the cause in the last line. */
export function formatTrace({
  requestLines,
  plannerLines,
  cause,
}: RequestTrace): string {
  const [{atMilliseconds: startMilliseconds}] = requestLines;
  const format = ({node, atMilliseconds, message, fields}: LogLine) => {
    const seconds = ((atMilliseconds - startMilliseconds) / 1_000).toFixed(3);
    return `${seconds.padStart(8)} s  ${node}  ${message}  ${JSON.stringify(fields)}\n`;
  };
  const requestText = requestLines.map(format).join('');
  const plannerText = plannerLines.map(format).join('');
  return `${requestText}\nplanner log lines around that time:\n${plannerText || '(none)\n'}\ncause: ${cause}\n`;
}
