import type {
  ProxyUpstreamDirectory,
  ServingConfiguration,
} from '@arbutustide/routing';

/**
 * Least time in which an upstream of the service can load a model, from the
 * nearest copy of its weights. Zero while there is no configuration; undefined if
 * the model is not in the catalogue.
 */
export function shortestLoadMilliseconds(
  configuration: ServingConfiguration | undefined,
  directory: ProxyUpstreamDirectory,
  service: string,
  name: string,
): number | undefined {
  if (!configuration) return 0;
  const model = configuration.services.get(service)?.engine?.models.get(name);
  if (!model) return undefined;
  let shortest = model.storeLoadMilliseconds;
  for (const {description, isReady} of directory.listByService(service)) {
    if (!isReady) continue;
    if (description.modelsInMemory.includes(name))
      return model.memoryLoadMilliseconds;
    if (description.modelsOnDisk.includes(name))
      shortest = model.diskLoadMilliseconds;
  }
  return shortest;
}
