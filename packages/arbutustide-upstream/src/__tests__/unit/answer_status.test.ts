/** Guards against statuses that do not exist and are passed on as answers. */
import type {AddressInfo, Server} from 'node:net';

import {once} from 'node:events';
import {createServer} from 'node:net';

import {expect} from 'chai';

import {StatusLineCheck} from '../../answer_status.js';
import {AttemptFailure} from '../../attempt_error.js';
import {HttpPlainService} from '../../http_plain_service.js';

const INVALID_STATUSES = '000 001 099 20 -20 2x0 600 999 1000'.split(' ');
const VALID_STATUSES = '100 200 204 404 599'.split(' ');
const TIMEOUT_MILLISECONDS = 1_000;
const BODY = '{"serviceStart":"1","inFlight":0,"isLeaving":false}';

describe('status of an answer', () => {
  let server: Server;
  let service: HttpPlainService;
  let status: string;

  beforeEach(async () => {
    server = createServer(socket => {
      socket.on('error', () => {});
      socket.on('data', () =>
        socket.write(
          `HTTP/1.1 ${status} Text\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`,
        ),
      );
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    service = new HttpPlainService({
      url: `http://127.0.0.1:${port}`,
      maximumConnections: 1,
      connectTimeoutMilliseconds: TIMEOUT_MILLISECONDS,
      callTimeoutMilliseconds: TIMEOUT_MILLISECONDS,
    });
  });

  afterEach(async () => {
    await service.close();
    server.close();
  });

  const sendAttempt = () =>
    service.sendAttempt({
      attemptId: 'attempt',
      requestId: 'request',
      method: 'GET',
      path: '/',
      contentType: undefined,
      body: undefined,
      signal: new AbortController().signal,
      priority: 0,
      inactivityTimeoutMilliseconds: TIMEOUT_MILLISECONDS,
    });

  for (const invalid of INVALID_STATUSES) {
    it(`is no answer to an attempt if it is ${invalid}`, async () => {
      status = invalid;
      const {ok, val} = await sendAttempt();
      expect(ok).to.equal(false);
      expect(val).to.include({failure: AttemptFailure.PROTOCOL_VIOLATION});
      expect(String(val)).to.include('no valid status');
      expect(String(val)).to.include(invalid);
    });
  }

  it('is no answer to an attempt if HTTP parsers pass it on', async () => {
    status = '600';
    const {val} = await sendAttempt();
    expect(val).to.include({failure: AttemptFailure.PROTOCOL_VIOLATION});
  });

  it('ends the connection if it does not exist', async () => {
    status = '000';
    await sendAttempt();
    status = '200';
    expect((await sendAttempt()).ok).to.equal(true);
  });

  it('is no answer to a short call if it does not exist', async () => {
    status = '200';
    expect((await service.fetchReport()).ok).to.equal(true);
    status = '600';
    const {val} = await service.fetchReport();
    expect(val).to.include({failure: AttemptFailure.PROTOCOL_VIOLATION});
  });

  it('is found once in a head that comes byte by byte', () => {
    const check = new StatusLineCheck();
    const problems = [...'HTTP/1.1 000 OK\r\n']
      .map(character => check.push(Buffer.from(character)))
      .filter(problem => problem !== undefined);
    expect(problems).to.have.lengthOf(1);
  });

  it('may follow an empty line', () => {
    const bytes = Buffer.from('\r\nHTTP/1.1 200 OK\r\n');
    expect(new StatusLineCheck().push(bytes)).to.equal(undefined);
    const invalid = Buffer.from('\r\nHTTP/1.1 000 OK\r\n');
    expect(new StatusLineCheck().push(invalid)).to.include('no valid status');
  });

  for (const valid of VALID_STATUSES) {
    it(`may be ${valid}`, () => {
      const bytes = Buffer.from(`HTTP/1.1 ${valid}\r\nA: b\r\n`);
      expect(new StatusLineCheck().push(bytes)).to.equal(undefined);
    });
  }
});
