import {spawn, type ChildProcess} from 'node:child_process';
import {fileURLToPath} from 'node:url';

const MAX_OUTPUT_CHARS = 200_000;

/** A child process of the system under test, with its output and exit code. */
export class TestProcess {
  /** The last 200,000 characters of standard output and standard error. */
  output = '';
  exitCode: number | null = null;
  readonly ended: Promise<void>;
  private readonly child: ChildProcess;

  /** @param script Path below `dist/`, such as `src/cli/main.js`. */
  constructor(
    script: string,
    args: readonly string[],
    options: {
      readonly nodeOptions?: readonly string[];
      readonly environment?: Readonly<Record<string, string>>;
    } = {},
  ) {
    const path = fileURLToPath(new URL(`../../${script}`, import.meta.url));
    const {nodeOptions = [], environment = {}} = options;
    this.child = spawn(process.execPath, [...nodeOptions, path, ...args], {
      env: {...process.env, ...environment},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const appendOutput = (chunk: Buffer) => {
      this.output = (this.output + chunk.toString()).slice(-MAX_OUTPUT_CHARS);
    };
    this.child.stdout!.on('data', appendOutput);
    this.child.stderr!.on('data', appendOutput);
    this.ended = new Promise(resolve => {
      this.child.once('exit', code => {
        this.exitCode = code;
        resolve();
      });
    });
  }

  get pid(): number {
    return this.child.pid!;
  }

  /** Sends a signal to this process only; ignored once it has exited. */
  signal(name: NodeJS.Signals): void {
    if (this.exitCode === null) this.child.kill(name);
  }

  /** Kills the process, also when it is stopped, and waits for its exit. */
  async kill(): Promise<void> {
    this.signal('SIGCONT');
    this.signal('SIGKILL');
    await this.ended;
  }
}
