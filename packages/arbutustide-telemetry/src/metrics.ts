import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from 'prom-client';

/** Upper bounds; they include the latency targets of 0.064 s and 0.81 s. */
const LATENCY_BUCKETS_SECONDS = [
  0.001, 0.004, 0.016, 0.032, 0.064, 0.125, 0.25, 0.5, 0.81, 1.5, 3, 6, 12, 30,
  60, 120,
];

const TENANT_AND_CLASS_LABELS = ['tenant', 'class'] as const;

/** The Prometheus metrics of one node, in a separate registry. */
export class NodeMetrics {
  readonly registry = new Registry();

  readonly firstTokenSeconds = this.createLatencyHistogram(
    'arbutustide_first_token_seconds',
    'Time from a request to the first piece of its answer.',
  );
  readonly betweenTokensSeconds = this.createLatencyHistogram(
    'arbutustide_between_tokens_seconds',
    'Time between two pieces of a streamed answer.',
  );
  readonly requestSeconds = this.createLatencyHistogram(
    'arbutustide_request_seconds',
    'Time from a request to the end of its whole answer.',
  );
  readonly queuedSeconds = this.createLatencyHistogram(
    'arbutustide_queued_seconds',
    'Time a request waited for a place.',
  );
  readonly unreadSeconds = this.createLatencyHistogram(
    'arbutustide_unread_seconds',
    'Longest time for which a request can have waited to be read.',
  );
  readonly turnWaitSeconds = new Histogram({
    name: 'arbutustide_turn_wait_seconds',
    help: 'Time for which a request that was read waited for its turn of the event loop.',
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [this.registry],
  });
  readonly arrivalsRefused = new Counter({
    name: 'arbutustide_arrivals_refused_total',
    help: 'Requests that were refused on arrival because the event loop was behind.',
    labelNames: ['entry'] as const,
    registers: [this.registry],
  });
  readonly loopBlockedSeconds = new Counter({
    name: 'arbutustide_loop_blocked_seconds_total',
    help: 'Time in long turns of the event loop, in which no input was read.',
    registers: [this.registry],
  });
  readonly answers = new Counter({
    name: 'arbutustide_answers_total',
    help: 'Answers by tenant, class and how they ended.',
    labelNames: [...TENANT_AND_CLASS_LABELS, 'end'] as const,
    registers: [this.registry],
  });
  readonly refusals = new Counter({
    name: 'arbutustide_refusals_total',
    help: 'Refusals by kind and by whether the request ran.',
    labelNames: ['kind', 'ran'] as const,
    registers: [this.registry],
  });
  readonly requestsAtStop = new Counter({
    name: 'arbutustide_requests_at_stop_total',
    help: 'Requests that a stop could not wait for, by stage of the answer.',
    labelNames: ['stage'] as const,
    registers: [this.registry],
  });
  readonly boundsReached = new Counter({
    name: 'arbutustide_bounds_reached_total',
    help: 'Refusals and closed connections because of a bound, by server and bound.',
    labelNames: ['server', 'bound'] as const,
    registers: [this.registry],
  });
  readonly handovers = new Counter({
    name: 'arbutustide_stream_handovers_total',
    help: 'Stalled streams that were handed over in a stop, by entry and action.',
    labelNames: ['entry', 'action'] as const,
    registers: [this.registry],
  });
  readonly missedPlaces = new Counter({
    name: 'arbutustide_missed_places_total',
    help: 'Ways to hand a stream over that had no place, once per stream and reason.',
    labelNames: ['entry', 'action', 'reason'] as const,
    registers: [this.registry],
  });
  readonly memoryMoves = new Counter({
    name: 'arbutustide_memory_moves_total',
    help: 'Moves of the memory of runs in a stop, by entry and outcome.',
    labelNames: ['entry', 'outcome'] as const,
    registers: [this.registry],
  });
  readonly teamRefusals = new Counter({
    name: 'arbutustide_team_refusals_total',
    help: 'Refusals of requests with a valid key, by tenant and kind.',
    labelNames: ['tenant', 'kind'] as const,
    registers: [this.registry],
  });
  readonly configurationAgeSeconds = new Gauge({
    name: 'arbutustide_configuration_age_seconds',
    help: 'Age of the newest confirmation that the configuration is in force.',
    registers: [this.registry],
  });
  readonly retries = new Counter({
    name: 'arbutustide_retries_total',
    help: 'Attempts after the first, by entry.',
    labelNames: ['entry'] as const,
    registers: [this.registry],
  });
  readonly placements = new Counter({
    name: 'arbutustide_placements_total',
    help: 'Attempts by entry and by whether the upstream is in the failure domain of the node.',
    labelNames: ['entry', 'place'] as const,
    registers: [this.registry],
  });
  readonly leavingShare = new Gauge({
    name: 'arbutustide_leaving_share',
    help: 'Share of requests that may leave the failure domain, by the last decision.',
    labelNames: ['entry'] as const,
    registers: [this.registry],
  });
  readonly extraPathSeconds = new Gauge({
    name: 'arbutustide_extra_path_seconds',
    help: 'Measured time that a request elsewhere spends on the way in addition.',
    labelNames: ['entry'] as const,
    registers: [this.registry],
  });
  readonly objectStoreCalls = new Counter({
    name: 'arbutustide_store_calls_total',
    help: 'Calls to the object API by method; the platform charges each.',
    labelNames: ['method'] as const,
    registers: [this.registry],
  });
  readonly plannerOrders = new Counter({
    name: 'arbutustide_orders_total',
    help: 'Orders of the planner by kind and reason.',
    labelNames: ['kind', 'reason'] as const,
    registers: [this.registry],
  });
  readonly plannerPasses = new Counter({
    name: 'arbutustide_planner_passes_total',
    help: 'Planning passes of this node.',
    registers: [this.registry],
  });
  readonly plannerPassSeconds = new Gauge({
    name: 'arbutustide_planner_longest_pass_seconds',
    help: 'Longest planning pass of the last second in which there was one.',
    registers: [this.registry],
  });
  readonly plannerDelaySeconds = new Gauge({
    name: 'arbutustide_planner_longest_delay_seconds',
    help: 'Longest time by which a planning pass began late in that second.',
    registers: [this.registry],
  });
  readonly unloadedModels = new Gauge({
    name: 'arbutustide_unloaded_models',
    help: 'Models with requests that no engine holds, by reason.',
    labelNames: ['reason'] as const,
    registers: [this.registry],
  });
  readonly modelWaitSeconds = new Histogram({
    name: 'arbutustide_model_wait_seconds',
    help: 'Time from the first request for a model until an engine held it.',
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [this.registry],
  });
  readonly catalogueRevision = new Gauge({
    name: 'arbutustide_catalogue_revision',
    help: 'Revision of the catalogue or version of the configuration in force.',
    registers: [this.registry],
  });
  readonly quotaUnits = new Counter({
    name: 'arbutustide_quota_units_total',
    help: "Units of teams' quotas that were used, leased and returned.",
    labelNames: ['team', 'event'] as const,
    registers: [this.registry],
  });
  readonly quotaRefusals = new Counter({
    name: 'arbutustide_quota_refusals_total',
    help: 'Requests refused because the quota of their team was used up.',
    labelNames: ['team'] as const,
    registers: [this.registry],
  });
  readonly requestsInFlight = new Gauge({
    name: 'arbutustide_requests_in_flight',
    help: 'Requests between their head and the end of their answer.',
    registers: [this.registry],
  });

  /** Adds the default metrics of Node.js, such as memory and event loop lag. */
  collectRuntimeMetrics(): void {
    collectDefaultMetrics({register: this.registry});
  }

  private createLatencyHistogram(name: string, help: string) {
    return new Histogram({
      name,
      help,
      labelNames: TENANT_AND_CLASS_LABELS,
      buckets: LATENCY_BUCKETS_SECONDS,
      registers: [this.registry],
    });
  }
}
