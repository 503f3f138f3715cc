import type {
  ClusterNode,
  FindStreamOriginRequest,
  FindStreamOriginResponse,
  PeerTransport,
} from '@arbutustide/membership';
import type {StreamOrigin} from '@arbutustide/routing';
import type {NodeLogger} from '@arbutustide/telemetry';

import {FindStreamOriginRequestSchema} from '@arbutustide/membership';
import {create} from '@bufbuild/protobuf';

import {
  ASKED_KEEPERS,
  CONFIRMING_PEERS,
  chooseOriginKeepers,
} from './choose_origin_keepers.js';
import {inOrderOfResolution} from './in_order_of_resolution.js';

/** A search for the origin of one stream. */
export interface OriginSearch {
  readonly service: string;
  readonly requestId: string;
  /** Whether the store has confirmed the list since the search began. */
  readonly isListConfirmed: boolean;
  readonly beganAtMilliseconds: number;
  readonly endAtMilliseconds: number;
}

/** What peers have answered. */
export interface PeerAnswers {
  readonly origin?: StreamOrigin;
  readonly recentVersions: ReadonlySet<string>;
  /** Whether a peer knows all versions that the stream may have begun at. */
  readonly isConfirmed: boolean;
  readonly haveKeepersAnswered: boolean;
}

/** Stands for peers that are not waited for any longer. */
export const NO_ANSWERS: PeerAnswers = {
  recentVersions: new Set(),
  isConfirmed: false,
  haveKeepersAnswered: false,
};

/** Where peers are found and how they are called. */
export interface OriginPeersOptions {
  readonly ownUrl: string;
  readonly listNodes: () => readonly ClusterNode[];
  readonly transport: PeerTransport;
  readonly logger: NodeLogger;
}

/** Asks other nodes where streams began. */
export class OriginPeers {
  constructor(private readonly options: OriginPeersOptions) {}

  /**
   * Asks the keepers at the same time; the first that knows the stream decides.
   * Further peers are asked while the store does not answer this node: one that
   * it answers can tell of versions that this node has not read of.
   */
  async ask({
    service,
    requestId,
    isListConfirmed,
  }: OriginSearch): Promise<PeerAnswers> {
    const {listNodes, ownUrl} = this.options;
    const chosen = chooseOriginKeepers(
      listNodes(),
      requestId,
      isListConfirmed ? ASKED_KEEPERS : CONFIRMING_PEERS,
    );
    const isOther = ({peerUrl}: ClusterNode) => peerUrl !== ownUrl;
    const keepers = new Set(chosen.slice(0, ASKED_KEEPERS).filter(isOther));
    // Without peers, nobody tells what this node has not seen.
    const hasKeepers = keepers.size > 0;
    const request = create(FindStreamOriginRequestSchema, {
      requestId,
      service,
      needsConfirmation: !isListConfirmed,
    });
    const calls = chosen.filter(isOther).map(async peer => ({
      peer,
      response: await this.call(peer.peerUrl, request),
    }));
    const recentVersions = new Set<string>();
    let isConfirmed = false;
    const answersSoFar = (): PeerAnswers => ({
      recentVersions,
      isConfirmed,
      haveKeepersAnswered: hasKeepers && keepers.size === 0,
    });
    for await (const {peer, response} of inOrderOfResolution(calls)) {
      if (!response) continue;
      keepers.delete(peer);
      for (const version of response.recentVersions)
        recentVersions.add(version);
      isConfirmed ||= response.isConfirmed;
      if (response.isKnown) {
        const {service: begunAt, softwareVersion} = response;
        return {...answersSoFar(), origin: {service: begunAt, softwareVersion}};
      }
      if (isConfirmed && recentVersions.size <= 1) break;
    }
    return answersSoFar();
  }

  private async call(
    peerUrl: string,
    request: FindStreamOriginRequest,
  ): Promise<FindStreamOriginResponse | undefined> {
    const response = await this.options.transport.findStreamOrigin(
      peerUrl,
      request,
    );
    if (response.ok) return response.val;
    this.options.logger.info(
      {peerUrl, requestId: request.requestId, reason: response.val.message},
      'a peer did not say where a stream began',
    );
    return undefined;
  }
}
