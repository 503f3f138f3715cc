/** The arbutustide binary. */
export {ExitCode} from './exit_code.js';
export {createProgram} from './program.js';
