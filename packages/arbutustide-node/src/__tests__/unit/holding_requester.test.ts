/**
 * Guards the planner against requests of all nodes for models that take seconds
 * to load. Load: one node asks every 100 ms, as its queue does while requests
 * wait for a model.
 */
import type {PromisedHolding} from '@arbutustide/membership';
import type {Result} from 'ts-results';

import type {PlannerClient} from '../../proxy/planner_client.js';

import {PeerError} from '@arbutustide/membership';
import {ProxyUpstreamDirectory} from '@arbutustide/routing';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {Err, Ok} from 'ts-results';

import {HoldingRequester} from '../../proxy/holding_requester.js';

type HoldingAnswer = Result<PromisedHolding | undefined, PeerError>;

const MODEL = {model: 'm', adapter: undefined};
const QUEUE_CHECK_MILLISECONDS = 100;
const OBSERVED_MILLISECONDS = 10_000;

describe('HoldingRequester', () => {
  let clock: ReturnType<typeof install>;

  beforeEach(() => {
    clock = install();
  });
  afterEach(() => clock.uninstall());

  /** Requests that reach the planner in ten seconds. */
  async function countRequests(readyInMilliseconds: number | undefined) {
    let count = 0;
    const plannerClient: Pick<PlannerClient, 'requestHolding'> = {
      requestHolding: async () => {
        count += 1;
        return Ok(
          readyInMilliseconds === undefined
            ? undefined
            : {upstreamId: '', readyInMilliseconds},
        );
      },
    };
    const requester = new HoldingRequester(
      plannerClient as PlannerClient,
      new ProxyUpstreamDirectory(),
    );
    for (
      let elapsed = 0;
      elapsed < OBSERVED_MILLISECONDS;
      elapsed += QUEUE_CHECK_MILLISECONDS
    ) {
      requester.requestHolding('service', {model: 'm', adapter: undefined});
      await clock.tickAsync(QUEUE_CHECK_MILLISECONDS);
    }
    return count;
  }

  it('asks once a second while a load takes seconds', async () => {
    expect(await countRequests(4_200)).to.be.at.most(10);
  });

  it('asks four times a second at most for what is ready soon or denied', async () => {
    expect(await countRequests(12)).to.be.within(30, 40);
    expect(await countRequests(undefined)).to.be.within(30, 40);
  });

  /** A requester whose planner answers as the function does. */
  function createRequester(answer: () => HoldingAnswer) {
    const plannerClient: Pick<PlannerClient, 'requestHolding'> = {
      requestHolding: async () => answer(),
    };
    return new HoldingRequester(
      plannerClient as PlannerClient,
      new ProxyUpstreamDirectory(),
    );
  }

  async function askFor(requester: HoldingRequester, milliseconds: number) {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += 100) {
      requester.requestHolding('service', MODEL);
      await clock.tickAsync(QUEUE_CHECK_MILLISECONDS);
    }
    return requester.expectedWaitMilliseconds('service', MODEL);
  }

  // Without a bound, requests wait for a planner that has failed until their
  // callers give up.
  it('expects a longer wait the longer no planner answers', async () => {
    const requester = createRequester(() => Err(new PeerError('', 'lost')));
    expect(await askFor(requester, 500)).to.be.within(400, 600);
    expect(await askFor(requester, 2_500)).to.be.within(2_900, 3_100);
  });

  it('expects the time of the load as soon as a planner answers', async () => {
    let answer: HoldingAnswer = Err(new PeerError('', 'lost'));
    const requester = createRequester(() => answer);
    await askFor(requester, 3_000);
    answer = Ok({upstreamId: '', readyInMilliseconds: 600});
    expect(await askFor(requester, 300)).to.be.within(200, 600);
  });

  it('keeps the time of a load under way while a new planner is silent', async () => {
    let answer: HoldingAnswer = Ok({
      upstreamId: '',
      readyInMilliseconds: 4_000,
    });
    const requester = createRequester(() => answer);
    await askFor(requester, 100);
    answer = Err(new PeerError('', 'lost'));
    expect(await askFor(requester, 1_500)).to.be.within(2_300, 2_500);
  });
});
