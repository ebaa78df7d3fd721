/** Output of a command: text, or one JSON document with `--json`. */
export class Output {
  constructor(
    private readonly json: boolean,
    private readonly write: (text: string) => void = text =>
      void process.stdout.write(text),
  ) {}

  /** Prints `data` as JSON with `--json`, otherwise `text`. */
  print(data: unknown, text: string): void {
    this.write((this.json ? JSON.stringify(data, null, 2) : text) + '\n');
  }
}
