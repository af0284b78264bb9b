/** Keeps every run of a soak and finds tasks that run twice, and workers with more runs than they have room for. */
package dev.bronzeshore.server.soak

/** Thread-safe. */
internal class SoakChecker(private val log: SoakLog) {
    private val runsOf = HashMap<String, MutableList<SoakRun>>()
    private val found = ArrayList<SoakViolation>()
    private var startCount = 0

    val violations: List<SoakViolation> get() = synchronized(this) { found.toList() }
    val starts: Int get() = synchronized(this) { startCount }

    fun runsOf(task: String): List<SoakRun> = synchronized(this) { runsOf[task]?.toList().orEmpty() }

    /** Number of runs by how they ended. */
    fun ends(): Map<String, Int> = synchronized(this) {
        runsOf.values.flatten().groupingBy { it.end.ifEmpty { "running" } }.eachCount().toSortedMap()
    }

    @Synchronized
    fun recordStart(run: SoakRun) {
        startCount++
        val earlier = runsOf.getOrPut(run.task) { ArrayList() }
        earlier.filter { it.isRunning }.forEach { report("TWICE", run.task, "two runs at once: $run while $it") }
        earlier.filter { it.end == "done" && it.notedAtMs != null }
            .forEach { report("TWICE", run.task, "started after a noted end: $run after $it") }
        earlier += run
    }

    @Synchronized
    fun recordEnd(run: SoakRun, end: String, number: Long) {
        run.endedAtMs = log.nowMs
        run.end = end
        run.endNumber = number
    }

    /** The end of [run] was acknowledged, without an expiry of the worker's leases since then. */
    @Synchronized
    fun recordNoted(run: SoakRun) {
        run.notedAtMs = log.nowMs
        if (run.end != "done") return
        val endedAtMs = run.endedAtMs ?: return
        runsOf[run.task].orEmpty().filter { it !== run && it.startedAtMs > endedAtMs }
            .forEach { report("TWICE", run.task, "started after an end that was noted later: $it after $run") }
    }

    fun recordRoom(worker: String, usedMillicores: Long, capacityMillicores: Long, task: String) {
        if (usedMillicores > capacityMillicores) {
            report("LIMIT", task, "the runs on $worker use $usedMillicores of $capacityMillicores")
        }
    }

    @Synchronized
    fun report(rule: String, task: String, text: String) {
        if (found.any { it.rule == rule && it.task == task && it.text == text }) return
        found += SoakViolation(log.nowMs, rule, task, text)
        log.add("$rule: $text")
    }
}
