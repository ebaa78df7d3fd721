export type {ConfigFile} from './config_file.js';
export type {FileFault} from './file_fault.js';
export type {IniDocument} from './ini_document.js';
export type {ParsedFiles} from './parsed_files.js';
