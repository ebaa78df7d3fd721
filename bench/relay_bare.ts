/** Program of a minimal relay without scheduling: one p-queue between an HTTP server and an HTTP client. */
import {Agent, createServer, request as sendRequest} from 'node:http';
import type {AddressInfo} from 'node:net';
import PQueue from 'p-queue';

const [host, port] = process.argv[2]!.split(':');
const agent = new Agent({keepAlive: true, scheduling: 'lifo'});
const queue = new PQueue({concurrency: 64});

const server = createServer((request, response) => {
  const chunks: Buffer[] = [];
  request.on('data', (chunk: Buffer) => chunks.push(chunk));
  request.on('end', () => {
    const body = Buffer.concat(chunks);
    void queue.add(
      () =>
        new Promise<void>(resolve => {
          const call = sendRequest({
            host,
            port,
            path: request.url,
            method: request.method,
            headers: {'content-length': body.length},
            agent,
          });
          call.on('response', answer => {
            response.writeHead(answer.statusCode!, answer.headers);
            answer.pipe(response);
            answer.on('end', resolve);
          });
          call.end(body);
        }),
    );
  });
});

server.listen(0, '127.0.0.1', () => {
  process.send!((server.address() as AddressInfo).port);
});
process.on('disconnect', () => process.exit());
