/**
 * Guards against leases that are used after they lapsed or after a suspension,
 * against requests that wait for an issuer that is gone, and against calls that
 * a lease makes needless.
 */
import type {QuotaClaim, QuotaGrant} from '../../quota_messages.js';

import {ErrorKind, ExecutionStatus} from '@arbutustide/errors';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {QuotaClient} from '../../quota_client.js';

const LATENCY_MILLISECONDS = 10;
const ISSUERS = ['issuer-1', 'issuer-2'];

/** A call that an issuer got. */
interface Call {
  readonly issuer: string;
  readonly claims: readonly QuotaClaim[];
}

describe('leases of a node', () => {
  let clock: ReturnType<typeof install>;
  let calls: Call[];
  let answer: (issuer: string, claim: QuotaClaim) => Partial<QuotaGrant>;
  let silentIssuers: Set<string>;
  let latencyMilliseconds: number;
  let client: QuotaClient;

  beforeEach(() => {
    clock = install();
    calls = [];
    silentIssuers = new Set();
    latencyMilliseconds = LATENCY_MILLISECONDS;
    answer = (_issuer, {wanted}) => ({
      granted: wanted,
      validMilliseconds: 1_000,
    });
    client = createClient();
  });
  afterEach(() => clock.uninstall());

  function createClient(): QuotaClient {
    return new QuotaClient({
      identity: 'node',
      listIssuers: () =>
        ISSUERS.map(identity => ({identity, peerUrl: `http://${identity}`})),
      countNodes: () => 91,
      limitsOf: team =>
        team === 'unlimited'
          ? undefined
          : {ratePerSecond: 1_000, burst: 1_000, slack: 0, version: 1},
      call: async ({identity}, claims) => {
        calls.push({issuer: identity, claims});
        const isSilent = silentIssuers.has(identity);
        await pause(isSilent ? 1_000 : latencyMilliseconds);
        if (isSilent) return undefined;
        return claims.map(claim => ({
          team: claim.team,
          isIssuer: true,
          granted: 0,
          validMilliseconds: 0,
          retryAfterMilliseconds: 0,
          ...answer(identity, claim),
        }));
      },
      suspensionToleranceMilliseconds: 300,
      random: () => 0.5,
      onEvent: () => {},
    });
  }

  async function take(cost: number, team = 'team') {
    const taken = client.take(team, cost);
    // A request that is refused has asked both issuers.
    await clock.tickAsync(2 * LATENCY_MILLISECONDS);
    return taken;
  }

  /** Requests that are frequent enough to lease ahead. */
  async function leaseAhead(): Promise<void> {
    for (let request = 0; request < 10; request += 1) await take(100);
    await clock.tickAsync(LATENCY_MILLISECONDS);
    calls = [];
  }

  it('admit requests of teams without a limit, without a call', async () => {
    expect((await take(1e9, 'unlimited')).ok).to.equal(true);
    expect(calls).to.deep.equal([]);
  });

  it('serve requests at once after the first', async () => {
    await leaseAhead();
    const startedAt = performance.now();
    expect((await client.take('team', 100)).ok).to.equal(true);
    expect(performance.now()).to.equal(startedAt);
  });

  it('are not used after they lapsed', async () => {
    await leaseAhead();
    clock.tick(1_001);
    answer = () => ({granted: 0, retryAfterMilliseconds: 500});
    expect((await take(100)).ok).to.equal(false);
  });

  it('are not used after a suspension, which the monotonic clock does not show', async () => {
    await leaseAhead();
    clock.setSystemTime(Date.now() + 10_000);
    answer = () => ({granted: 0, retryAfterMilliseconds: 500});
    expect((await take(100)).ok).to.equal(false);
  });

  it('are void if they were asked for before a suspension', async () => {
    const taken = client.take('team', 100);
    await clock.tickAsync(LATENCY_MILLISECONDS / 2);
    clock.setSystemTime(Date.now() + 10_000);
    answer = () => ({granted: 100, validMilliseconds: 1_000});
    const issuersBefore = calls.length;
    await clock.tickAsync(3 * LATENCY_MILLISECONDS);
    // The second issuer is asked after the wake-up, so its grant is valid.
    expect((await taken).ok).to.equal(true);
    expect(calls.length).to.equal(issuersBefore + 1);
  });

  it('come from the other issuer within 300 ms if one does not answer', async () => {
    silentIssuers.add(ISSUERS[0]).add(ISSUERS[1]);
    const first = client.take('team', 100);
    await clock.tickAsync(1);
    const [{issuer}] = calls;
    silentIssuers.delete(issuer === ISSUERS[0] ? ISSUERS[1] : ISSUERS[0]);
    await clock.tickAsync(299);
    expect((await first).ok).to.equal(true);
    calls = [];
    expect((await take(10_000)).ok).to.equal(true);
    expect(calls.map(call => call.issuer)).to.not.include(issuer);
  });

  it('are refused within 800 ms, and asked for in one call, while no issuer answers', async () => {
    silentIssuers.add(ISSUERS[0]).add(ISSUERS[1]);
    const first = client.take('team', 100);
    await clock.tickAsync(810);
    expect((await first).ok).to.equal(false);
    await clock.tickAsync(400);
    calls = [];
    const second = client.take('team', 100);
    await clock.tickAsync(810);
    expect((await second).ok).to.equal(false);
    expect(calls.length).to.be.within(1, ISSUERS.length);
  });

  // Guards against refusals on hosts that are slow: an issuer that answers is
  // not silent, and a late answer counts.
  for (const latency of [300, 600]) {
    it(`are granted by issuers that take ${latency} ms`, async () => {
      latencyMilliseconds = latency;
      for (const team of ['a', 'b', 'c', 'd']) {
        const taken = client.take(team, 100);
        await clock.tickAsync(latency);
        const isOver = await Promise.race([taken, Promise.resolve(undefined)]);
        expect(isOver?.ok, team).to.equal(true);
      }
    });
  }

  it('of several teams are asked for in one call', async () => {
    const teams = ['a', 'c', 'e'];
    await Promise.all([
      ...teams.map(team => client.take(team, 10)),
      clock.tickAsync(LATENCY_MILLISECONDS),
    ]);
    expect(calls).to.have.length(1);
    expect(calls[0].claims.map(({team}) => team)).to.deep.equal(teams);
  });

  it('serve other requests with what a request gives back, until they lapse', async () => {
    const taken = await take(100);
    if (!taken.ok) throw taken.val;
    calls = [];
    taken.val.giveBack();
    expect((await client.take('team', 100)).ok).to.equal(true);
    expect(calls).to.deep.equal([]);
  });

  it('do not come back once they lapsed', async () => {
    const taken = await take(100);
    if (!taken.ok) throw taken.val;
    clock.tick(2_000);
    taken.val.giveBack();
    answer = () => ({granted: 0, retryAfterMilliseconds: 500});
    expect((await take(100)).ok).to.equal(false);
  });

  it('go back to their issuers when the node stops', async () => {
    await leaseAhead();
    const released = client.release();
    await clock.tickAsync(LATENCY_MILLISECONDS);
    await released;
    const returned = calls
      .flatMap(({claims}) => claims)
      .reduce((sum, claim) => sum + claim.returned, 0);
    expect(returned).to.be.above(0);
    answer = (_issuer, {wanted, needed}) => {
      expect(wanted).to.equal(needed);
      return {granted: wanted, validMilliseconds: 1_000};
    };
    expect((await take(100)).ok).to.equal(true);
  });

  it('are refused with the time that the issuers name, spread, as not run', async () => {
    answer = issuer => ({
      granted: 0,
      retryAfterMilliseconds: issuer === ISSUERS[0] ? 4_000 : 2_000,
    });
    const taken = client.take('team', 100);
    await clock.tickAsync(2 * LATENCY_MILLISECONDS);
    const {val: refusal} = await taken;
    expect(refusal).to.include({
      kind: ErrorKind.QUOTA_EXCEEDED,
      ran: ExecutionStatus.NOT_EXECUTED,
      retryAfterMilliseconds: 2_500,
    });
    calls = [];
    expect((await client.take('team', 100)).ok).to.equal(false);
    expect(calls, 'asked again at once').to.deep.equal([]);
  });

  it('of two issuers serve a request that neither can serve alone', async () => {
    answer = () => ({granted: 60, validMilliseconds: 300});
    const taken = client.take('team', 100);
    await clock.tickAsync(2 * LATENCY_MILLISECONDS);
    expect((await taken).ok).to.equal(true);
  });
});

function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}
