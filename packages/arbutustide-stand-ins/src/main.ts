import type {StandInServer} from './stand_in_server.js';

import {Command} from 'commander';

import {DEFAULT_ENGINE_OPTIONS, StandInEngine} from './stand_in_engine.js';
import {createEngineServer} from './engine_server.js';
import {createHostListServer} from './host_list_server.js';
import {LaggedHostList} from './lagged_host_list.js';
import {createObjectApiServer} from './object_api_server.js';
import {StandInService} from './stand_in_service.js';
import {createServiceServer} from './service_server.js';
import {StandInWeightStore} from './stand_in_weight_store.js';
import {
  createWeightStoreServer,
  createHttpWeightFetcher,
} from './weight_store_server.js';

/** Exit code of an engine process that crashed on a marked prompt. */
const CRASH_EXIT_CODE = 70;

interface CommonCommandOptions {
  readonly port: string;
}

interface EngineCommandOptions extends CommonCommandOptions {
  readonly memoryBytes: string;
  readonly ignoreFencing?: boolean;
  readonly tokenMilliseconds: string;
  readonly firstTokenMilliseconds: string;
  readonly weightStore?: string;
}

interface WeightStoreCommandOptions extends CommonCommandOptions {
  readonly loadsPerSecond: string;
  readonly loadsAtFullSpeed: string;
  readonly loadMilliseconds: string;
}

/**
 * Starts listening and prints `{"port": number}` as one line on standard
 * output, from which the process that started the stand-in learns its address.
 */
async function listenAndPrintPort(
  server: StandInServer,
  port: string,
): Promise<void> {
  const listeningPort = await server.listen(Number(port));
  process.stdout.write(`${JSON.stringify({port: listeningPort})}\n`);
}

function createStandInCommand(name: string, description: string): Command {
  return new Command(name)
    .description(description)
    .option(
      '--port <number>',
      'port on the loopback address; 0 takes any free one',
      '0',
    );
}

const program = new Command('arbutustide-stand-ins')
  .description('Stand-ins for the parts of the platform, for demos and tests.')
  .addCommand(
    createStandInCommand('object-api', 'serve the object API').action(
      (options: CommonCommandOptions) =>
        listenAndPrintPort(createObjectApiServer(), options.port),
    ),
  )
  .addCommand(
    createStandInCommand(
      'host-list',
      'serve the list of live and leaving hosts',
    )
      .option(
        '--lag-milliseconds <number>',
        'delay until a change is visible',
        '500',
      )
      .action((options: CommonCommandOptions & {lagMilliseconds: string}) => {
        const hostList = new LaggedHostList(Number(options.lagMilliseconds));
        return listenAndPrintPort(createHostListServer(hostList), options.port);
      }),
  )
  .addCommand(
    createStandInCommand('engine', 'serve a model engine')
      .option(
        '--memory-bytes <number>',
        'memory of all accelerators together',
        '80000000000',
      )
      .option(
        '--ignore-fencing',
        'accept orders with an outdated fencing number',
      )
      .option(
        '--token-milliseconds <number>',
        'time between tokens of an idle engine',
        '5',
      )
      .option(
        '--first-token-milliseconds <number>',
        'time to the first token',
        '20',
      )
      .option(
        '--weight-store <url>',
        'URL of the weight store; default: loads fetch nothing',
      )
      .action((options: EngineCommandOptions) => {
        const engine = new StandInEngine(
          {
            ...DEFAULT_ENGINE_OPTIONS,
            memoryBytes: Number(options.memoryBytes),
            checksFencing: !options.ignoreFencing,
            tokenMilliseconds: Number(options.tokenMilliseconds),
            firstTokenMilliseconds: Number(options.firstTokenMilliseconds),
            ...(options.weightStore && {
              fetchWeights: createHttpWeightFetcher(options.weightStore),
            }),
          },
          () => process.exit(CRASH_EXIT_CODE),
        );
        return listenAndPrintPort(createEngineServer(engine), options.port);
      }),
  )
  .addCommand(
    createStandInCommand('service', 'serve a plain service')
      .option('--call-milliseconds <number>', 'duration of one call', '20')
      .action((options: CommonCommandOptions & {callMilliseconds: string}) => {
        const callMilliseconds = Number(options.callMilliseconds);
        const service = new StandInService({callMilliseconds});
        return listenAndPrintPort(createServiceServer(service), options.port);
      }),
  )
  .addCommand(
    createStandInCommand('weight-store', 'serve the rate-limited weight store')
      .option('--loads-per-second <number>', 'loads started per second', '2')
      .option(
        '--loads-at-full-speed <number>',
        'concurrent loads without slowdown',
        '8',
      )
      .option(
        '--load-milliseconds <number>',
        'duration of one load at full speed',
        '100',
      )
      .action((options: WeightStoreCommandOptions) => {
        const weightStore = new StandInWeightStore({
          loadsPerSecond: Number(options.loadsPerSecond),
          loadsAtFullSpeed: Number(options.loadsAtFullSpeed),
          loadMilliseconds: Number(options.loadMilliseconds),
        });
        return listenAndPrintPort(
          createWeightStoreServer(weightStore),
          options.port,
        );
      }),
  );

void program.parseAsync();
