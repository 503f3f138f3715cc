import type {ErrorKind as Kind} from '@arbutustide/errors';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

import type {BodyLimits, BodyResult} from './arriving_body.js';
import type {BodyMemory, BodyRoom} from './body_memory.js';
import type {BoundRecorder} from './bound_recorder.js';

import {ErrorKind} from '@arbutustide/errors';
import {Err} from 'ts-results';

import {ArrivingBody, createTooLongRefusal} from './arriving_body.js';
import {BoundName, ServerName} from './bound_recorder.js';

const CONTINUE_EXPECTATION = /(?:^|\W)100-continue(?:$|\W)/i;

/** The bound that a refusal of a body stands for. */
const BOUND_BY_KIND: Readonly<Partial<Record<Kind, BoundName>>> = {
  [ErrorKind.BODY_TOO_LARGE]: BoundName.BODY_LENGTH,
  [ErrorKind.QUEUE_FULL]: BoundName.BODY_BYTES,
  [ErrorKind.REQUEST_TIMEOUT]: BoundName.BODY_TIMEOUT,
};

/**
 * Reads request bodies of a server for callers within their limits and within
 * the memory for all bodies. A body holds its room until its request has been
 * answered or its connection has closed, because it may be sent again until
 * then.
 */
export class BodyReader {
  private readonly roomsBySocket = new WeakMap<Socket, Set<BodyRoom>>();

  constructor(
    server: Server,
    private readonly memory: BodyMemory,
    private readonly recorder: Pick<BoundRecorder, 'record'>,
  ) {
    // Without a listener the server asks for a body before its length is known.
    server.on('checkContinue', (message, response) =>
      server.emit('request', message, response),
    );
  }

  /**
   * Reads the body of a request. When a limit is exceeded, the connection stays
   * open so that the refusal can be sent to the caller.
   *
   * @return the body, or a refusal: `BODY_TOO_LARGE`, `REQUEST_TIMEOUT`,
   *     `QUEUE_FULL` if there is no memory for it, or `BAD_REQUEST` if the
   *     connection closed.
   */
  async read(
    message: IncomingMessage,
    response: ServerResponse,
    limits: BodyLimits,
  ): Promise<BodyResult> {
    const result = await this.readWithinLimits(message, response, limits);
    const bound = result.err && BOUND_BY_KIND[result.val.kind];
    if (bound) this.recorder.record(ServerName.CALLERS, bound);
    return result;
  }

  private readWithinLimits(
    message: IncomingMessage,
    response: ServerResponse,
    limits: BodyLimits,
  ): Promise<BodyResult> {
    const {lengthBytes} = limits;
    if (Number(message.headers['content-length'] ?? 0) > lengthBytes)
      return Promise.resolve(Err(createTooLongRefusal(lengthBytes)));
    if (isContinueExpected(message)) response.writeContinue();
    return new Promise(resolve => {
      const body = new ArrivingBody(
        message,
        response,
        limits,
        this.memory,
        result => {
          if (result.ok && result.val.length > 0)
            this.holdUntilAnswered(body.room, message.socket, response);
          resolve(result);
        },
      );
    });
  }

  /** The close of a connection does not close the answers that wait in it. */
  private holdUntilAnswered(
    room: BodyRoom,
    socket: Socket,
    response: ServerResponse,
  ): void {
    if (socket.destroyed) {
      room.release();
      return;
    }
    const rooms = this.roomsBySocket.get(socket) ?? this.watchSocket(socket);
    rooms.add(room);
    response.once('close', () => {
      rooms.delete(room);
      room.release();
    });
  }

  private watchSocket(socket: Socket): Set<BodyRoom> {
    const rooms = new Set<BodyRoom>();
    this.roomsBySocket.set(socket, rooms);
    socket.once('close', () => {
      for (const room of rooms) room.release();
    });
    return rooms;
  }
}

function isContinueExpected({headers, httpVersion}: IncomingMessage): boolean {
  const {expect = ''} = headers;
  return httpVersion === '1.1' && CONTINUE_EXPECTATION.test(expect);
}
