import type {StandInServer} from './stand_in_server.js';

import {Command} from 'commander';

import {DEFAULT_ENGINE_OPTIONS, EngineModel} from './engine_model.js';
import {createEngineServer} from './engine_server.js';
import {createHostListServer} from './host_list_server.js';
import {HostTable} from './host_table.js';
import {createObjectApiServer} from './object_api_server.js';
import {ServiceModel} from './service_model.js';
import {createServiceServer} from './service_server.js';
import {WeightLimiter} from './weight_limiter.js';
import {
  createWeightStoreServer,
  httpWeightFetcher,
} from './weight_store_server.js';

/** Exit code of an engine that a request took down. */
const CRASH_EXIT_CODE = 70;

interface CommonOptions {
  readonly port: string;
}

interface EngineCommandOptions extends CommonOptions {
  readonly memoryBytes: string;
  readonly ignoreFencing?: boolean;
  readonly tokenMilliseconds: string;
  readonly firstTokenMilliseconds: string;
  readonly weightStore?: string;
}

interface WeightStoreOptions extends CommonOptions {
  readonly loadsPerSecond: string;
  readonly loadsAtFullSpeed: string;
  readonly loadMilliseconds: string;
}

/** Listens and prints the port as one line of JSON. */
async function announce(server: StandInServer, port: string): Promise<void> {
  const listening = await server.listen(Number(port));
  process.stdout.write(`${JSON.stringify({port: listening})}\n`);
}

function standIn(name: string, description: string): Command {
  return new Command(name)
    .description(description)
    .option('--port <number>', 'port on the loopback address', '0');
}

const program = new Command('arbutustide-stand-ins')
  .description('Programs that stand in for the platform in trials and tests.')
  .addCommand(
    standIn('object-api', 'the object API').action((options: CommonOptions) =>
      announce(createObjectApiServer(), options.port),
    ),
  )
  .addCommand(
    standIn('host-list', 'the list of live and leaving hosts')
      .option('--lag-milliseconds <number>', 'age of what it shows', '500')
      .action((options: CommonOptions & {lagMilliseconds: string}) => {
        const table = new HostTable(Number(options.lagMilliseconds));
        return announce(createHostListServer(table), options.port);
      }),
  )
  .addCommand(
    standIn('engine', 'a model engine')
      .option('--memory-bytes <number>', 'all accelerators', '80000000000')
      .option('--ignore-fencing', 'take orders with an old fencing number')
      .option('--token-milliseconds <number>', 'between tokens', '5')
      .option('--first-token-milliseconds <number>', 'first token', '20')
      .option('--weight-store <url>', 'where weights are fetched')
      .action((options: EngineCommandOptions) => {
        const engine = new EngineModel(
          {
            ...DEFAULT_ENGINE_OPTIONS,
            memoryBytes: Number(options.memoryBytes),
            checksFencing: !options.ignoreFencing,
            tokenMilliseconds: Number(options.tokenMilliseconds),
            firstTokenMilliseconds: Number(options.firstTokenMilliseconds),
            ...(options.weightStore && {
              fetchWeights: httpWeightFetcher(options.weightStore),
            }),
          },
          () => process.exit(CRASH_EXIT_CODE),
        );
        return announce(createEngineServer(engine), options.port);
      }),
  )
  .addCommand(
    standIn('service', 'a plain service')
      .option('--call-milliseconds <number>', 'time of one call', '20')
      .action((options: CommonOptions & {callMilliseconds: string}) => {
        const callMilliseconds = Number(options.callMilliseconds);
        const service = new ServiceModel({callMilliseconds});
        return announce(createServiceServer(service), options.port);
      }),
  )
  .addCommand(
    standIn('weight-store', 'the rate-limited store of weights')
      .option('--loads-per-second <number>', 'starts a second', '2')
      .option('--loads-at-full-speed <number>', 'loads at once', '8')
      .option('--load-milliseconds <number>', 'time of one load', '100')
      .action((options: WeightStoreOptions) => {
        const limiter = new WeightLimiter({
          loadsPerSecond: Number(options.loadsPerSecond),
          loadsAtFullSpeed: Number(options.loadsAtFullSpeed),
          loadMilliseconds: Number(options.loadMilliseconds),
        });
        return announce(createWeightStoreServer(limiter), options.port);
      }),
  );

void program.parseAsync();
