// The operator's configuration, like that of the site abay-certs.
export const HOST = 'certs.example';

const LIMITS = {
  header_bytes: 16_384,
  body_bytes: 4_194_304,
  header_timeout_ms: 3_000,
  idle_timeout_ms: 15_000,
};

export const Route = {
  CERT_DRAFT: {
    name: 'cert-draft',
    host: HOST,
    path_prefix: '/draft/',
    kind: 'stream',
    timeout_ms: 12_000,
    target_latency_ms: 300,
    gap_aim_ms: 300,
    priority: 0,
    service: 'certwriter',
    attempts: 2,
    sticky: true,
    resumable: true,
  },
  BATCH_RELEASE: {
    name: 'batch-release',
    host: HOST,
    path_prefix: '/release/',
    kind: 'non_idempotent',
    timeout_ms: 1_000,
    target_latency_ms: 141,
    priority: 2,
    service: 'release-desk',
    attempts: 2,
  },
  CERT_LOOKUP: {
    name: 'cert-lookup',
    host: HOST,
    path_prefix: '/lookup/',
    kind: 'idempotent',
    timeout_ms: 1_000,
    target_latency_ms: 141,
    priority: 2,
    service: 'release-desk',
    attempts: 2,
  },
};

/** A configuration with these routes; `models` are those of certwriter. */
export function buildConfiguration(version, routes, models) {
  return {
    version,
    routes,
    services: [
      {
        name: 'certwriter',
        health_path: '/health',
        connection_limit: 360,
        protocol: 'h1',
        tls: false,
        engine: {
          slots: 64,
          kv_cache_tokens: 171_517,
          weights_mb: 220_000,
          adapter_slots: 8,
          loads_per_s: 2.1,
          host_mb: 150_000,
          disk_mb: 450_000,
          models: models.map(name => ({
            name,
            weights_mb: 65_100,
            load_time_s: 3.8,
            adapters: 0,
            adapter_mb: 12,
            warm_s: 0.38,
            disk_s: 0.76,
          })),
        },
      },
      {
        name: 'release-desk',
        health_path: '/health',
        connection_limit: 96,
        protocol: 'h1',
        tls: false,
      },
    ],
    limits: LIMITS,
  };
}
