/*
 * Configuration versions: conditional writes by operators, pushes between processes, and polling of the row.
 *
 * A version is identified by the write that produced it; a write is conditional on the version that the operator read.
 * A response may be lost, in which case the operator retries the same write. A push may arrive late, twice or never; a
 * poll may return a stale row, for example after a pause of the process between the read and its use.
 */
module configuration

open util/ordering[Version]

enum Rule { ConditionalWrite, HigherVersionOnly }
sig InForce in Rule {}

sig Version { base: lone Version, content: one Content }
sig Content {}
sig Process { var adopted: one Version }
one sig Table { var row: one Version }
var sig Written in Version {}

fact versions {
  no first.base
  all v: Version - first | v.base in prevs[v]
}
/** The number of a version is one higher than that of its base, so two writes on one base carry the same number. */
fun number[v: Version]: set Version { v.^base }
pred higher[v: Version, w: Version] { #number[v] > #number[w] }

pred write[v: Version] {
  v != first and v.base in Written and v not in Written
  ConditionalWrite in InForce implies v.base = Table.row
  row' = Table -> v and Written' = Written + v and adopted' = adopted
}
/** The process receives a version that was in force at some time, by a push or a poll. */
pred learn[p: Process, v: Version] {
  v in Written
  HigherVersionOnly in InForce implies higher[v, p.adopted]
  adopted' = adopted ++ p -> v and row' = row and Written' = Written
}
pred stutter { adopted' = adopted and row' = row and Written' = Written }

fact behaviour {
  Table.row = first and Written = first and adopted = Process -> first
  always (stutter or (some v: Version | write[v]) or (some p: Process, v: Version | learn[p, v]))
}

/** No process reverts to an earlier version. */
pred neverReverts { always all p: Process | p.adopted' = p.adopted or higher[p.adopted', p.adopted] }

/** An accepted change is never overwritten by one that is not based on it. */
pred noLostChange { always all v: Written | v in Table.row.*base }

/** Two processes with the same version number have the same version. */
pred sameNumberSameContent {
  always all p, q: Process | #number[p.adopted] = #number[q.adopted] implies p.adopted = q.adopted
}

run EveryoneFollows { InForce = Rule and eventually (all p: Process | p.adopted = last) }
  for 2 but 3 Version, 2 Content, 4 Int, exactly 8 steps expect 1
check NeverReverts { InForce = Rule implies neverReverts } for 3 but 4 Version, 4 Int, exactly 8 steps expect 0
check NoLostChange { InForce = Rule implies noLostChange } for 3 but 4 Version, 4 Int, exactly 8 steps expect 0
check SameNumberSameContent { InForce = Rule implies sameNumberSameContent }
  for 3 but 4 Version, 4 Int, exactly 8 steps expect 0
check AnyVersionAdopted { InForce = Rule - HigherVersionOnly implies neverReverts }
  for 2 but 3 Version, 4 Int, exactly 6 steps expect 1
check UnconditionalChange { InForce = Rule - ConditionalWrite implies noLostChange }
  for 2 but 3 Version, 4 Int, exactly 5 steps expect 1
check UnconditionalNumbers { InForce = Rule - ConditionalWrite implies sameNumberSameContent }
  for 2 but 3 Version, 4 Int, exactly 7 steps expect 1
