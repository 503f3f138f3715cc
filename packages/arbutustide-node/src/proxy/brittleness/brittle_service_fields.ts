import type {FieldValue} from '@arbutustide/membership';
import type {BrittleServices} from '@arbutustide/routing';

import {BrittleServiceSchema} from '@arbutustide/membership';
import {create} from '@bufbuild/protobuf';

/** Fields of this node's record: the services that it has seen to be brittle. */
export function* brittleServiceFields(
  brittleServices: BrittleServices,
): Generator<readonly [string, FieldValue]> {
  for (const [service, rejectionsPerSecond] of brittleServices.observed()) {
    const value = create(BrittleServiceSchema, {service, rejectionsPerSecond});
    yield [`brittle_service/${service}`, {case: 'brittleService', value}];
  }
}
