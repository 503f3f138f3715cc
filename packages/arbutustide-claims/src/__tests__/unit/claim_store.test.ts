/**
 * Guards against a request that runs twice because two processes hold the claim
 * on one idempotency key. That could come about when a write to the object API
 * is refused, or takes effect but loses its reply.
 */
import type {ObjectStore, StoredObject} from '@arbutustide/object-store';

import {StoreError, StoreErrorKind} from '@arbutustide/object-store';
import {expect} from 'chai';
import fc from 'fast-check';
import {Err, Ok} from 'ts-results';

import {ClaimOutcome, ClaimStore} from '../../index.js';

const RUNS = 1_000;
const SEED = 20_261_203;

/** Outcome of one write to the store. */
enum WriteOutcome {
  DONE,
  REPLY_LOST,
  REFUSED,
}

/** In-memory object store whose writes have the listed outcomes, then DONE. */
class FaultInjectingStore implements ObjectStore {
  readonly eraStartVersion = 0;
  private readonly objects = new Map<string, StoredObject>();
  private version = 0;

  constructor(private readonly outcomes: WriteOutcome[]) {}

  async get(key: string) {
    const object = this.objects.get(key);
    return object
      ? Ok(object)
      : Err(new StoreError(StoreErrorKind.NOT_FOUND, key));
  }

  async list() {
    return Ok({objects: [...this.objects.values()], version: 0});
  }

  async create(key: string, value: unknown) {
    return this.write(key, value, undefined);
  }

  async update(key: string, value: unknown, version: number) {
    return this.write(key, value, version);
  }

  async delete(key: string, version: number) {
    if (this.objects.get(key)?.version !== version) {
      return Err(new StoreError(StoreErrorKind.CONFLICT, key));
    }
    this.objects.delete(key);
    return Ok(undefined);
  }

  async watch(): Promise<never> {
    throw new Error('watch is not implemented by this test store');
  }

  private write(key: string, value: unknown, version: number | undefined) {
    const outcome = this.outcomes.shift() ?? WriteOutcome.DONE;
    if (outcome === WriteOutcome.REFUSED) {
      return Err(new StoreError(StoreErrorKind.UNAVAILABLE, key));
    }
    if (this.objects.get(key)?.version !== version) {
      return Err(new StoreError(StoreErrorKind.CONFLICT, key));
    }
    this.version += 1;
    const object = {key, version: this.version, value};
    this.objects.set(key, object);
    return outcome === WriteOutcome.REPLY_LOST
      ? Err(new StoreError(StoreErrorKind.OUTCOME_UNKNOWN, key))
      : Ok(object);
  }
}

const writeOutcomes = fc.array(
  fc.constantFrom(
    WriteOutcome.DONE,
    WriteOutcome.REPLY_LOST,
    WriteOutcome.REFUSED,
  ),
  {maxLength: 12, size: 'max'},
);

describe('ClaimStore', () => {
  it('grants a key at most once when writes fail or lose replies', async () => {
    await fc.assert(
      fc.asyncProperty(
        writeOutcomes,
        fc.integer({min: 1, max: 6}),
        async (outcomes, processCount) => {
          const store = new FaultInjectingStore([...outcomes]);
          let heldCount = 0;
          for (let index = 0; index < processCount; index += 1) {
            const claims = new ClaimStore(store, {
              claimant: `node-${index}`,
              answerLimitBytes: 1_000,
              isAlive: () => false,
            });
            const result = await claims.claim({
              identity: {caller: 'c', entry: 'release', key: 'k'},
              requestDigest: 'digest',
              requestId: `r-${index}`,
            });
            const isHeld =
              result.ok && result.val.outcome === ClaimOutcome.HELD;
            if (isHeld) heldCount += 1;
          }
          expect(heldCount).to.be.at.most(1);
        },
      ),
      {numRuns: RUNS, seed: SEED},
    );
  });
});
