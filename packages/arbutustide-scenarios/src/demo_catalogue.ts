/**
 * Catalogue in TOML: two models, three adapters and a service whose calls are
 * not idempotent.
 */
export const DEMO_CATALOGUE = `
[[classes]]
name = "interactive"
deadline_milliseconds = 30000
first_token_milliseconds = 810
progress_milliseconds = 5000
priority = 1

[[classes]]
name = "batch"
deadline_milliseconds = 300000
first_token_milliseconds = 10000
progress_milliseconds = 20000
priority = 5

[[entries]]
name = "certificate-writer"
kind = "model"
owner = "quality"
class = "interactive"
memory_bytes = 30000000000
minimum_replicas = 2

[[entries]]
name = "findings-summary"
kind = "model"
owner = "laboratory"
class = "batch"
memory_bytes = 16000000000

[[entries]]
name = "certificate-marine"
kind = "adapter"
base = "certificate-writer"
owner = "quality"
class = "interactive"
memory_bytes = 200000000

[[entries]]
name = "certificate-powder"
kind = "adapter"
base = "certificate-writer"
owner = "quality"
class = "interactive"
memory_bytes = 200000000

[[entries]]
name = "findings-french"
kind = "adapter"
base = "findings-summary"
owner = "laboratory"
class = "batch"
memory_bytes = 100000000

[[entries]]
name = "release"
kind = "service"
owner = "dispatch"
class = "interactive"
host_group = "release"
idempotent = false
`;
