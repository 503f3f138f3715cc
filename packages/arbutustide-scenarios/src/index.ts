/**
 * The scenario language, the fault matrix in a simulated world, and clusters of
 * separate processes.
 */
export type {Scenario, Statement} from './language/statements.js';
export type {MatrixCell, CellResult, FaultAtStep} from './matrix/run_cell.js';
export type {Violation} from './world/invariants.js';

export {parseScenario, readScenarios} from './language/parse_scenario.js';
export {runScenario} from './language/run_scenario.js';
export {drawFaultPairs, createFaultMatrix} from './matrix/fault_matrix.js';
export {cellName, runCell} from './matrix/run_cell.js';
export {startDemoCluster} from './processes/demo_cluster.js';
export {ProcessCluster} from './processes/process_cluster.js';
export {Fault, Step} from './world/fault.js';
export {Invariant, findViolations} from './world/invariants.js';
export {SimulatedWorld} from './world/simulated_world.js';
