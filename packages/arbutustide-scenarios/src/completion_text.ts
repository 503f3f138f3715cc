/**
 * Extracts the generated text from the body of a completion, which is either
 * an event stream of chunks or one JSON object.
 */
export function extractCompletionText(body: string): string {
  if (!body.startsWith('id:')) {
    return (JSON.parse(body) as CompletionChunk).choices[0].text;
  }
  return body
    .split('\n')
    .filter(line => line.startsWith('data: {'))
    .map(line => JSON.parse(line.slice('data: '.length)) as CompletionChunk)
    .map(chunk => chunk.choices[0].text)
    .join('');
}

interface CompletionChunk {
  readonly choices: readonly {readonly text: string}[];
}
