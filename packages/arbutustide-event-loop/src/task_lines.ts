/** A task in its place among those that wait. */
interface PlacedTask<Task> {
  readonly task: Task;
  readonly urgency: number;
}

/** Tasks by key, in the order in which the keys take their turns. */
type Line<Task> = Map<object, PlacedTask<Task>[]>;

/**
 * Tasks that wait, the most urgent first (lowest number). Keys take turns
 * within an urgency; the tasks of one key stay in order.
 */
export class TaskLines<Task> {
  /** By urgency, in ascending order. */
  private readonly lines = new Map<number, Line<Task>>();
  private readonly lineByKey = new Map<object, Line<Task>>();

  get isEmpty(): boolean {
    return this.lineByKey.size === 0;
  }

  add(task: Task, key: object, urgency: number): void {
    const tasks = this.lineByKey.get(key)?.get(key);
    if (tasks) tasks.push({task, urgency});
    else this.enter(key, [{task, urgency}]);
  }

  /** Lists keys and their first tasks, in the order of their turns. */
  *firstTasks(): Generator<[key: object, task: Task, urgency: number]> {
    for (const line of this.lines.values()) {
      for (const [key, [{task, urgency}]] of line) yield [key, task, urgency];
    }
  }

  /**
   * Removes the first task of a key.
   *
   * @param keepsTurn whether the next task of the key may go on in its place.
   * @return that next task, if it is as urgent.
   */
  removeFirst(key: object, keepsTurn: boolean): Task | undefined {
    const line = this.lineByKey.get(key);
    const tasks = line?.get(key);
    const removed = tasks?.shift();
    if (!line || !tasks || !removed) return undefined;
    const [next] = tasks;
    if (keepsTurn && next?.urgency === removed.urgency) return next.task;
    line.delete(key);
    this.lineByKey.delete(key);
    if (line.size === 0) this.lines.delete(removed.urgency);
    if (next) this.enter(key, tasks);
    return undefined;
  }

  /** Whether there is a task for which this holds. */
  some(predicate: (task: Task, urgency: number) => boolean): boolean {
    for (const line of this.lines.values())
      for (const tasks of line.values())
        for (const {task, urgency} of tasks)
          if (predicate(task, urgency)) return true;
    return false;
  }

  /**
   * Counts the tasks that take their turns before a new one of this key.
   *
   * @param isCounted whether a task needs a turn that is worth counting.
   */
  countBefore(
    key: object,
    urgency: number,
    isCounted: (task: Task, urgency: number) => boolean,
  ): number {
    const own = this.lineByKey.get(key)?.get(key) ?? [];
    let before = countTasks(own, own.length, isCounted);
    for (const [lineUrgency, line] of this.lines) {
      if (lineUrgency > urgency) break;
      const most = lineUrgency < urgency ? Infinity : own.length + 1;
      for (const tasks of line.values())
        if (tasks !== own) before += countTasks(tasks, most, isCounted);
    }
    return before;
  }

  private enter(key: object, tasks: PlacedTask<Task>[]): void {
    const line = this.findLine(tasks[0].urgency);
    line.set(key, tasks);
    this.lineByKey.set(key, line);
  }

  private findLine(urgency: number): Line<Task> {
    const existing = this.lines.get(urgency);
    if (existing) return existing;
    const line: Line<Task> = new Map();
    const later = [...this.lines].filter(([other]) => other > urgency);
    this.lines.set(urgency, line);
    // A map lists its entries in the order in which they were set.
    for (const [other, laterLine] of later) {
      this.lines.delete(other);
      this.lines.set(other, laterLine);
    }
    return line;
  }
}

function countTasks<Task>(
  tasks: readonly PlacedTask<Task>[],
  most: number,
  isCounted: (task: Task, urgency: number) => boolean,
): number {
  let count = 0;
  for (let index = 0; index < Math.min(tasks.length, most); index += 1) {
    const {task, urgency} = tasks[index];
    if (isCounted(task, urgency)) count += 1;
  }
  return count;
}
