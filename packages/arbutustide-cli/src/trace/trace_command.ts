import type {LogLine} from './log_line.js';
import type {RequestStory} from './request_story.js';

import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';

import {CommandError} from '../command_error.js';
import {ExitCode} from '../exit_code.js';
import {parseLogLine} from './log_line.js';
import {tellStory} from './request_story.js';

/** `trace REQUEST_ID FILE...` */
export async function traceCommand(
  requestId: string,
  files: readonly string[],
): Promise<void> {
  const lines: LogLine[] = [];
  for (const file of files) {
    for await (const line of readLog(file)) lines.push(line);
  }
  const story = tellStory(lines, requestId);
  if (!story) {
    throw new CommandError(
      ExitCode.NOT_FOUND,
      `no line of ${files.join(', ')} names request ${requestId}`,
    );
  }
  process.stdout.write(formatStory(story));
}

async function* readLog(file: string): AsyncGenerator<LogLine> {
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

/** The story as text, its cause last. */
export function formatStory({lines, context, cause}: RequestStory): string {
  const [{atMilliseconds: start}] = lines;
  const format = ({node, atMilliseconds, message, fields}: LogLine) => {
    const seconds = ((atMilliseconds - start) / 1_000).toFixed(3);
    return `${seconds.padStart(8)} s  ${node}  ${message}  ${JSON.stringify(fields)}\n`;
  };
  const own = lines.map(format).join('');
  const around = context.map(format).join('');
  return `${own}\nplanner near that time:\n${around || '(nothing)\n'}\ncause: ${cause}\n`;
}
