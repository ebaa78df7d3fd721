#!/usr/bin/env node
import {EXIT_CODE} from './exit_code.js';
import {runCli} from './run_cli.js';

const exitCode = await runCli(process.argv.slice(2));
// A command that returns normally may have set process.exitCode itself.
if (exitCode !== EXIT_CODE.done) process.exitCode = exitCode;
