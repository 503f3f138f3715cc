// Guards against bounds that do not fit the resources of a process.
import {expect} from 'chai';

import {
  boundCallerServer,
  boundStatusServer,
  createProcessBounds,
} from '../../bounds/process_bounds.js';
import {shareWhilePending} from '../../bounds/share_while_pending.js';

const MEBIBYTE = 1_024 * 1_024;

describe('bounds of a process', () => {
  const resources = {memoryBytes: 350 * MEBIBYTE, fileDescriptors: 4_200};
  const bounds = createProcessBounds(resources);

  it('leave descriptors to upstreams, peers and the store', () => {
    const {connections} = boundCallerServer(bounds);
    const status = boundStatusServer(bounds);
    expect(connections + 2 * status.connections).to.be.below(
      0.6 * resources.fileDescriptors,
    );
  });

  it('leave more than half of the memory', () => {
    const {requests} = boundCallerServer(bounds);
    const held = requests * 32 * 1_024 + bounds.bodyBytes + bounds.unreadBytes;
    expect(held).to.be.below(resources.memoryBytes / 2);
  });

  it('follow the resources', () => {
    const twice = createProcessBounds({
      memoryBytes: 2 * resources.memoryBytes,
      fileDescriptors: 2 * resources.fileDescriptors,
    });
    expect(twice.callerConnections).to.equal(2 * bounds.callerConnections);
    expect(twice.requests).to.be.closeTo(2 * bounds.requests, 1);
  });

  it('of a status server let all connections have all their requests', () => {
    const status = boundStatusServer(bounds);
    expect(status.requests).to.equal(
      status.connections * status.requestsPerConnection,
    );
  });
});

describe('shared calls', () => {
  it('are made one at a time', async () => {
    let callCount = 0;
    const share = shareWhilePending(async () => {
      callCount += 1;
      await Promise.resolve();
      return callCount;
    });
    expect(await Promise.all([share(), share(), share()])).to.eql([1, 1, 1]);
    expect(await share()).to.equal(2);
  });

  it('are made again after a failure', async () => {
    let callCount = 0;
    const share = shareWhilePending(() => {
      callCount += 1;
      return callCount === 1
        ? Promise.reject(new Error('first'))
        : Promise.resolve(callCount);
    });
    const failed = await share().catch(String);
    expect(failed).to.equal('Error: first');
    expect(await share()).to.equal(2);
  });
});
