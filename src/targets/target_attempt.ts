import type {Agent, ClientRequest, IncomingMessage} from 'node:http';
import {request as sendRequest} from 'node:http';
import type {AnswerRelay} from './answer_relay.js';
import type {AttemptFailure} from '../core/requests/types.js';
import type {EffectOf} from '../core/effects/types.js';
import type {EventSink} from '../runtime/types.js';
import type {OpenAnswer} from '../callers/types.js';
import type {Socket} from 'node:net';
import {StreamRelay} from './stream_relay.js';
import {BufferedRelay} from './buffered_relay.js';
import {createAttemptRequest} from './create_attempt_request.js';

const CONNECT_TIMEOUT_MS = 2000;
const PROGRESS_TOKENS = 16;

interface TargetAttemptOptions {
  readonly start: EffectOf<'startAttempt'>;
  readonly answer: OpenAnswer;
  readonly events: EventSink;
  /** Connection pool; without it the attempt opens a new connection. */
  readonly agent?: Agent;
  /** Longest time without bytes of the target before the attempt fails. */
  readonly silenceMs: number;
  /** Called exactly once, when the attempt ends, fails or is cancelled. */
  readonly onEnd: () => void;
}

/** One dispatch of a request to one target. */
export class TargetAttempt {
  private readonly request: ClientRequest;
  private relay?: AnswerRelay;
  private isHeadSent = false;
  private isOver = false;
  private reportedTokens = 0;
  private silenceTimer?: NodeJS.Timeout;

  constructor(private readonly options: TargetAttemptOptions) {
    const {start, answer, agent} = options;
    const {body, ...head} = createAttemptRequest(start, answer);
    this.request = sendRequest({...head, agent: agent ?? false});
    this.request.on('socket', socket => {
      if (socket.connecting) this.awaitConnection(socket);
      else this.markHeadSent();
    });
    this.request.on('response', response => this.receive(response));
    this.request.on('error', () => this.handleConnectionLoss());
    this.request.on('close', () => this.handleConnectionLoss());
    this.request.end(body);
  }

  /** Cancels the attempt by closing the connection to the target. */
  cancel(): void {
    this.end();
    this.request.destroy();
  }

  private awaitConnection(socket: Socket): void {
    if (this.isOver) return;
    socket.once('connect', () => this.markHeadSent());
    this.silenceTimer = setTimeout(
      () => this.fail(this.failure('connect-failed')),
      CONNECT_TIMEOUT_MS,
    );
  }

  /** From now on the target may have received the request, so a failure is `may-have-run`. */
  private markHeadSent(): void {
    if (this.isOver) return;
    this.isHeadSent = true;
    this.restartSilenceTimer();
  }

  private receive(response: IncomingMessage): void {
    if (this.isOver) return;
    const failure = this.refusal(response);
    if (failure) {
      response.resume();
      this.report(failure);
      return;
    }
    const relay = this.createRelay(response);
    this.relay = relay;
    this.silenceTimer?.refresh();
    response.on('data', (chunk: Buffer) => this.accept(response, chunk));
    response.on('end', () => this.finish(response));
    response.on('error', () => this.handleConnectionLoss());
    response.on('aborted', () => this.handleConnectionLoss());
  }

  /** Reads from the response head that the target refused the request or failed. */
  private refusal(response: IncomingMessage): AttemptFailure | undefined {
    const {headers, statusCode = 0} = response;
    const mayRefuse = statusCode === 503 || statusCode === 429;
    if (mayRefuse && headers['x-not-run'] === 'true') {
      const isLeaving = headers['x-target-state'] === 'leaving';
      const retryAfterS = Number(headers['retry-after']);
      return {
        verdict: 'not-run',
        cause: isLeaving ? 'target-leaving' : 'target-refused',
        status: statusCode,
        ...(retryAfterS >= 0 ? {retryAfterMs: retryAfterS * 1000} : {}),
      };
    }
    const isModel = this.options.answer.kind === 'model';
    if (!isModel || (statusCode < 500 && statusCode !== 429)) return undefined;
    return {...this.failure('target-error'), status: statusCode};
  }

  private createRelay(response: IncomingMessage): AnswerRelay {
    const {answer} = this.options;
    const contentType = response.headers['content-type'] ?? '';
    const isStream = contentType.startsWith('text/event-stream');
    if (answer.kind !== 'model' || !answer.stream || !isStream) {
      return new BufferedRelay(answer, response);
    }
    return new StreamRelay(answer, response, tokens =>
      this.reportProgress(tokens),
    );
  }

  private accept(response: IncomingMessage, chunk: Buffer): void {
    if (this.isOver) return;
    this.silenceTimer?.refresh();
    const canContinue = this.relay!.processChunk(chunk);
    if (this.relay!.isDone) {
      this.finish(response);
      return;
    }
    if (canContinue) return;
    response.pause();
    clearTimeout(this.silenceTimer); // the delay is due to the caller, not to the target
    this.options.answer.onceDrained(() => {
      if (this.isOver) return;
      this.restartSilenceTimer();
      response.resume();
    });
  }

  private finish(response: IncomingMessage): void {
    if (this.isOver) return;
    const relay = this.relay!;
    if (!hasFraming(response) || !relay.finish()) {
      this.fail(this.failure('truncated'));
      return;
    }
    const {events, start} = this.options;
    const {tokens} = relay;
    const stored = start.freshConnection ? relay.keptAnswer() : undefined;
    this.end();
    events.dispatch({
      type: 'attemptEnded',
      attemptId: start.attemptId,
      status: response.statusCode!,
      tokens,
      ...(stored && {answer: stored}),
    });
  }

  private reportProgress(tokens: number): void {
    const {events, start} = this.options;
    const {attemptId} = start;
    if (this.reportedTokens === 0) {
      events.dispatch({type: 'attemptFirstToken', attemptId});
    } else if (tokens - this.reportedTokens < PROGRESS_TOKENS) {
      return;
    }
    this.reportedTokens = tokens;
    events.dispatch({type: 'attemptProgress', attemptId, tokens});
  }

  private restartSilenceTimer(): void {
    clearTimeout(this.silenceTimer);
    this.silenceTimer = setTimeout(
      () => this.fail(this.failure('silent')),
      this.options.silenceMs,
    );
  }

  private handleConnectionLoss(): void {
    const hasAnswer = this.relay !== undefined;
    const lost = hasAnswer ? 'truncated' : 'reset';
    this.fail(this.failure(this.isHeadSent ? lost : 'connect-failed'));
  }

  private failure(cause: AttemptFailure['cause']): AttemptFailure {
    return {verdict: this.isHeadSent ? 'may-have-run' : 'not-run', cause};
  }

  private fail(failure: AttemptFailure): void {
    if (this.isOver) return;
    this.request.destroy();
    this.report(failure);
  }

  private report(failure: AttemptFailure): void {
    const {events, start} = this.options;
    const {attemptId} = start;
    const tokens = this.relay?.tokens ?? 0;
    const isUnresumable = this.relay?.isUnresumable ?? false;
    this.end();
    events.dispatch({
      type: 'attemptFailed',
      attemptId,
      tokens,
      failure,
      ...(isUnresumable && {unresumable: true}),
    });
  }

  private end(): void {
    if (this.isOver) return;
    this.isOver = true;
    clearTimeout(this.silenceTimer);
    this.options.onEnd();
  }
}

/** Whether the framing of a response distinguishes its end from a lost connection. */
function hasFraming({headers, statusCode}: IncomingMessage): boolean {
  if (statusCode === 204 || statusCode === 304) return true;
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}
