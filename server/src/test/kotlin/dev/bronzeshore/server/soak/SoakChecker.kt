/** Keeps every run of a soak and finds tasks that run twice, and workers with more runs than they have room for. */
package dev.bronzeshore.server.soak

/** Tasks of a schedule may start this much before their time. */
private const val EARLY_MS = 250L

/** Thread-safe. */
internal class SoakChecker(private val log: SoakLog) {
    private val runsOf = HashMap<String, MutableList<SoakRun>>()
    private val found = ArrayList<SoakViolation>()
    private var startCount = 0

    /** False while the store is down for all and a majority of the processes is up: leases have to be renewed then. */
    @Volatile
    var isLapseAllowed = true

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
        checkOrder(run)
        checkCheckpoint(run)
        earlier.filter { it.isRunning }.forEach { report("TWICE", run.task, "two runs at once: $run while $it") }
        earlier.filter { it.end == "done" && it.notedAtMs != null }
            .forEach { report("TWICE", run.task, "started after a noted end: $run after $it") }
        if (run.gang != null) {
            membersOf(run).filter { it.end == "done" && it.notedAtMs != null }
                .forEach { report("TWICE", run.task, "started after a noted end of its gang: $run after $it") }
        }
        earlier += run
    }

    private fun membersOf(run: SoakRun): List<SoakRun> = run.model
        .let { it.payload.tasksOf(it.job, it.occurrence, it.stepNumber) }
        .filter { it != run.task }
        .flatMap { runsOf[it].orEmpty() }

    private fun checkOrder(run: SoakRun) {
        val model = run.model
        val after = model.step.after
        if (after != null && !isDone(model, after)) report("ORDER", run.task, "step $after is not done: $run")
        val wallMs = log.toWallMs(run.startedAtMs)
        if (wallMs < model.dueWallMs - EARLY_MS) report("ORDER", run.task, "before ${model.dueWallMs}: $run")
    }

    /** Tasks of a step whose turn has come and that have no run and are not done; 0 if it has not. */
    @Synchronized
    fun waitingTasks(job: SoakJob, step: Int): Int {
        fun hasEnded(task: String) = runsOf[task].orEmpty().any { it.end == "done" }
        val payload = job.payload
        val after = payload.steps[step].after
        if (after != null && !payload.tasksOf(job.id, 0, after).all(::hasEnded)) return 0
        return payload.tasksOf(job.id, 0, step).count { task ->
            runsOf[task].orEmpty().none { it.isRunning } && !hasEnded(task)
        }
    }

    /** One end represents all members of a gang. */
    private fun isDone(model: SoakTaskModel, step: Int): Boolean {
        val ends = model.payload.tasksOf(model.job, model.occurrence, step)
            .map { task -> runsOf[task].orEmpty().any { it.end == "done" } }
        return if (model.payload.steps[step].isGang) ends.any { it } else ends.all { it }
    }

    private fun checkCheckpoint(run: SoakRun) {
        if (run.checkpoint.isEmpty() || run.checkpoint.startsWith("${run.model.checkpointOwner}@")) return
        report("UNASKED", run.task, "checkpoint ${run.checkpoint}: $run")
    }

    /** Judges what callers were shown of a job. */
    @Synchronized
    fun checkShownState(job: SoakJob) {
        val payload = job.payload
        if (job.state == "failed" && !payload.mayFail) report("LOST", job.id, "job ${job.path} is failed without cause")
        if (job.state != "completed") return
        for (occurrence in 0 until maxOf(1, payload.occurrences)) {
            val open = payload.steps.indices.filterNot { step ->
                runsOf[payload.tasksOf(job.id, occurrence, step).first()]?.firstOrNull()
                    ?.let { isDone(it.model, step) } ?: false
            }
            if (open.isNotEmpty()) {
                report(
                    "MIXED",
                    job.id,
                    "job ${job.path} is completed, steps $open.$occurrence are not",
                )
            }
        }
    }

    @Synchronized
    fun recordEnd(run: SoakRun, end: String, number: Long) {
        run.endedAtMs = log.nowMs
        run.end = end
        run.endNumber = number
        if (end == "lapsed" && !isLapseAllowed) report("LAPSED", run.task, "its lease expired in an outage: $run")
    }

    /** The end of [run] was acknowledged, without an expiry of the worker's leases since then. */
    @Synchronized
    fun recordNoted(run: SoakRun) {
        run.notedAtMs = log.nowMs
        if (run.end != "done") return
        val endedAtMs = run.endedAtMs ?: return
        val others = if (run.gang == null) emptyList() else membersOf(run)
        (runsOf[run.task].orEmpty() + others).filter { it !== run && it.startedAtMs > endedAtMs }
            .forEach { report("TWICE", run.task, "started after an end that was noted later: $it after $run") }
    }

    /** Judges where [run] has started, among the [present] runs on a worker with [labels]. */
    fun checkPlace(run: SoakRun, present: Collection<SoakRun>, labels: Set<String>) {
        val step = run.model.step
        if (step.label.isNotEmpty() && step.label !in labels) report("ROUTE", run.task, "no label ${step.label}: $run")
        val ofStep = present.count { it.model.stepName == run.model.stepName }
        if (step.maxPerWorker in 1 until ofStep) report("ROUTE", run.task, "$ofStep runs of its step: $run")
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
