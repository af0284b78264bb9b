/*
 * Ownership of one data centre: leases in the table, deputy leases ("promises" in this model), takeover, handover and
 * start commands.
 *
 * One time step stands for MAX_CLOCK_SKEW_MS: a clock shows the true time or one step more. A row is identified by the
 * write that produced it, and a write is conditional on its base row. A write that was sent may take effect at any
 * later time or never, and its sender learns the outcome only by a read. A request for a deputy lease may arrive late
 * or twice. A lost or late response to it needs no step of its own: its owner acts no longer than one that got the
 * response at once. A paused process is one that takes no step. Each rule can be removed; the checks show what it
 * prevents.
 */
module ownership

open util/ordering[Time]

sig Time {}

enum Rule {
  OwnerMargin, TakeoverMargin, OwnPromise, Withdraws, NewVersionSettles, CountsUnsettledRows, HorizonBound,
  FreshIdentity, ConditionalWrite, StartDeadline, EffectsEnd, LeaseCoversPromises, BothMarkedGone
}
sig InForce in Rule {}

sig Row {
  owner: one Process,
  deputy: lone Process,
  lease: one Time,
  effects: lone Time,   -- end of the effects of earlier owners
  base: lone Row
}
one sig First extends Row {}

sig Process {
  var known: lone Row,         -- row as last read
  var unsettled: set Row,      -- own writes whose outcome is uncertain
  var promised: lone Time,     -- end of the latest deputy lease granted
  var held: Process -> Time    -- ends of the deputy leases held, by deputy
}
sig Ahead in Process {}

var one sig Now in Time {}
var one sig Stored in Row {}
var sig Sent in Row {}
var sig Applied in Row {}
var sig Alive in Process {}
var sig Stopped in Process {}

fact rows {
  no First.base and no First.effects
  all r: Row - First | one r.base
  no r: Row | r in r.^base
  no r: Row | r.deputy = r.owner
}

fun clock[p: Process]: one Time { (p in Ahead and some Now.next) implies Now.next else Now }
fun leaseEnd[t: Time]: lone Time { t.next.next }
/** Time from which any process may take over, and past which no deputy lease extends ownership. */
fun horizon[r: Row]: lone Time { r.lease.next.next.next.next }
fun upTo[t: Time]: set Time { t + prevs[t] }

/** The clock of [p] has reached [t], with the margin for clock skew if that rule is in force. */
pred reached[p: Process, t: Time] {
  TakeoverMargin in InForce implies t in prevs[clock[p]] else t in upTo[clock[p]]
}

-- owner ---------------------------------------------------------------------------------------------------------

/** The leases of the row [r] let the owner [p] act at the time [t] of its own clock. */
pred covers[p: Process, r: Row, t: Time] {
  r.owner = p
  some b: r.lease + { u: p.held[r.deputy] | HorizonBound in InForce implies u in prevs[horizon[r]] } |
    t in prevs[b] and (OwnerMargin in InForce implies t in prevs[prev[b]])
}
pred mayActAt[p: Process, t: Time] {
  p in Alive - Stopped
  covers[p, p.known, t]
  CountsUnsettledRows in InForce implies (all r: p.unsettled | covers[p, r, t])
}
pred acts[p: Process] { mayActAt[p, clock[p]] }

/** [p] can send a start command with the deadline [u] now. */
pred canSendStart[p: Process, u: Time] { u in nexts[clock[p]] and acts[p] and mayActAt[p, prev[u]] }

/** [p] acts and knows that the effects of earlier owners have ended. */
pred places[p: Process] {
  acts[p]
  EffectsEnd in InForce implies (all e: p.known.effects | reached[p, e])
}

-- takeover ------------------------------------------------------------------------------------------------------

/** Operators may mark any process as gone that no longer runs. */
pred markedGone[r: Row] {
  BothMarkedGone in InForce implies no (r.owner + r.deputy) & Alive else r.owner not in Alive
}
pred mayTakeOver[p: Process] {
  OwnPromise in InForce implies (all t: p.promised | reached[p, t])
  ((p.known.deputy in p or markedGone[p.known]) and reached[p, p.known.lease])
    or (some horizon[p.known] and horizon[p.known] in upTo[clock[p]])
}

-- steps ---------------------------------------------------------------------------------------------------------

pred sameTable { Stored' = Stored and Applied' = Applied }
pred sameLife { Alive' = Alive and Stopped' = Stopped }
pred sameProcesses { known' = known and unsettled' = unsettled and promised' = promised and held' = held }

pred stutter { sameTable and sameLife and sameProcesses and Sent' = Sent and Now' = Now }

pred pass { Now' in nexts[Now] and sameTable and sameLife and sameProcesses and Sent' = Sent }

pred sendWrite[p: Process, w: Row] {
  p in Alive - Stopped and w not in Sent and w.base = p.known and w.owner = p
  w.lease in nexts[clock[p]] & upTo[leaseEnd[clock[p]]]
  p.known.owner = p implies {
    p.known.lease in upTo[w.lease]
    LeaseCoversPromises in InForce implies p.held[Process] in upTo[w.lease]
    w.effects = p.known.effects
  } else {
    mayTakeOver[p]
    (p.known.deputy in p or p.known.lease in prevs[prevs[clock[p]]]) => w.effects = p.known.effects
      else w.effects = leaseEnd[clock[p]]
  }
  Sent' = Sent + w and unsettled' = unsettled + p -> w
  known' = known and promised' = promised and held' = held
  sameTable and sameLife and Now' = Now
}
pred land[w: Row] {
  w in Sent
  ConditionalWrite in InForce implies w.base = Stored else w not in Applied
  Stored' = w and Applied' = Applied + w
  sameLife and sameProcesses and Sent' = Sent and Now' = Now
}
/** A re-read that finds the same row does not resolve a write, because the write may still arrive. */
pred read[p: Process] {
  p in Alive
  known' = known ++ p -> Stored
  (Stored != p.known or NewVersionSettles not in InForce)
    implies unsettled' = unsettled - p -> Row else unsettled' = unsettled
  promised' = promised and held' = held
  sameTable and sameLife and Sent' = Sent and Now' = Now
}
/** [p] grants a deputy lease until [u] to [o], on a request sent (possibly long ago) as the owner in row [r]. */
pred grant[p: Process, o: Process, r: Row, u: Time] {
  p in Alive - o and r.owner = o and r in o.known.*base
  r in p.known.^base implies p.known.owner = o
  p.known.owner != p
  Withdraws in InForce implies no p.unsettled
  u in nexts[clock[p]] & upTo[leaseEnd[clock[p]]]
  held' = held + o -> p -> u
  (no p.promised or u in nexts[p.promised]) implies promised' = promised ++ p -> u else promised' = promised
  known' = known and unsettled' = unsettled
  sameTable and sameLife and Sent' = Sent and Now' = Now
}
/** Planned handover: the owner stops acting and then writes a row with its deputy as the next owner. */
pred handOver[p: Process, w: Row] {
  p in Alive - Stopped and p.known.owner = p
  w not in Sent and w.base = p.known and w.owner = p.known.deputy and w.lease = clock[p]
  some w.effects and p.held[Process] + p.known.lease + p.known.effects in upTo[w.effects]
  Stopped' = Stopped + p and Alive' = Alive and Sent' = Sent + w
  sameTable and sameProcesses and Now' = Now
}
pred crash[p: Process] {
  p in Alive and Alive' = Alive - p and Stopped' = Stopped
  sameTable and sameProcesses and Sent' = Sent and Now' = Now
}
/** Without the rule FreshIdentity, a restarted process keeps its identity but loses its memory. */
pred restart[p: Process] {
  FreshIdentity not in InForce and p not in Stopped
  known' = known - p -> Row and unsettled' = unsettled - p -> Row
  promised' = promised - p -> Time and held' = held - p -> Process -> Time
  sameTable and sameLife and Sent' = Sent and Now' = Now
}

fact init {
  Now = first and Stored = First and Sent = First and Applied = First
  no unsettled and no promised and no held
  Alive = Process and no Stopped
  all p: Process | p.known = First
  First.lease = next[next[first]]
}
/** Excludes traces that differ from others only in idle steps. */
fact shortest {
  always (stutter implies after stutter)
  always (pass implies after not pass)
}
fact behaviour {
  always (
    stutter or pass
    or (some w: Row | land[w])
    or (some p: Process | read[p] or crash[p] or restart[p])
    or (some p: Process, w: Row | sendWrite[p, w] or handOver[p, w])
    or (some p, o: Process, r: Row, u: Time | grant[p, o, r, u])
  )
}

-- properties ----------------------------------------------------------------------------------------------------

/** At most one process may act. */
pred oneOwner { always lone p: Process | acts[p] }

/** Once another owner places work, a worker with the slowest clock refuses every start command that comes late. */
pred lateStartsRefused {
  always all q: Process, p: Process - q, u: Time |
    (places[q] and (StartDeadline in InForce implies u in nexts[Now])) implies not once canSendStart[p, u]
}

pred without[r: set Rule] { InForce = Rule - r }

/** Restricts the search for a counterexample to traces without crashes and planned stops. */
pred noStops { always (Alive = Process and no Stopped) }

/** The owner names a new deputy, which then takes over. */
pred changeThenTakeover {
  some o, d, x: Process, w, v: Row {
    First.owner = o and First.deputy = d and x not in o + d and Ahead = d + x
    w.base = First and w.owner = o and w.deputy = x and v.base = w and v.owner = x
  }
}

run TakeoverHappens { without[none] and eventually (some p: Process | acts[p] and p != First.owner) }
  for 2 Process, 2 Row, 6 Time, exactly 5 steps expect 1
run OwnerOutlivesLease { without[none] and eventually (acts[First.owner] and Now in nexts[First.lease]) }
  for 2 Process, 1 Row, 7 Time, exactly 5 steps expect 1
run HandOverHappens { without[none] and eventually (some p: Process | places[p] and First.owner in Stopped) }
  for 2 Process, 3 Row, 7 Time, exactly 8 steps expect 1

check OneOwner { without[none] implies oneOwner } for 2 Process, 2 Row, 8 Time, exactly 8 steps expect 0
check OneOwnerOfThree { (without[none] and noStops) implies oneOwner }
  for 3 Process, 2 Row, 9 Time, exactly 7 steps expect 0
check LateStartsRefused { without[none] implies lateStartsRefused }
  for 2 Process, 2 Row, 7 Time, exactly 7 steps expect 0
check LateStartsRefusedAfterHandOver { (without[none] and eventually some Stopped) implies lateStartsRefused }
  for 2 Process, 3 Row, 7 Time, exactly 7 steps expect 0
check LongOneOwner { without[none] implies oneOwner } for 3 Process, 3 Row, 8 Time, exactly 8 steps expect 0
check LongOneOwnerChangeOfDeputy { (without[none] and noStops) implies oneOwner }
  for 3 Process, 3 Row, 8 Time, exactly 9 steps expect 0
check LongLateStartsRefused { without[none] implies lateStartsRefused }
  for 3 Process, 3 Row, 7 Time, exactly 8 steps expect 0
check OwnerMarginAlone { without[TakeoverMargin] implies oneOwner } for 2 Process, 2 Row, 6 Time, exactly 6 steps expect 0
check TakeoverMarginAlone { without[OwnerMargin] implies oneOwner }
  for 2 Process, 2 Row, 6 Time, exactly 6 steps expect 0
check OwnerMarkedGoneAlone { without[BothMarkedGone] implies oneOwner }
  for 3 Process, 2 Row, 7 Time, exactly 6 steps expect 0

check NoMargin { without[OwnerMargin + TakeoverMargin] implies oneOwner }
  for 2 Process, 2 Row, 6 Time, exactly 6 steps expect 1
check NoOwnPromise { without[OwnPromise] implies oneOwner }
  for 2 Process, 2 Row, 8 Time, exactly 7 steps expect 1
check NoWithdrawal { without[Withdraws] implies oneOwner }
  for 2 Process, 2 Row, 8 Time, exactly 6 steps expect 1
check UnchangedRowSettles { without[NewVersionSettles] implies oneOwner }
  for 2 Process, 2 Row, 8 Time, exactly 7 steps expect 1
// There are too few time steps for a takeover by horizon, so its bound is omitted to keep the search small.
check OldDeputyCounts {
  (without[CountsUnsettledRows + HorizonBound] and noStops and no Row.effects and changeThenTakeover) implies oneOwner
} for 3 Process, 3 Row, 6 Time, exactly 9 steps expect 1
check NoHorizonBound { without[HorizonBound] implies oneOwner }
  for 3 Process, 2 Row, 9 Time, exactly 7 steps expect 1
check ReusedIdentity { without[FreshIdentity] implies oneOwner }
  for 2 Process, 2 Row, 8 Time, exactly 8 steps expect 1
check UnconditionalWrite { without[ConditionalWrite] implies oneOwner }
  for 2 Process, 3 Row, 7 Time, exactly 8 steps expect 1
check NoStartDeadline { without[StartDeadline] implies lateStartsRefused }
  for 2 Process, 2 Row, 6 Time, exactly 5 steps expect 1
check HandOverWithoutEffects { without[EffectsEnd] implies lateStartsRefused }
  for 2 Process, 3 Row, 7 Time, exactly 7 steps expect 1
// The sequence of rows is fixed as well; otherwise the search takes about a minute.
check LeaseBelowPromise {
  (without[LeaseCoversPromises + HorizonBound] and noStops and no Row.effects and changeThenTakeover)
    implies lateStartsRefused
} for 3 Process, 3 Row, 6 Time, exactly 10 steps expect 1
