import type {StreamOrigin} from '@arbutustide/routing';
import type {Result} from 'ts-results';

/** The versions at which streams of a service may have begun. */
export interface ServiceVersions {
  readonly service: string;
  readonly softwareVersions: readonly string[];
}

/** Streams with the same origin, as one object of the archive holds them. */
export interface ArchivedOrigins extends StreamOrigin {
  /** Digests of the requests that began them, one after another. */
  readonly digests: string;
}

/** Location of streams' origins in the object store, and their codecs. */
export interface StreamOriginStorage {
  /** Prefix of the histories of services' versions, one object a service. */
  readonly historyPrefix: string;
  readonly encodeHistory: (history: ServiceVersions) => unknown;
  readonly decodeHistory: (value: unknown) => Result<ServiceVersions, Error>;
  /** Prefix of the archive, a bounded number of objects. */
  readonly archivePrefix: string;
  readonly encodeArchive: (groups: readonly ArchivedOrigins[]) => unknown;
  readonly decodeArchive: (
    value: unknown,
  ) => Result<readonly ArchivedOrigins[], Error>;
}
