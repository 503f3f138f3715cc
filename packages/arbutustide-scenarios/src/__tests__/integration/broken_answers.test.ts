/**
 * Guards against an answer that breaks off in its head or its body and is taken
 * for a whole one, on each path of the own interface that reads answers.
 */
import type {AnswerContent, BreakableClient} from '@arbutustide/stand-ins';
import type {AnswerBody, AttemptRequest} from '@arbutustide/upstream';

import {HttpObjectStore} from '@arbutustide/object-store';
import {findAnswersTakenForWhole} from '@arbutustide/stand-ins';
import {
  ATTEMPT_ID_HEADER,
  HttpEngine,
  HttpHostList,
  HttpPlainService,
  HostKind,
  HostState,
} from '@arbutustide/upstream';
import {expect} from 'chai';

const TIMEOUT_MILLISECONDS = 5_000;
/** For paths that share their reader with one that is tried at each byte. */
const STRIDE = 7;
const ATTEMPT_ID_PATTERN = new RegExp(`${ATTEMPT_ID_HEADER}: (\\S+)`, 'i');

/** Answers to attempts, which name the attempt. */
const ATTEMPT_CONTENT: AnswerContent = {
  headers: head => [
    `X-Attempt-Id: ${ATTEMPT_ID_PATTERN.exec(head)?.[1] ?? 'attempt-00000'}`,
  ],
  body: number => `answer ${String(number).padStart(5, '0')}`,
};

const HOST = {
  id: 'engine',
  kind: HostKind.ENGINE,
  url: 'http://127.0.0.1:1',
  region: 'region',
  failureDomain: 'north',
  state: HostState.LIVE,
  checksFencing: false,
};

const HOSTS_CONTENT: AnswerContent = {
  showsItsEnd: true,
  headers: () => [],
  body: number =>
    JSON.stringify({hosts: [{...HOST, id: String(number).padStart(5, '0')}]}),
};

const OBJECT_CONTENT: AnswerContent = {
  showsItsEnd: true,
  headers: () => [],
  body: number =>
    JSON.stringify({
      key: 'key',
      version: 1,
      value: String(number).padStart(5, '0'),
    }),
};

let attemptCount = 0;

function createAttempt(): AttemptRequest {
  attemptCount += 1;
  return {
    attemptId: `attempt-${String(attemptCount).padStart(5, '0')}`,
    requestId: 'request',
    method: 'POST',
    path: '/v1/completions',
    contentType: 'application/json',
    body: Buffer.from('{}'),
    priority: 1,
    inactivityTimeoutMilliseconds: TIMEOUT_MILLISECONDS,
    signal: new AbortController().signal,
  };
}

function options(address: string) {
  return {
    url: `http://${address}`,
    maximumConnections: 1,
    connectTimeoutMilliseconds: TIMEOUT_MILLISECONDS,
    callTimeoutMilliseconds: TIMEOUT_MILLISECONDS,
  };
}

async function readAnswer(body: AnswerBody) {
  let text = '';
  for (;;) {
    const chunk = await body.readChunk();
    if (!chunk.ok) return {isWhole: false, body: text};
    if (chunk.val === undefined) return {isWhole: true, body: text};
    text += Buffer.from(chunk.val).toString();
  }
}

type AttemptClient = Pick<HttpEngine, 'sendAttempt' | 'close'>;

function attemptsOf(client: AttemptClient): BreakableClient {
  return {
    close: () => client.close(),
    send: async () => {
      const answer = await client.sendAttempt(createAttempt());
      return answer.ok
        ? readAnswer(answer.val.body)
        : {isWhole: false, body: ''};
    },
  };
}

describe('answers that break off', function () {
  this.timeout(120_000);

  it('of an engine', async () => {
    const problems = await findAnswersTakenForWhole(
      address => attemptsOf(new HttpEngine(options(address))),
      ATTEMPT_CONTENT,
    );
    expect(problems).to.deep.equal([]);
  });

  it('of an engine whose stream is resumed', async () => {
    const problems = await findAnswersTakenForWhole(
      address => {
        const engine = new HttpEngine(options(address));
        return attemptsOf({
          sendAttempt: request => engine.resumeStream(request, '3'),
          close: () => engine.close(),
        });
      },
      ATTEMPT_CONTENT,
      STRIDE,
    );
    expect(problems).to.deep.equal([]);
  });

  it('of a plain service', async () => {
    const problems = await findAnswersTakenForWhole(
      address => attemptsOf(new HttpPlainService(options(address))),
      ATTEMPT_CONTENT,
      STRIDE,
    );
    expect(problems).to.deep.equal([]);
  });

  it('of the host list', async () => {
    const problems = await findAnswersTakenForWhole(
      address => {
        const hostList = new HttpHostList(options(address));
        return {
          close: () => hostList.close(),
          send: async () => {
            const hosts = await hostList.fetchHosts();
            return hosts.ok
              ? {isWhole: true, body: JSON.stringify({hosts: hosts.val})}
              : {isWhole: false, body: ''};
          },
        };
      },
      HOSTS_CONTENT,
      STRIDE,
    );
    expect(problems).to.deep.equal([]);
  });

  for (const call of ['get', 'create'] as const) {
    it(`of the object store, to "${call}"`, async () => {
      const problems = await findAnswersTakenForWhole(
        address => {
          const store = new HttpObjectStore({
            url: `http://${address}`,
            timeoutMilliseconds: TIMEOUT_MILLISECONDS,
            watchMilliseconds: TIMEOUT_MILLISECONDS,
          });
          return {
            close: () => store.close(),
            send: async () => {
              const object = await store[call]('key', {});
              return object.ok
                ? {isWhole: true, body: JSON.stringify(object.val)}
                : {isWhole: false, body: ''};
            },
          };
        },
        OBJECT_CONTENT,
        STRIDE,
      );
      expect(problems).to.deep.equal([]);
    });
  }

  it('of the object store, to a deletion, which the head alone confirms', async () => {
    const problems = await findAnswersTakenForWhole(
      address => {
        const store = new HttpObjectStore({
          url: `http://${address}`,
          timeoutMilliseconds: TIMEOUT_MILLISECONDS,
          watchMilliseconds: TIMEOUT_MILLISECONDS,
        });
        return {
          close: () => store.close(),
          send: async () => {
            const deleted = await store.delete('key', 1);
            return {isWhole: deleted.ok, body: ''};
          },
        };
      },
      {headers: () => [], body: () => '', showsItsEnd: true},
      STRIDE,
    );
    expect(problems).to.deep.equal([]);
  });
});
