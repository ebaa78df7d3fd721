interface ReportTable {
  readonly title: string;
  readonly columns: readonly string[];
  readonly rows: readonly (readonly (string | number)[])[];
}

/** What a scenario measured. */
export interface ScenarioReport {
  /** Measures by name; the trace's stated outcomes are checked against them. */
  readonly measures: Readonly<Record<string, number>>;
  readonly tables: readonly ReportTable[];
}
