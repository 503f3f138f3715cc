import type {ProcessCluster} from '../../processes/process_cluster.js';

import {once} from 'node:events';
import {connect} from 'node:net';

import {expect} from 'chai';
import OpenAI from 'openai';
import {fetch} from 'undici';

import {DEMO_CATALOGUE} from '../../demo_catalogue.js';
import {sendCompletion} from '../../processes/caller_client.js';
import {nodeInDomain, startDemoCluster} from '../../processes/demo_cluster.js';

const BODY_LIMIT_BYTES = 4_096;
const HEADER_TIMEOUT_MILLISECONDS = 1_500;

/** Body of a refusal. */
interface RefusalBody {
  readonly error: {
    readonly code: string;
    readonly message: string;
    readonly ran: string;
  };
}

/*
 * Guards the HTTP interface towards callers: that the OpenAI client library
 * works against it, and that a malformed, oversized or slow request gets an
 * error of its own and leaves the node serving.
 */
describe('callers over HTTP', () => {
  let cluster: ProcessCluster;
  let url: string;

  before(async () => {
    cluster = await startDemoCluster({
      overrides: {
        callers: {
          bodyLimitBytes: BODY_LIMIT_BYTES,
          headerTimeoutMilliseconds: HEADER_TIMEOUT_MILLISECONDS,
        },
      },
    });
    url = nodeInDomain(cluster, 'north').callerUrl;
  });

  after(() => cluster.stop());

  async function post(
    body: string,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<{readonly status: number; readonly refusal: RefusalBody}> {
    const response = await fetch(`${url}/v1/completions`, {
      method: 'POST',
      headers: {'content-type': 'application/json', ...headers},
      body,
    });
    const refusal = (await response.json()) as RefusalBody;
    return {status: response.status, refusal};
  }

  /** Sends text over a plain socket and returns all that is received. */
  async function sendRaw(text: string): Promise<string> {
    const {hostname, port} = new URL(url);
    const socket = connect(Number(port), hostname);
    const chunks: Buffer[] = [];
    socket.on('data', chunk => chunks.push(chunk));
    socket.on('error', () => {});
    socket.write(text);
    await once(socket, 'close');
    return Buffer.concat(chunks).toString('utf8');
  }

  describe('the openai client library', () => {
    const client = () =>
      new OpenAI({baseURL: `${url}/v1`, apiKey: 'unused', maxRetries: 0});
    const question = [{role: 'user' as const, content: 'Summarise batch 9.'}];

    it('gets a complete answer', async () => {
      const answer = await client().chat.completions.create({
        model: 'certificate-writer',
        messages: question,
        max_tokens: 4,
      });
      expect(answer.choices[0]?.message.content).to.match(/^\[\w+\] t1 t2 t3$/);
    });

    it('gets a streamed answer', async () => {
      const stream = await client().chat.completions.create({
        model: 'certificate-marine',
        messages: question,
        max_tokens: 4,
        stream: true,
      });
      let text = '';
      for await (const chunk of stream) {
        text += chunk.choices[0]?.delta.content ?? '';
      }
      expect(text).to.match(/^\[\w+\] t1 t2 t3$/);
    });

    it('lists models', async () => {
      const names: string[] = [];
      for await (const {id} of client().models.list()) names.push(id);
      expect(names).to.include.members([
        'certificate-writer',
        'findings-french',
      ]);
      expect(names).to.not.include('release');
    });

    it('maps a refusal to its own error class', async () => {
      let caught: unknown;
      await client()
        .chat.completions.create({model: 'no-such', messages: question})
        .catch(error => (caught = error));
      expect(caught).to.be.instanceOf(OpenAI.NotFoundError);
      expect((caught as {code: string}).code).to.equal('unknown_entry');
    });
  });

  describe('a bad request gets a specific error', () => {
    it('for an unknown model', async () => {
      const {status, refusal} = await post('{"model":"no-such"}');
      expect(status).to.equal(404);
      expect(refusal.error.code).to.equal('unknown_entry');
      expect(refusal.error.ran).to.equal('no');
    });

    it('for malformed JSON', async () => {
      const {status, refusal} = await post('{"model":');
      expect(status).to.equal(400);
      expect(refusal.error.message).to.contain('not JSON');
    });

    it('for an unsupported content type', async () => {
      const {status, refusal} = await post('x', {'content-type': 'text/plain'});
      expect(status).to.equal(415);
      expect(refusal.error.message).to.contain('text/plain');
    });

    it('for a body over the limit', async () => {
      const long = JSON.stringify({model: 'x'.repeat(BODY_LIMIT_BYTES)});
      const {status, refusal} = await post(long);
      expect(status).to.equal(413);
      expect(refusal.error.message).to.contain(String(BODY_LIMIT_BYTES));
    });

    it('for a chunked body over the limit', async () => {
      const chunk = 'a'.repeat(BODY_LIMIT_BYTES);
      const size = BODY_LIMIT_BYTES.toString(16);
      const answer = await sendRaw(
        'POST /v1/completions HTTP/1.1\r\nhost: x\r\n' +
          'content-type: application/json\r\n' +
          'transfer-encoding: chunked\r\n\r\n' +
          `${size}\r\n${chunk}\r\n${size}\r\n${chunk}\r\n0\r\n\r\n`,
      );
      expect(answer).to.match(/^HTTP\/1.1 413 /);
    });

    it('for headers over the size limit', async () => {
      const answer = await sendRaw(
        `GET /v1/models HTTP/1.1\r\nhost: x\r\nx-long: ${'a'.repeat(20_000)}\r\n\r\n`,
      );
      expect(answer).to.match(/^HTTP\/1.1 431 /);
      expect(answer).to.contain('headers_too_large');
    });

    it('for headers that do not end in time', async () => {
      const answer = await sendRaw('GET /v1/models HTTP/1.1\r\nhost: x\r\n');
      expect(answer).to.match(/^HTTP\/1.1 408 /);
      expect(answer).to.contain('request_timeout');
    });

    it('for a release without an idempotency key', async () => {
      const response = await fetch(`${url}/services/release/batches`, {
        method: 'POST',
        body: '{}',
      });
      const refusal = (await response.json()) as RefusalBody;
      expect(response.status).to.equal(400);
      expect(refusal.error.code).to.equal('idempotency_key_required');
    });

    it('for a path that is not served', async () => {
      const response = await fetch(`${url}/v2/unknown`);
      const refusal = (await response.json()) as RefusalBody;
      expect(response.status).to.equal(404);
      expect(refusal.error.code).to.equal('unknown_route');
    });

    it('and the node keeps serving', async () => {
      const node = nodeInDomain(cluster, 'north');
      const answer = await sendCompletion(node, {
        model: 'certificate-writer',
        prompt: 'still there?',
      });
      expect(answer.status).to.equal(200);
    });
  });

  it('echoes the request id and refuses a request that cannot meet its deadline', async () => {
    const {status, refusal} = await post(
      '{"model":"certificate-writer","prompt":"x"}',
      {'x-deadline-milliseconds': '1', 'x-request-id': 'mine-1'},
    );
    expect(status).to.be.oneOf([503, 504]);
    expect(refusal.error).to.have.property('request_id', 'mine-1');
  });

  it('reports an unknown key in a catalogue and applies none of its changes', async () => {
    const wrong = DEMO_CATALOGUE.replace(
      'base = "findings-summary"',
      'bse = 1',
    );
    const file = cluster.writeFile('wrong.toml', wrong);
    const {output, exitCode} = await cluster.runCommand(
      ...['catalogue', 'apply', file, '--base', '1'],
    );
    expect(exitCode).to.equal(3);
    expect(output).to.contain('entries[4].bse: unknown key');
    expect(output).to.contain('the nearest known key is base');
    const history = await cluster.runCommand('catalogue', 'history');
    expect(history.output.split('\n')).to.have.length(2);
  });

  it('serves an entry that was added to the catalogue on every node', async () => {
    const added = `${DEMO_CATALOGUE}
[[entries]]
name = "certificate-wood"
kind = "adapter"
base = "certificate-writer"
owner = "quality"
class = "interactive"
memory_bytes = 200000000
`;
    await cluster.applyCatalogue(`base_revision = 1\n${added}`);
    await cluster.waitUntil(
      'the added adapter answers on every node',
      async () => {
        const answers = await Promise.all(
          [...cluster.nodes.values()].map(node =>
            sendCompletion(node, {model: 'certificate-wood', prompt: 'x'}),
          ),
        );
        return answers.every(({status}) => status === 200);
      },
    );
  });
});
