/**
 * Guards against streams that wait at their upstreams until their node has
 * stopped, and against handing over those that run.
 */
import type {HandoverInput} from '../../proxy/handover/handover_decision.js';

import {expect} from 'chai';

import {
  decideHandover,
  HandoverAction,
  StayReason,
} from '../../proxy/handover/handover_decision.js';
import {RequestKind} from '../../proxy/route.js';
import {testRoute} from './proxy_fixtures.js';

const RESUMABLE = testRoute({
  kind: RequestKind.STREAM,
  isResumable: true,
  callerTimeoutMilliseconds: 2_400,
});
const SINGLE = testRoute({...RESUMABLE, isResumable: false});

const STALLED: HandoverInput = {
  route: RESUMABLE,
  mayReachFurther: true,
  hasEvents: true,
  isUrgent: false,
  hasEarlierUpstream: false,
  expectedMilliseconds: 3_000,
  isMovable: false,
  sinceMoveFailedMilliseconds: Infinity,
  hasFoundNoRoom: false,
  stalledMilliseconds: 600,
  usualPauseMilliseconds: 40,
  longestUsualPauseMilliseconds: 40,
  hasKnownPace: true,
  leftMilliseconds: 7_000,
};

const UNBEGUN: Partial<HandoverInput> = {
  hasEvents: false,
  usualPauseMilliseconds: undefined,
  stalledMilliseconds: 1_200,
};

const UNEVEN_PACE: Partial<HandoverInput> = {
  usualPauseMilliseconds: 200,
  longestUsualPauseMilliseconds: 560,
};

const EVEN_PACE: Partial<HandoverInput> = {
  usualPauseMilliseconds: 250,
  longestUsualPauseMilliseconds: 260,
  leftMilliseconds: 1_200,
};

const CASES: readonly {
  readonly name: string;
  readonly changes: Partial<HandoverInput>;
  readonly expected: HandoverAction | StayReason;
}[] = [
  {
    name: 'resumes a stream that may be resumed',
    changes: {},
    expected: HandoverAction.RESUME_ELSEWHERE,
  },
  {
    name: 'resumes one without an attempt left where it is',
    changes: {mayReachFurther: false},
    expected: HandoverAction.RESUME_URGENTLY,
  },
  {
    name: 'returns one without an attempt left to where it was before',
    changes: {mayReachFurther: false, isUrgent: true, hasEarlierUpstream: true},
    expected: HandoverAction.RETURN_TO_EARLIER,
  },
  {
    name: 'resumes one elsewhere while it has an attempt left',
    changes: {mayReachFurther: true, hasEarlierUpstream: true},
    expected: HandoverAction.RESUME_ELSEWHERE,
  },
  {
    name: 'moves memory rather than run a stream once more',
    changes: {isMovable: true},
    expected: HandoverAction.MOVE_MEMORY,
  },
  {
    name: 'moves the memory of a stream that must not run again',
    changes: {route: SINGLE, isMovable: true},
    expected: HandoverAction.MOVE_MEMORY,
  },
  {
    name: 'readmits what must not run again if nobody has room for its memory',
    changes: {
      route: SINGLE,
      isMovable: true,
      hasFoundNoRoom: true,
      sinceMoveFailedMilliseconds: 500,
      stalledMilliseconds: 1_200,
    },
    expected: HandoverAction.READMIT,
  },
  {
    name: 'stops no run before another stall',
    changes: {
      route: SINGLE,
      isMovable: true,
      hasFoundNoRoom: true,
      sinceMoveFailedMilliseconds: 500,
      stalledMilliseconds: 1_199,
    },
    expected: StayReason.NOT_MOVABLE,
  },
  {
    name: 'stops no run while it is not known that nobody has room',
    changes: {
      route: SINGLE,
      isMovable: true,
      sinceMoveFailedMilliseconds: 500,
      stalledMilliseconds: 1_200,
    },
    expected: StayReason.NOT_MOVABLE,
  },
  {
    name: 'resumes what may run again if nobody has room for its memory',
    changes: {
      isMovable: true,
      hasFoundNoRoom: true,
      sinceMoveFailedMilliseconds: 500,
      stalledMilliseconds: 1_200,
    },
    expected: HandoverAction.RESUME_ELSEWHERE,
  },
  {
    name: 'never runs once more what must not run again',
    changes: {route: SINGLE},
    expected: StayReason.NOT_MOVABLE,
  },
  {
    name: 'leaves streams alone while the node does not stop',
    changes: {leftMilliseconds: Infinity, stalledMilliseconds: 60_000},
    expected: StayReason.NOT_STOPPING,
  },
  {
    name: 'leaves a stream that has not begun and may still end in time',
    changes: UNBEGUN,
    expected: StayReason.NOT_BEGUN,
  },
  {
    name: 'refuses one that has not begun and can hardly end in time',
    changes: {...UNBEGUN, leftMilliseconds: 2_900},
    expected: HandoverAction.REFUSE,
  },
  {
    name: 'awaits one that has not begun and whose time is not known',
    changes: {...UNBEGUN, expectedMilliseconds: undefined},
    expected: StayReason.NOT_BEGUN,
  },
  {
    name: 'awaits one that must not be repeated, although it has not begun',
    changes: {...UNBEGUN, leftMilliseconds: 2_900, route: SINGLE},
    expected: StayReason.NOT_BEGUN,
  },
  {
    name: 'gives up no urgent place without an attempt for another',
    changes: {mayReachFurther: false, isUrgent: true},
    expected: StayReason.NO_ATTEMPT_LEFT,
  },
  {
    name: 'waits longer for a stream whose pace is not known',
    changes: {usualPauseMilliseconds: undefined, stalledMilliseconds: 1_190},
    expected: StayReason.NOT_STALLED,
  },
  {
    name: 'waits for the next event for a share of what callers do',
    changes: {stalledMilliseconds: 599},
    expected: StayReason.NOT_STALLED,
  },
  {
    name: 'does not take the usual pace of a stream for a stall',
    changes: {...UNEVEN_PACE, stalledMilliseconds: 790},
    expected: StayReason.NOT_STALLED,
  },
  {
    name: 'takes four usual pauses for a stall',
    changes: {...UNEVEN_PACE, stalledMilliseconds: 800},
    expected: HandoverAction.RESUME_ELSEWHERE,
  },
  {
    name: 'does not take a pause little longer than all others for a stall',
    changes: {...EVEN_PACE, stalledMilliseconds: 389},
    expected: StayReason.NOT_STALLED,
  },
  {
    name: 'takes a pause much longer than all others for a stall',
    changes: {...EVEN_PACE, stalledMilliseconds: 390},
    expected: HandoverAction.RESUME_ELSEWHERE,
  },
  {
    name: 'waits for longer after few pauses',
    changes: {...EVEN_PACE, hasKnownPace: false, stalledMilliseconds: 599},
    expected: StayReason.NOT_STALLED,
  },
  {
    name: 'waits for half of the time that is left after few pauses',
    changes: {...EVEN_PACE, hasKnownPace: false, stalledMilliseconds: 600},
    expected: HandoverAction.RESUME_ELSEWHERE,
  },
  {
    name: 'waits less as less time is left',
    changes: {leftMilliseconds: 1_200, stalledMilliseconds: 300},
    expected: HandoverAction.RESUME_ELSEWHERE,
  },
  {
    name: 'begins nothing that cannot get under way',
    changes: {leftMilliseconds: 200},
    expected: StayReason.TOO_LATE,
  },
];

describe('decision on a stream of a node that stops', () => {
  for (const {name, changes, expected} of CASES) {
    it(name, () => {
      const decision = decideHandover({...STALLED, ...changes});
      expect(decision.ok ? decision.val[0] : decision.val).to.equal(expected);
    });
  }

  it('tries all other ways after a move of memory', () => {
    const changes = {isMovable: true, hasEarlierUpstream: true};
    const decision = decideHandover({...STALLED, ...changes});
    expect(decision.val).to.eql([
      HandoverAction.MOVE_MEMORY,
      HandoverAction.RESUME_ELSEWHERE,
      HandoverAction.RETURN_TO_EARLIER,
      HandoverAction.RESUME_URGENTLY,
    ]);
  });

  it('has no other way than a move for what must not run again', () => {
    const changes = {route: SINGLE, isMovable: true, hasEarlierUpstream: true};
    const decision = decideHandover({...STALLED, ...changes});
    expect(decision.val).to.eql([HandoverAction.MOVE_MEMORY]);
  });
});
