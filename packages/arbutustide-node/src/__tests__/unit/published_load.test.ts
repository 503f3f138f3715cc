// Guards against requests that hang behind a lost path and take slots of the
// upstream from other nodes, which reach it, and against queues that the other
// nodes do not know of.
import type {RoutedRequest} from '@arbutustide/routing';

import {ClusterView, MemberTable, OwnRecord} from '@arbutustide/membership';
import {
  DemandCounter,
  PoisonRequestDetector,
  ProxyUpstream,
  UpstreamState,
} from '@arbutustide/routing';
import {expect} from 'chai';

import {NodeStatusPublisher} from '../../node_status_publisher.js';

const EXPIRY_MILLISECONDS = 3_500;
const UPSTREAM_ID = 'upstream-1';

function createUpstream(id = UPSTREAM_ID): ProxyUpstream {
  return new ProxyUpstream({
    id,
    service: 'service',
    address: '10.0.0.1:80',
    failureDomain: 'near',
    softwareVersion: 'v1',
    state: UpstreamState.READY,
    slots: 4,
    startedAt: 1,
    models: [],
    modelsInMemory: [],
    modelsOnDisk: [],
  });
}

/** The fields of a request that the counts of the demand depend on. */
function createRequest(priority: number, model: string | undefined) {
  const modelRequest = model === undefined ? undefined : {model};
  const route = {priority};
  return {service: 'service', route, modelRequest} as RoutedRequest;
}

const FORMS = [
  {form: 'in one field', isUnderstood: true},
  {form: 'in fields that older builds understand', isUnderstood: false},
];

for (const {form, isUnderstood} of FORMS)
  describe(`load that a node publishes ${form}`, () => {
    let areActivitiesUnderstood: boolean;
    let upstreams: ProxyUpstream[];
    let upstream: ProxyUpstream;
    let table: MemberTable;
    let publisher: NodeStatusPublisher;
    let demand: DemandCounter;

    /** What a peer knows after an exchange. */
    function viewOfPeer(): ClusterView {
      const ownRecord = new OwnRecord('peer', EXPIRY_MILLISECONDS);
      const peerTable = new MemberTable(ownRecord, EXPIRY_MILLISECONDS);
      peerTable.merge(table.deltasSince(peerTable.sequences()));
      return new ClusterView(peerTable);
    }

    const readByPeer = (entry: string) => viewOfPeer().peerDemands().get(entry);
    const loadByPeer = () => viewOfPeer().peerRequestsInFlight(UPSTREAM_ID);

    beforeEach(() => {
      demand = new DemandCounter();
      areActivitiesUnderstood = isUnderstood;
      upstream = createUpstream();
      upstream.ownInFlight = 3;
      upstreams = [upstream];
      const ownRecord = new OwnRecord('node', EXPIRY_MILLISECONDS);
      table = new MemberTable(ownRecord, EXPIRY_MILLISECONDS);
      publisher = new NodeStatusPublisher(
        table,
        {name: 'node', peerUrl: '', region: '', failureDomain: 'near'},
        {all: () => upstreams},
        demand,
        new PoisonRequestDetector(
          1_000,
          {crashes: () => 0, runsOtherSuspects: () => false},
          3,
        ),
        () => 1,
        () => 0,
        () => [],
        () => areActivitiesUnderstood,
      );
    });

    it('counts requests at an upstream that it reaches', () => {
      publisher.publish();
      expect(loadByPeer()).to.equal(3);
      expect(viewOfPeer().requestsInFlightAt('node')).to.equal(3);
      expect(viewOfPeer().peerRequestsInFlight(UPSTREAM_ID, 'near')).to.equal(
        3,
      );
      expect(viewOfPeer().peerRequestsInFlight(UPSTREAM_ID, 'far')).to.equal(0);
    });

    it('uses fields that all nodes understand', () => {
      publisher.publish();
      const {ownRecord} = table;
      const load = ownRecord.get(`load/${UPSTREAM_ID}`);
      const ofLoad = load?.case === 'load' ? load.value.inFlight : undefined;
      expect(ofLoad).to.equal(isUnderstood ? undefined : 3);
      const hasActivity = ownRecord.get('activity')?.case === 'activity';
      expect(hasActivity).to.equal(isUnderstood);
    });

    it('counts none at an upstream that it has lost, until it is back', () => {
      upstream.reachability.recordNoPath(performance.now());
      publisher.publish();
      expect(loadByPeer()).to.equal(0);
      upstream.reachability.recordAnswer(performance.now() + 1);
      publisher.publish();
      expect(loadByPeer()).to.equal(3);
    });

    it('counts none any more once they have ended', () => {
      publisher.publish();
      upstream.ownInFlight = 0;
      publisher.publish();
      expect(loadByPeer()).to.equal(0);
    });

    it('counts each request once as the form changes', () => {
      publisher.publish();
      areActivitiesUnderstood = !isUnderstood;
      publisher.publish();
      expect(loadByPeer()).to.equal(3);
    });

    it('tells peers what is queued for a model, by priority, until it is not', () => {
      demand.recordQueued(createRequest(2, 'm'));
      demand.recordQueued(createRequest(0, 'm'));
      demand.recordQueued(createRequest(2, 'm'));
      demand.recordSlotTaken(createRequest(2, 'm'));
      publisher.publish();
      expect(readByPeer('service/m')?.queuedByPriority).to.deep.equal([
        1, 0, 1,
      ]);
      demand.recordSlotTaken(createRequest(0, 'm'));
      demand.recordEnded(createRequest(2, 'm'), false);
      publisher.publish();
      expect(readByPeer('service/m')?.queuedByPriority).to.deep.equal([]);
    });

    it('tells peers what is queued for a plain service, and nothing without', () => {
      demand.recordQueued(createRequest(1, undefined));
      publisher.publish();
      const published = readByPeer('service/');
      expect(published?.queuedByPriority).to.deep.equal([0, 1]);
      expect(published?.inFlight).to.equal(0);
      demand.recordSlotTaken(createRequest(1, undefined));
      publisher.publish();
      expect(readByPeer('service/')).to.equal(undefined);
    });
  });
