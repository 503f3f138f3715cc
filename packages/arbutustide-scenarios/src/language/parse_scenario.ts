import type {Scenario} from './statements.js';

import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';

import {generate} from 'peggy';

const GRAMMAR_FILE = join(__dirname, 'scenario.pegjs');
const SCENARIO_DIRECTORY = join(__dirname, 'scenarios');
const SCENARIO_SUFFIX = '.scenario';

const parser = generate(readFileSync(GRAMMAR_FILE, 'utf8'));

/** Parses one scenario; throws a peggy `SyntaxError` with its location. */
export function parseScenario(text: string): Scenario {
  return parser.parse(text) as Scenario;
}

/** Parses all scenario files of this folder, sorted by file name. */
export function readScenarios(): Scenario[] {
  return readdirSync(SCENARIO_DIRECTORY)
    .filter(file => file.endsWith(SCENARIO_SUFFIX))
    .sort()
    .map(file => join(SCENARIO_DIRECTORY, file))
    .map(file => parseScenario(readFileSync(file, 'utf8')));
}
