/** Output format of a command's result. */
export enum OutputFormat {
  TABLE = 'table',
  JSON = 'json',
}

/** One row of the output; its keys are the column titles and the JSON keys. */
export type OutputRow = Readonly<Record<string, string | number | boolean>>;

type RowFormatter = (rows: readonly OutputRow[]) => string;

const FORMATTER_BY_OUTPUT_FORMAT: Readonly<Record<OutputFormat, RowFormatter>> =
  {
    [OutputFormat.JSON]: rows => JSON.stringify(rows, undefined, 2),
    [OutputFormat.TABLE]: formatTable,
  };

/** Prints rows to standard output. */
export function printRows(
  rows: readonly OutputRow[],
  format: OutputFormat,
): void {
  process.stdout.write(`${FORMATTER_BY_OUTPUT_FORMAT[format](rows)}\n`);
}

function formatTable(rows: readonly OutputRow[]): string {
  if (rows.length === 0) return '(none)';
  const titles = Object.keys(rows[0]);
  const lines = [
    titles,
    ...rows.map(row => titles.map(key => formatCell(row[key]))),
  ];
  const widths = titles.map((_title, column) =>
    Math.max(...lines.map(line => line[column].length)),
  );
  return lines
    .map(line =>
      line.map((text, column) => text.padEnd(widths[column])).join('  '),
    )
    .map(line => line.trimEnd())
    .join('\n');
}

function formatCell(value: string | number | boolean | undefined): string {
  return value === undefined ? '' : String(value);
}
