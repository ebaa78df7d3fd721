import {appendFileSync, writeFileSync} from 'node:fs';

const BROKEN = 1;
const NOT_RUN = 2;
/** The scripts take 10 to 15 s. */
const MAX_MS = 100_000;

/** Whether the disruption is left out. */
export const isCalm = process.env.TROUBLE === '0';

/**
 * Runs a case: `run` gets a function that writes to the file `path`, and returns what broke the rule, one line each.
 * An error of the script, its end by a signal, or no end in time count as not run; `close` ends what was started.
 */
export async function runCase(path, run, close) {
  const startedAtMs = Date.now();
  writeFileSync(path, `TROUBLE=${isCalm ? 0 : 1}\n`);
  const record = text => {
    const seconds = ((Date.now() - startedAtMs) / 1000).toFixed(3);
    appendFileSync(path, `${seconds} ${text}\n`);
  };
  const end = async code => {
    record(`exit ${code}`);
    try {
      await close();
    } catch (error) {
      record(`not closed: ${error.stack}`);
    }
    process.stdout.write(`exit ${code}, see record.txt\n`);
    process.exit(code);
  };
  const fail = error => {
    record(`not run: ${error?.stack ?? error}`);
    return end(NOT_RUN);
  };
  process.on('uncaughtException', fail);
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
    process.once(signal, () => fail(`ended by ${signal}`));
  }
  setTimeout(() => fail(`no end in ${MAX_MS} ms`), MAX_MS).unref();
  try {
    const broken = await run(record);
    for (const line of broken) record(`BROKEN ${line}`);
    await end(broken.length > 0 ? BROKEN : 0);
  } catch (error) {
    await fail(error);
  }
}
