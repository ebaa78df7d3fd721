export type {Settings} from './settings.js';
