import type {ServingConfiguration, TeamDescription} from '@arbutustide/routing';

import {createHash} from 'node:crypto';

const DIGEST_ALGORITHM = 'sha256';
const DIGEST_ENCODING = 'hex';

/**
 * Digest of a key.
 *
 * @param encoding how the text represents the key's bytes: `latin1` for header
 *     values as Node.js reports them, `utf8` for texts of a configuration.
 */
export function digestKey(key: string, encoding: 'latin1' | 'utf8'): Buffer {
  return createHash(DIGEST_ALGORITHM).update(key, encoding).digest();
}

/** The digest as text, as configurations that pass between nodes hold it. */
export function encodeKeyDigest(digest: Uint8Array): string {
  return Buffer.from(digest).toString(DIGEST_ENCODING);
}

/**
 * The teams of one configuration by key. Keys are looked up by digest, so that
 * the time of a look-up tells nothing about the keys.
 */
export class KeyTable {
  private readonly teamsByDigest = new Map<string, TeamDescription>();

  constructor(teams: readonly TeamDescription[]) {
    for (const team of teams) {
      for (const key of team.apiKeys)
        this.teamsByDigest.set(encodeKeyDigest(digestKey(key, 'utf8')), team);
      for (const digest of team.keyDigests ?? [])
        this.teamsByDigest.set(digest, team);
    }
  }

  /** Finds the team that a key belongs to, by the key's digest. */
  findTeam(keyDigest: Uint8Array): TeamDescription | undefined {
    return this.teamsByDigest.get(encodeKeyDigest(keyDigest));
  }
}

/** Key tables of configurations, each created when it is first used. */
export class KeyTableCache {
  private readonly tables = new WeakMap<ServingConfiguration, KeyTable>();

  /** The key table of a configuration; undefined if it has no teams. */
  tableOf(configuration: ServingConfiguration): KeyTable | undefined {
    if (!configuration.teams) return undefined;
    const existing = this.tables.get(configuration);
    if (existing) return existing;
    const table = new KeyTable(configuration.teams);
    this.tables.set(configuration, table);
    return table;
  }
}
