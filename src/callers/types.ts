export type {AnswerSource} from './answer_source.js';
export type {CallerHead} from './caller_head.js';
export type {DeliveredStream} from './delivered_stream.js';
export type {OpenAnswer} from './open_answer.js';
