/**
 * The scenario language, the fault matrix in a simulated world, and clusters of
 * separate processes.
 */
export type {Scenario, Statement} from './language/statements.js';
export type {Cell, CellResult, PlacedFault} from './matrix/run_cell.js';
export type {Violation} from './world/invariants.js';

export {parseScenario, readScenarios} from './language/parse_scenario.js';
export {runScenario} from './language/run_scenario.js';
export {faultPairs, singleFaults} from './matrix/matrix.js';
export {cellName, runCell} from './matrix/run_cell.js';
export {startDemoCluster} from './processes/demo_cluster.js';
export {ProcessCluster} from './processes/process_cluster.js';
export {Fault, Step} from './world/fault.js';
export {Invariant, judge} from './world/invariants.js';
export {World} from './world/world.js';
