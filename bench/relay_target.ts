/** Program of the target's process: responds immediately, with a complete response or a token stream. */
import type {AddressInfo} from 'node:net';
import {createServer} from 'node:http';

const ANSWER = JSON.stringify({
  choices: [{index: 0, message: {role: 'assistant', content: 'hay and oats'}}],
  usage: {completion_tokens: 3},
});
const STREAM_TOKENS = 100;
const TOKEN_EVENT =
  'data: {"choices":[{"index":0,"delta":{"content":"oats "}}]}\n\n';

const server = createServer((request, response) => {
  let body = '';
  request.on('data', (chunk: Buffer) => (body += chunk.toString()));
  request.on('end', () => {
    if (!body.includes('"stream":true')) {
      response.setHeader('content-type', 'application/json');
      response.setHeader('content-length', ANSWER.length);
      response.end(ANSWER);
      return;
    }
    response.setHeader('content-type', 'text/event-stream');
    let remaining = STREAM_TOKENS;
    const sendToken = () => {
      if (remaining-- === 0) {
        response.end('data: [DONE]\n\n');
        return;
      }
      response.write(TOKEN_EVENT);
      setImmediate(sendToken);
    };
    sendToken();
  });
});

server.listen(0, '127.0.0.1', () => {
  process.send!((server.address() as AddressInfo).port);
});
process.on('disconnect', () => process.exit());
