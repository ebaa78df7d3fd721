import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AnswerSource} from './answer_source.js';
import type {CallerHead} from './caller_head.js';
import type {Effect} from '../core/effects/types.js';
import type {EffectHandler, NodeContext} from '../runtime/types.js';
import type {OpenAnswer} from './open_answer.js';
import type {RequestId} from '../core/ids/index.js';
import {CallerAnswer} from './caller_answer.js';
import {checkCaller} from '../core/requests/index.js';
import {createCallerRequest} from './create_caller_request.js';
import {makeId} from '../core/ids/index.js';
import {parseHead} from './parse_head.js';
import {readBody} from './read_body.js';
import {sendInfo} from './send_info.js';
import {sendRefusal} from './send_refusal.js';

const CONNECTION_CHECK_MS = 1000;

/** HTTP front end for callers. */
export class CallerServer implements EffectHandler, AnswerSource {
  readonly types = ['refuse', 'answerKept', 'finishAnswer'] as const;
  private readonly server: Server;
  private readonly answers = new Map<RequestId, CallerAnswer>();
  private requestCounter = 0;

  constructor(private readonly context: NodeContext) {
    const {limits} = context.settings;
    this.server = createServer({
      maxHeaderSize: limits.maxHeaderBytes,
      headersTimeout: limits.requestTimeoutMs,
      requestTimeout: limits.requestTimeoutMs + CONNECTION_CHECK_MS,
      keepAliveTimeout: limits.idleTimeoutMs,
      connectionsCheckingInterval: CONNECTION_CHECK_MS,
    });
    this.server.on('request', (request, response) => {
      this.receive(request, response);
    });
  }

  find(requestId: RequestId): OpenAnswer | undefined {
    return this.answers.get(requestId);
  }

  async listen(): Promise<void> {
    const [host, port] = splitAddress(this.context.settings.node.callerAddress);
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  handle(effect: Effect): void {
    if (
      effect.type !== 'refuse' &&
      effect.type !== 'answerKept' &&
      effect.type !== 'finishAnswer'
    ) {
      return;
    }
    const answer = this.answers.get(effect.requestId);
    if (!answer) return;
    this.answers.delete(effect.requestId);
    if (effect.type === 'refuse') answer.refuse(effect);
    else if (effect.type === 'answerKept') answer.sendKept(effect);
    else answer.finish();
  }

  async close(): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
  }

  destroy(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private receive(request: IncomingMessage, response: ServerResponse): void {
    const {context} = this;
    if (sendInfo(context, request, response)) return;
    const requestId = this.nextRequestId();
    const head = parseHead(request, requestId);
    if (head.isErr()) {
      sendRefusal(response, requestId, head.error);
      return;
    }
    const {tokenSha256} = head.value;
    const refused = checkCaller(
      context.state,
      tokenSha256,
      context.clock.nowMs(),
    );
    if (refused) {
      sendRefusal(response, requestId, refused.refusal, refused.entries);
      return;
    }
    readBody(request, context.settings.limits, body => {
      if (body.isErr()) sendRefusal(response, requestId, body.error);
      else this.admit(response, head.value, body.value);
    });
  }

  private admit(
    response: ServerResponse,
    head: CallerHead,
    body: Buffer,
  ): void {
    const {requestId} = head;
    const parsed = createCallerRequest(head, body);
    if (parsed.isErr()) {
      sendRefusal(response, requestId, parsed.error);
      return;
    }
    const request = parsed.value;
    const answer = new CallerAnswer(response, {
      head,
      body,
      stream: request.stream,
      writeTimeoutMs: this.context.settings.limits.idleTimeoutMs,
    });
    this.answers.set(requestId, answer);
    response.on('close', () => {
      answer.close();
      if (!this.answers.delete(requestId)) return;
      this.context.events.dispatch({type: 'callerGone', requestId});
    });
    this.context.events.dispatch({type: 'requestArrived', request});
  }

  private nextRequestId(): RequestId {
    this.requestCounter += 1;
    const {incarnation} = this.context.state.self;
    return makeId<RequestId>(
      `${incarnation}/${this.requestCounter.toString(36)}`,
    );
  }
}

function splitAddress(address: string): [string, number] {
  const at = address.lastIndexOf(':');
  return [address.slice(0, at), Number(address.slice(at + 1))];
}
