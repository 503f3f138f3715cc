/**
 * Guards against a planner that writes its record for engines whose holdings have
 * not changed, and against nodes and records that keep outdated holdings. Load:
 * passes every 150 ms.
 */
import type {ListedEngine} from '@arbutustide/placement';

import {OwnRecord} from '@arbutustide/membership';
import {expect} from 'chai';

import {NodeEnginePlannerEnvironment} from '../../proxy/node_engine_planner_environment.js';

const ENGINE = {id: 'engine-1', startedAt: 1} as ListedEngine;
const RESTARTED = {...ENGINE, startedAt: 2};
const EPOCH = 7;
const HELD = ['alpha', 'alpha/a1'];

/** Counts what is written to it. */
class CountingRecord extends OwnRecord {
  writeCount = 0;

  override set(...field: Parameters<OwnRecord['set']>): void {
    this.writeCount += 1;
    super.set(...field);
  }
}

describe('environment of the planner on a node', () => {
  let ownRecord: CountingRecord;
  let plannedHoldings: readonly string[] | undefined;
  let environment: NodeEnginePlannerEnvironment;

  beforeEach(() => {
    ownRecord = new CountingRecord('node-1', 1_000);
    plannedHoldings = undefined;
    const upstream = {
      setPlannedHoldings: (held: readonly string[] | undefined) => {
        plannedHoldings = held;
      },
    };
    environment = new NodeEnginePlannerEnvironment(
      ...([
        {get: () => upstream},
        undefined,
        {ownRecord},
      ] as unknown as ConstructorParameters<
        typeof NodeEnginePlannerEnvironment
      >),
    );
  });

  const published = () => {
    const value = ownRecord.get('holdings/engine-1');
    return value?.case === 'holdings' ? value.value : undefined;
  };

  it('writes holdings once while they do not change', () => {
    for (let pass = 0; pass < 20; pass += 1)
      environment.publishHoldings(ENGINE, HELD, EPOCH);
    expect(ownRecord.writeCount).to.equal(1);
    expect(published()?.held).to.deep.equal(HELD);
  });

  it('writes them for another list, another process and another lease', () => {
    environment.publishHoldings(ENGINE, HELD, EPOCH);
    environment.publishHoldings(ENGINE, ['beta'], EPOCH);
    expect(published()?.held).to.deep.equal(['beta']);
    environment.publishHoldings(ENGINE, HELD, EPOCH);
    environment.publishHoldings(RESTARTED, HELD, EPOCH);
    expect(published()?.upstreamStartedAt).to.equal(2n);
    environment.publishHoldings(RESTARTED, HELD, EPOCH + 1);
    expect(published()?.epoch).to.equal(EPOCH + 1);
  });

  it('writes them again after they were withdrawn', () => {
    environment.publishHoldings(ENGINE, HELD, EPOCH);
    environment.publishHoldings(ENGINE, undefined, EPOCH);
    expect(published()).to.equal(undefined);
    environment.publishHoldings(ENGINE, HELD, EPOCH);
    expect(published()?.held).to.deep.equal(HELD);
  });

  it('sets them at its own node again after the node went by another planner', () => {
    environment.publishHoldings(ENGINE, HELD, EPOCH);
    plannedHoldings = undefined;
    environment.publishHoldings(ENGINE, HELD, EPOCH);
    expect(plannedHoldings).to.deep.equal(HELD);
  });
});
