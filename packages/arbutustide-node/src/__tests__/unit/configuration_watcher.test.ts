import type {StoredObject} from '@arbutustide/object-store';
import type {ServingConfiguration} from '@arbutustide/routing';

import type {ProxyDependencies} from '../../proxy/proxy_dependencies.js';

import {silentLogger} from '@arbutustide/telemetry';
import {expect} from 'chai';
import {Err, Ok} from 'ts-results';

import {ConfigurationWatcher} from '../../proxy/configuration_watcher.js';

const LIMITS = {
  headerBytes: 1,
  bodyBytes: 1,
  headerTimeoutMilliseconds: 1,
  idleTimeoutMilliseconds: 1,
};

/** A stored object; one without a version cannot be decoded. */
function createStoredObject(
  revision: number,
  version: number | undefined,
): StoredObject {
  return {key: 'configuration', version: revision, value: version};
}

// Guards against a rollback or loss of the configuration: a watch or a peer may
// deliver an older object after a newer one, or one that cannot be decoded.
describe('ConfigurationWatcher', () => {
  let watcher: ConfigurationWatcher;
  let appliedVersions: number[];

  beforeEach(() => {
    const dependencies: Pick<ProxyDependencies, 'logger' | 'configuration'> = {
      logger: silentLogger(),
      configuration: {
        prefix: 'configuration',
        redact: value => ({redacted: value}),
        decode: value => {
          if (typeof value !== 'number') return Err(new Error('not usable'));
          const configuration: ServingConfiguration = {
            version: value,
            routes: [],
            services: new Map(),
            limits: LIMITS,
            teams: undefined,
          };
          return Ok(configuration);
        },
      },
    };
    watcher = new ConfigurationWatcher(dependencies as ProxyDependencies);
    appliedVersions = [];
    watcher.onConfiguration(({version}) => appliedVersions.push(version));
  });

  it('never replaces a version by an older one, in any order', () => {
    watcher.applyObject(createStoredObject(5, 3));
    watcher.applyObject(createStoredObject(4, 2));
    watcher.applyObject(createStoredObject(9, 3));
    watcher.applyObject(createStoredObject(10, 7));
    expect(appliedVersions).to.eql([3, 7]);
    expect(watcher.routes?.configuration.version).to.equal(7);
  });

  it('keeps the configuration when a later object cannot be decoded', () => {
    watcher.applyObject(createStoredObject(5, 3));
    watcher.applyObject(createStoredObject(6, undefined));
    expect(watcher.routes?.configuration.version).to.equal(3);
    expect(watcher.storedObject?.version).to.equal(5);
  });

  // Guards against keys in clear text in what peers are given.
  it('offers peers only what may pass between nodes', () => {
    watcher.applyObject(createStoredObject(5, 3));
    expect(watcher.storedObject?.value).to.deep.equal({redacted: 3});
  });
});
