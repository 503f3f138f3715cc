import type {PoisonSegmentDetectorOptions} from '../../proxy/crash_attribution/poison_segment_detector.js';

import {
  PoisonSegmentDetector,
  ProcessState,
} from '../../proxy/crash_attribution/poison_segment_detector.js';
import {testModelRequest, testRequest} from './proxy_fixtures.js';

/** The segment that crashes upstreams. */
export const POISON_SEGMENT = 'poison';

/** A request whose prompt has these segments and one of its own. */
export function requestWith(...sharedSegments: string[]) {
  const promptSegments = [...sharedSegments, 'own'].map(id => ({
    id,
    tokens: 50,
  }));
  return testRequest({
    modelRequest: {...testModelRequest('m'), promptSegments},
  });
}

/** A detector of a node that sees all upstreams run. */
export function createDetector(
  identity: string,
  overrides: Partial<PoisonSegmentDetectorOptions> = {},
): PoisonSegmentDetector {
  return new PoisonSegmentDetector({
    identity,
    processState: () => ProcessState.RUNNING,
    onCrash: () => {},
    onQuarantine: () => {},
    onExonerated: () => {},
    ...overrides,
  });
}
