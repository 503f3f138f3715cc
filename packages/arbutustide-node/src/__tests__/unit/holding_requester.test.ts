/**
 * Guards the planner against requests of all nodes for models that take seconds
 * to load. Load: one node asks every 100 ms, as its queue does while requests
 * wait for a model.
 */
import type {PlannerClient} from '../../proxy/planner_client.js';

import {ProxyUpstreamDirectory} from '@arbutustide/routing';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {Ok} from 'ts-results';

import {HoldingRequester} from '../../proxy/holding_requester.js';

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
});
