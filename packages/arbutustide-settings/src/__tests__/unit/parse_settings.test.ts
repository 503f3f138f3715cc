import {expect} from 'chai';

import {formatSettings, parseSettings} from '../../index.js';

/** Only the required keys. */
const MINIMAL_SETTINGS = `
[node]
name = "entry-1"
region = "island"
failure_domain = "north"
address = "127.0.0.1"
caller_port = 0
peer_port = 0
control_port = 0

[platform]
object_store_url = "http://127.0.0.1:1"
host_list_url = "http://127.0.0.1:2"
`;

function parseErrorMessage(text: string): string {
  const settings = parseSettings(text, 'entry.toml');
  return settings.ok ? '' : settings.val.message;
}

// A misspelled key that is ignored would leave a default in force unnoticed.
describe('parseSettings', () => {
  it('fills in defaults, which formatSettings prints', () => {
    const settings = parseSettings(MINIMAL_SETTINGS, 'entry.toml').unwrap();
    expect(settings.gossip.maximumPeers).to.equal(3);
    expect(formatSettings(settings)).to.contain('maximum_peers = 3');
  });

  it('reports the file, the unknown key and the nearest known key', () => {
    const text = `${MINIMAL_SETTINGS}\n[gossip]\nmaximum_peer = 4\n`;
    expect(parseErrorMessage(text)).to.equal(
      'entry.toml: gossip.maximum_peer: unknown key; ' +
        'the nearest known key is maximum_peers',
    );
  });

  it('reports the key, the value and the allowed range', () => {
    const text = `${MINIMAL_SETTINGS}\n[routing]\nsample_size = 99\n`;
    const problems = parseErrorMessage(text);
    expect(problems).to.contain('entry.toml: routing.sample_size = 99');
    expect(problems).to.contain('8');
  });

  it('reports the line and column of a syntax error', () => {
    expect(parseErrorMessage('[node\n')).to.match(
      /^entry.toml: line 1, column \d+/,
    );
  });
});
