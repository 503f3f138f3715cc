// Grammar of the scenario language: a title, then one statement a line, each
// starting with "given", "when", "then" or "and". These words are equivalent;
// they only help the reader. `kind` and the other fields of a statement match
// StatementFieldsByKind in statements.ts. docs/SCENARIOS.md documents the
// language.

Scenario
  = title:Title statements:Line* Blank*
    { return {title, statements}; }

Title = Blank* "scenario" _ title:String EndOfLine { return title; }

Line = Blank* ("given" / "when" / "then" / "and") _ statement:Statement EndOfLine
    { return {...statement, line: location().start.line}; }

Statement
  = StandardWorld / AddEngine / PassTime
  / NodeAction / UpstreamAction / ArmFault / StoreState / CutLink / HealLinks
  / StreamCompletion / RequestCompletion / RecordRelease / SendCrashingRequest
  / ApplyCatalogue / ApplyConcurrently
  / ExecutionCount / RequestOutcome / ActiveRevision / EditConflict
  / ProbeEntries / NoViolation / ReplicaCount / NoClaim

// Setup and time
StandardWorld = "the standard world with seed" _ seed:Integer
    { return {kind: 'world', seed}; }
AddEngine = "engine" _ id:Name _ "in" _ domain:Name _ "with" _ gigabytes:Integer _ "GB" fencing:(_ "that ignores fencing")?
    { return {kind: 'engine', id, domain, gigabytes, checksFencing: fencing === null}; }
PassTime = seconds:Number _ "s" _ ("pass" "es"?)
    { return {kind: 'pass', milliseconds: seconds * 1000}; }

// Faults
NodeAction = node:NodeName _ action:("is killed" / "is frozen" / "goes on" / "is asked to stop" / "starts again")
    { return {kind: 'node', node, action}; }
NodeName = "the planner's node" { return 'planner'; } / $("node-" [0-9]+)
UpstreamAction = upstream:UpstreamName _ action:("crashes" / "says that it leaves" / "is listed as leaving")
    { return {kind: 'upstream', upstream, action}; }
UpstreamName = $(("engine" / "release") "-" [0-9]+)

// Injects the fault at the next call of the step.
ArmFault = "at the next" _ step:Step _ fault:Fault
    { return {kind: 'armed', step, fault}; }
Step = "first byte" { return 'first_byte'; }
  / "write of the head" { return 'write_head'; }
  / "write of content" { return 'write_content'; }
  / "claim" / "send" / "middle" / "end" / "outcome" / "lease" / "intent"
  / "order" / "settle" / "report" / "gossip" / "spread"
// A longer text stands before its own prefix: the first match wins.
Fault
  = "its process is killed after the effect" { return 'kill_after'; }
  / "its process is killed" { return 'kill'; }
  / "its process is frozen after the effect" { return 'freeze_after'; }
  / "its process is frozen" { return 'freeze'; }
  / "the link back is cut" { return 'one_way_cut'; }
  / "the link is cut" { return 'cut'; }
  / "the reply is lost" { return 'lost_reply'; }
  / "it arrives late" { return 'late'; }
  / "it arrives twice" { return 'duplicate'; }
  / "the other end crashes" { return 'crash'; }
  / "the object API goes down" { return 'store_down'; }
  / "the object API gets slow" { return 'store_slow'; }
  / "the planner's lease lapses" { return 'lease_lapse'; }

StoreState = "the object API is" _ state:("down" / "slow") _ "for" _ seconds:Number _ "s"
    { return {kind: 'store', state, milliseconds: seconds * 1000}; }
CutLink = "the links between" _ left:Name _ "and" _ right:Name _ "are cut"
    { return {kind: 'cut', left, right}; }
  / "no" _ right:Name _ "reaches" _ left:Name
    { return {kind: 'cutOneWay', from: right, to: left}; }
HealLinks = "all links are healed" { return {kind: 'heal'}; }

// Requests of callers. A label that is used again means a resend of the
// same request.
StreamCompletion = "a caller streams" _ label:String _ "of" _ tokens:Integer _ "tokens from" _ entry:Name _ "through" _ node:NodeName
    { return {kind: 'ask', label, tokens, entry, node, isStream: true}; }
RequestCompletion = "a caller asks" _ label:String _ "of" _ entry:Name _ "through" _ node:NodeName
    { return {kind: 'ask', label, tokens: 8, entry, node, isStream: false}; }
RecordRelease = "a caller records" _ label:String other:(_ "with another body")? again:(_ "again")? _ "through" _ node:NodeName
    { return {kind: 'record', label, node, hasOtherBody: other !== null}; }
SendCrashingRequest = "a caller sends the crashing request" _ label:String _ "to" _ entry:Name _ "through" _ node:NodeName
    { return {kind: 'crashing', label, entry, node}; }

// Edits of operators
ApplyCatalogue = "an operator applies the catalogue with version" _ version:Name
    { return {kind: 'apply', version}; }
ApplyConcurrently = "two operators apply versions" _ first:Name _ "and" _ second:Name _ "at once"
    { return {kind: 'race', versions: [first, second]}; }

// Expectations
ExecutionCount = label:String _ ran:("ran once" / "ran at most once" / "ran at most twice" / "did not run")
    { return {kind: 'ran', label, ran}; }
RequestOutcome = label:String _ "is answered"
    { return {kind: 'ended', label, end: 'answered'}; }
  / label:String _ "ends visibly broken"
    { return {kind: 'ended', label, end: 'broken'}; }
  / label:String _ "loses its connection"
    { return {kind: 'ended', label, end: 'connection_lost'}; }
  / label:String _ "is refused as" _ refusal:Name
    { return {kind: 'ended', label, end: 'refused', refusal}; }
ActiveRevision = "every node is at revision" _ revision:Integer
    { return {kind: 'revision', revision}; }
EditConflict = "one edit was accepted and one got a conflict" { return {kind: 'conflict'}; }
// Ends all faults and sends a request for every entry to every live node.
ProbeEntries = "every entry answers everywhere" { return {kind: 'probe'}; }
// Checks all invariants, including the answers to the probes.
NoViolation = "nothing is violated" { return {kind: 'judge'}; }
ReplicaCount = entry:Name _ "has" _ count:Integer _ "replicas or more"
    { return {kind: 'replicas', entry, count}; }
NoClaim = label:String _ "has no claim" { return {kind: 'noClaim', label}; }

String = '"' text:$[^"\n]* '"' { return text; }
Name = $[a-z0-9_.-]+
Integer = digits:$[0-9]+ { return Number(digits); }
Number = digits:$([0-9]+ ("." [0-9]+)?) { return Number(digits); }
_ = [ \t]+
Comment = "#" [^\n]*
Blank = [ \t]* Comment? "\n"
EndOfLine = [ \t]* Comment? ("\n" / !.)
