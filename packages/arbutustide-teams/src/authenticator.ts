import type {
  Route,
  RequestTeam,
  ServingConfiguration,
} from '@arbutustide/routing';
import type {Result} from 'ts-results';

import type {KeyTableCache} from './key_table.js';

import {ErrorKind, RefusalError} from '@arbutustide/errors';
import {Err, Ok} from 'ts-results';

import {digestKey} from './key_table.js';

/** Tells whether this node may decide about keys now. */
export interface FreshnessCheck {
  /** The refusal of a request with a key; undefined if keys may be judged. */
  refuseIfUnconfirmed(): RefusalError | undefined;
}

/** The part of a configuration that one request is authenticated by. */
export type AuthenticationTerms = Pick<Route, 'isPublic'>;

/** Finds the teams of requests by the keys that they carry. */
export class Authenticator {
  constructor(
    private readonly keyTables: KeyTableCache,
    private readonly freshness: FreshnessCheck,
    /** Called with each refusal, whose request goes no further. */
    private readonly onRefusal: (refusal: RefusalError) => void = () => {},
  ) {}

  /**
   * Finds the team of a request; undefined if it needs no key. A missing, an
   * unknown and an ambiguous key get the same refusal, so that a caller learns
   * nothing about keys.
   *
   * @param configuration the one that the route was taken from.
   * @param listKeys lists the values of the request's key headers, as Node.js
   *     reports them; called only if a key is needed.
   */
  authenticate(
    configuration: ServingConfiguration,
    route: AuthenticationTerms,
    listKeys: () => readonly string[],
  ): Result<RequestTeam | undefined, RefusalError> {
    const team = this.findTeam(configuration, route, listKeys);
    if (!team.ok) this.onRefusal(team.val);
    return team;
  }

  /**
   * Finds the team of a request that is not let through by this. A refusal is
   * not reported; `authenticate` will do so.
   */
  identify(
    configuration: ServingConfiguration,
    route: AuthenticationTerms,
    listKeys: () => readonly string[],
  ): RequestTeam | undefined {
    const team = this.findTeam(configuration, route, listKeys);
    return team.ok ? team.val : undefined;
  }

  private findTeam(
    configuration: ServingConfiguration,
    route: AuthenticationTerms,
    listKeys: () => readonly string[],
  ): Result<RequestTeam | undefined, RefusalError> {
    const table = this.keyTables.tableOf(configuration);
    if (!table || route.isPublic) return Ok(undefined);
    // A newer configuration may contain a key that is unknown here.
    const unconfirmed = this.freshness.refuseIfUnconfirmed();
    if (unconfirmed) return Err(unconfirmed);
    const keys = listKeys();
    if (keys.length !== 1) return Err(createKeyRefusal());
    const keyDigest = digestKey(keys[0], 'latin1');
    const team = table.findTeam(keyDigest);
    if (!team) return Err(createKeyRefusal());
    const {name, priority} = team;
    return Ok({name, priority, keyDigest});
  }
}

/** Refuses a request without a key that is in force. */
export function createKeyRefusal(): RefusalError {
  return new RefusalError(
    ErrorKind.UNAUTHENTICATED,
    'this route requires exactly one valid key',
  );
}
