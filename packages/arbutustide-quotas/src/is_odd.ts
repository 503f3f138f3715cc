/** Splits names into two halves of about the same size. */
export function isOdd(name: string): boolean {
  let sum = 0;
  for (let index = 0; index < name.length; index += 1)
    sum += name.charCodeAt(index);
  return sum % 2 === 1;
}
